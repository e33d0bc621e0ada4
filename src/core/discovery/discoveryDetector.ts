import { ServerState, type ListedServer } from './discoveryTypes.js'

/** Whether two entries of one id describe different incarnations of a backend server. */
export function isOtherIncarnation (before: ListedServer, after: ListedServer): boolean {
  return before.startedAtWallMs !== after.startedAtWallMs || before.ip !== after.ip || before.port !== after.port ||
    before.serviceName !== after.serviceName
}

/** Whether a change of an entry matters to routing; a heartbeat alone does not. */
export function mattersToRouting (before: ListedServer | undefined, after: ListedServer): boolean {
  return before === undefined || before.state !== after.state || before.slotsCount !== after.slotsCount ||
    isOtherIncarnation(before, after)
}

export function isReady (server: ListedServer): boolean {
  return server.state === ServerState.Ready
}
