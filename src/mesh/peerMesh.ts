import type { Clock } from '../clock/clock.js'
import type { Hello } from './frames.js'
import type { PlacedCall, PlacedHandle, PlacedListener } from './meshTypes.js'
import type { NodeLog } from './nodeLog.js'
import { PeerLink } from './peerLink.js'

/** Nodes to which news is sent directly. Larger fleets need a tree; see docs/CAPACITY.md. */
const DIRECT_PEERS_MAX_COUNT = 512

export interface PeerMeshOptions {
  readonly ownIp: string
  readonly peerPort: number
  readonly clock: Clock
  readonly log: NodeLog
  readonly hello: Hello
  readonly onSilent: (ip: string, isSilent: boolean) => void
  readonly onNotice: (text: string, fromIp: string) => void
  /** A connection to the node is up; a new process may have taken its place. */
  readonly onUp: (ip: string) => void
}

/** The links of this node to all others. */
export class PeerMesh {
  readonly #options: PeerMeshOptions
  readonly #links = new Map<string, PeerLink>()

  constructor (options: PeerMeshOptions) {
    this.#options = options
  }

  get linksCount (): number {
    return this.#links.size
  }

  /** Whether notices to all reach that node. */
  hasOpenLink (ip: string): boolean {
    return this.#links.get(ip)?.isOpen === true
  }

  /** Looks at all links for silence. */
  check (): void {
    for (const link of this.#links.values()) link.check()
  }

  place (ip: string, call: PlacedCall, listener: PlacedListener): PlacedHandle {
    return this.#linkTo(ip).place(call, listener)
  }

  /** Keeps links to these nodes and drops the others once they have no call left. */
  keep (ips: ReadonlySet<string>): void {
    for (const ip of ips) {
      if (ip === this.#options.ownIp || this.#links.has(ip)) continue
      if (this.#links.size < DIRECT_PEERS_MAX_COUNT) this.#linkTo(ip).connect()
    }
    for (const [ip, link] of this.#links) {
      if (ips.has(ip) || link.outstandingCount > 0) continue
      this.#links.delete(ip)
      link.close()
    }
  }

  /** A process of that node has connected here, so it can be reached. */
  reconnect (ip: string): void {
    this.#links.get(ip)?.reconnect()
  }

  sendTo (ip: string, text: string): void {
    this.#links.get(ip)?.notify(text)
  }

  sendToAll (text: string): void {
    for (const link of this.#links.values()) link.notify(text)
  }

  close (): void {
    for (const link of this.#links.values()) link.close()
  }

  #linkTo (ip: string): PeerLink {
    let link = this.#links.get(ip)
    if (link !== undefined) return link
    link = new PeerLink({
      ip,
      port: this.#options.peerPort,
      clock: this.#options.clock,
      hello: this.#options.hello,
      onSilent: isSilent => {
        this.#options.log.event(isSilent ? 'peer_lost' : 'peer_regained', { peer: ip })
        this.#options.onSilent(ip, isSilent)
      },
      onNotice: text => this.#options.onNotice(text, ip),
      onUp: () => this.#options.onUp(ip)
    })
    this.#links.set(ip, link)
    return link
  }
}
