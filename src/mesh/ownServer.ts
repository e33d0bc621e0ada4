import type { Millis } from '../clock/clock.js'
import type { ListedServer } from '../core/discovery/discoveryTypes.js'
import type { DispatchedCall } from './meshTypes.js'
import type { NodeLog } from './nodeLog.js'

/** Which backend server the node has beside it, by the list and by what the server says itself. */
export class OwnServer {
  readonly #log: NodeLog
  /** Id in the list, or empty while none is listed. */
  listedId = ''
  /** Unix time of its start by the list, 0 if unknown. */
  startedAtWallMs: Millis = 0
  /** Id by which the server at the address last named itself, or empty. It may be of another service. */
  #namedId = ''

  constructor (log: NodeLog) {
    this.#log = log
  }

  /** Takes over the list entry. Returns whether another incarnation was listed before. */
  setListed ({ serverId, startedAtWallMs }: ListedServer): boolean {
    const isOtherStart = startedAtWallMs !== this.startedAtWallMs && this.startedAtWallMs !== 0
    const isReplaced = this.listedId !== '' && (serverId !== this.listedId || isOtherStart)
    this.listedId = serverId
    this.startedAtWallMs = startedAtWallMs
    return isReplaced
  }

  recordNamed (serverId: string): void {
    if (serverId === '' || serverId === this.#namedId) return
    this.#log.event('own_server_changed', { server: serverId, before: this.#namedId, listed: this.listedId })
    this.#namedId = serverId
  }

  /**
   * Id that a server needs to run a call: the listed one if the server has named itself so, otherwise that which the
   * sender chose. Only the list says to which service a server belongs, so an id from an answer alone is never used.
   */
  expectedIdFor ({ serverId }: DispatchedCall): string {
    return this.listedId !== '' && this.listedId === this.#namedId ? this.listedId : serverId
  }
}
