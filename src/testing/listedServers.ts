import { ServerState, type ListedServer } from '../core/discovery/discoveryTypes.js'

/**
 * A listed backend server for tests; its address follows from its id.
 *
 * @example
 * createListedServer({ serverId: '1', revision: 7 })
 */
export function createListedServer (fields: Partial<ListedServer> & Pick<ListedServer, 'serverId'>): ListedServer {
  return {
    serviceName: 'depot',
    dataCentre: 'tartu',
    softwareVersion: 'v1',
    slotsCount: 10,
    ip: `10.0.0.${fields.serverId}`,
    port: 80,
    state: ServerState.Ready,
    warmingMs: 0,
    startedAtWallMs: 0,
    sequence: 1,
    revision: 1,
    ...fields
  }
}
