import type { Clock, Millis } from '../clock/clock.js'
import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { MemoryShare } from '../core/memoryAccount/memoryAccountTypes.js'
import type { LimitListener } from '../http/messageLimits.js'
import type { Hello, SpreadCopy } from './frames.js'
import type { DispatchedCall, DispatchHandle, DispatchListener } from './meshTypes.js'
import type { NodeLog } from './nodeLog.js'
import { PeerLink } from './peerLink.js'

/**
 * How long a link to a node is kept after its server has left the list. The node may not know that and has to be told.
 */
const UNLISTED_KEPT_MS: Millis = 5_000

export interface PeerMeshOptions {
  readonly ownIp: string
  readonly peerPort: number
  readonly clock: Clock
  readonly log: NodeLog
  readonly hello: Hello
  /** Account in which answers are held while they arrive from other nodes. */
  readonly memory: MemoryAccountDb
  readonly onLimitExceeded: LimitListener
  readonly onUnresponsive: (ip: string, isUnresponsive: boolean) => void
  readonly onNotice: (text: string, fromIp: string) => void
  readonly onSpreadCopy: (copy: SpreadCopy, fromIp: string) => void
  /** Called after each handshake with a node; its process may have replaced the one of the former handshake. */
  readonly onConnected: (ip: string, isNewProcess: boolean) => void
}

/** The links from this node to the nodes that it sends calls or notices to. */
export class PeerMesh {
  readonly #options: PeerMeshOptions
  readonly #links = new Map<string, PeerLink>()
  /** Since when the nodes of links have not been listed. */
  readonly #unlistedSinceMs = new Map<string, Millis>()
  #lastCallNumber = 0

  #heldBytes = 0

  constructor (options: PeerMeshOptions) {
    this.#options = options
    const readHeldBytes = (): number => this.#heldBytes
    memoryAccountDefinition.addHolder(options.memory, {
      share: MemoryShare.CallerAnswers,
      get heldBytes () { return readHeldBytes() },
      // The calls end with their callers' time limits.
      shed: () => false,
      shedStalled: () => false
    })
  }

  /** Number of open connections. */
  get openLinksCount (): number {
    let count = 0
    for (const link of this.#links.values()) if (link.isOpen) count += 1
    return count
  }

  /** Whether the node can be expected to answer: it did when it was last used, or was never used. */
  isUsable (ip: string): boolean {
    return this.#links.get(ip)?.isUnresponsive !== true
  }

  /** Checks all links for unresponsive peers, and closes those to nodes that are no longer listed. */
  checkLiveness (): void {
    for (const link of this.#links.values()) link.checkLiveness()
    if (this.#unlistedSinceMs.size > 0) this.#closeUnlisted()
  }

  dispatch (ip: string, call: DispatchedCall, listener: DispatchListener): DispatchHandle {
    return this.#getOrCreateLink(ip).dispatch(call, listener)
  }

  /** Keeps links to the neighbours open, and those to nodes that are not listed for some time only. */
  syncLinks (listedIps: ReadonlySet<string>, neighbourIps: ReadonlySet<string>): void {
    for (const ip of neighbourIps) if (ip !== this.#options.ownIp) this.#getOrCreateLink(ip)
    const nowMs = this.#options.clock.monotonicMs()
    for (const [ip, link] of this.#links) {
      link.setPermanent(neighbourIps.has(ip))
      if (listedIps.has(ip) || neighbourIps.has(ip)) this.#unlistedSinceMs.delete(ip)
      else if (!this.#unlistedSinceMs.has(ip)) this.#unlistedSinceMs.set(ip, nowMs)
    }
  }

  #closeUnlisted (): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [ip, sinceMs] of this.#unlistedSinceMs) {
      const link = this.#links.get(ip)
      if (nowMs - sinceMs < UNLISTED_KEPT_MS || (link !== undefined && link.outstandingCount > 0)) continue
      this.#unlistedSinceMs.delete(ip)
      this.#links.delete(ip)
      link?.close()
    }
  }

  /** Sends a notice over the open links to nodes that are no longer listed. */
  sendToUnlisted (text: string): void {
    for (const ip of this.#unlistedSinceMs.keys()) {
      const link = this.#links.get(ip)
      if (link?.isOpen === true) link.sendNotice(text)
    }
  }

  /** Connects to a node without the reconnect delay, because it has connected to this node. */
  connectWithoutDelay (ip: string): void {
    this.#links.get(ip)?.connectWithoutDelay()
  }

  /** Sends a notice over an existing link; returns false if there is none. */
  sendNotice (ip: string, text: string): boolean {
    const link = this.#links.get(ip)
    link?.sendNotice(text)
    return link !== undefined
  }

  /** Sends a notice, and connects to the node if there is no link. */
  connectAndSendNotice (ip: string, text: string): void {
    this.#getOrCreateLink(ip).sendNotice(text)
  }

  sendSpreadCopy (ip: string, copy: SpreadCopy): void {
    this.#getOrCreateLink(ip).sendSpreadCopy(copy)
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
      memory: this.#options.memory,
      onHeldBytes: addedBytes => { this.#heldBytes += addedBytes },
      onLimitExceeded: this.#options.onLimitExceeded,
      nextCallNumber: () => ++this.#lastCallNumber,
      onUnresponsive: isUnresponsive => {
        this.#options.log.event(isUnresponsive ? 'peer_lost' : 'peer_regained', { peer: ip })
        this.#options.onUnresponsive(ip, isUnresponsive)
      },
      onNotice: text => this.#options.onNotice(text, ip),
      onSpreadCopy: copy => this.#options.onSpreadCopy(copy, ip),
      onConnected: isNewProcess => this.#options.onConnected(ip, isNewProcess)
    })
    this.#links.set(ip, link)
    return link
  }
}
