import type { Clock } from '../clock/clock.js'
import type { Hello } from './frames.js'
import type { DispatchedCall, DispatchHandle, DispatchListener } from './meshTypes.js'
import type { NodeLog } from './nodeLog.js'
import { PeerLink } from './peerLink.js'

/** Limit on links to other nodes, all of which get each broadcast. Larger fleets need a tree; see docs/CAPACITY.md. */
const PEER_LINKS_MAX_COUNT = 512

export interface PeerMeshOptions {
  readonly ownIp: string
  readonly peerPort: number
  readonly clock: Clock
  readonly log: NodeLog
  readonly hello: Hello
  readonly onUnresponsive: (ip: string, isUnresponsive: boolean) => void
  readonly onNotice: (text: string, fromIp: string) => void
  /** Called after each handshake with a node, whose process may be a new one. */
  readonly onConnected: (ip: string) => void
}

/** The links from this node to all other nodes. */
export class PeerMesh {
  readonly #options: PeerMeshOptions
  readonly #links = new Map<string, PeerLink>()

  constructor (options: PeerMeshOptions) {
    this.#options = options
  }

  get linksCount (): number {
    return this.#links.size
  }

  /** Whether a broadcast reaches the node. */
  hasOpenLink (ip: string): boolean {
    return this.#links.get(ip)?.isOpen === true
  }

  /** Checks all links for unresponsive peers. */
  checkLiveness (): void {
    for (const link of this.#links.values()) link.checkLiveness()
  }

  dispatch (ip: string, call: DispatchedCall, listener: DispatchListener): DispatchHandle {
    return this.#getOrCreateLink(ip).dispatch(call, listener)
  }

  /** Opens links to the given nodes and closes those to other nodes that have no open call. */
  syncLinks (ips: ReadonlySet<string>): void {
    for (const ip of ips) {
      if (ip === this.#options.ownIp || this.#links.has(ip)) continue
      if (this.#links.size < PEER_LINKS_MAX_COUNT) this.#getOrCreateLink(ip).connect()
    }
    for (const [ip, link] of this.#links) {
      if (ips.has(ip) || link.outstandingCount > 0) continue
      this.#links.delete(ip)
      link.close()
    }
  }

  /** Connects to a node without the reconnect delay, because it has connected to this node. */
  connectWithoutDelay (ip: string): void {
    this.#links.get(ip)?.connectWithoutDelay()
  }

  sendNotice (ip: string, text: string): void {
    this.#links.get(ip)?.sendNotice(text)
  }

  broadcastNotice (text: string): void {
    for (const link of this.#links.values()) link.sendNotice(text)
  }

  close (): void {
    for (const link of this.#links.values()) link.close()
  }

  #getOrCreateLink (ip: string): PeerLink {
    let link = this.#links.get(ip)
    if (link !== undefined) return link
    link = new PeerLink({
      ip,
      port: this.#options.peerPort,
      clock: this.#options.clock,
      hello: this.#options.hello,
      onUnresponsive: isUnresponsive => {
        this.#options.log.event(isUnresponsive ? 'peer_lost' : 'peer_regained', { peer: ip })
        this.#options.onUnresponsive(ip, isUnresponsive)
      },
      onNotice: text => this.#options.onNotice(text, ip),
      onConnected: () => this.#options.onConnected(ip)
    })
    this.#links.set(ip, link)
    return link
  }
}
