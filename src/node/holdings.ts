import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { MemoryShare, type MemoryHolder } from '../core/memoryAccount/memoryAccountTypes.js'
import { LimitCounts, NodeLimit } from './limitCounts.js'

/** Bytes that are held for one peer. */
interface Held {
  bytes: number
  changedAtMs: Millis
  readonly giveUp: () => void
}

/** Bytes that are held for many peers. Above the limit, the peer that keeps most for longest loses them. */
class Holdings<Key> implements MemoryHolder {
  readonly share: MemoryShare
  readonly #memory: MemoryAccountDb
  readonly #clock: Clock
  readonly #limits: LimitCounts
  readonly #entries = new Map<Key, Held>()
  #heldBytes = 0

  constructor (share: MemoryShare, memory: MemoryAccountDb, clock: Clock, limits: LimitCounts) {
    this.share = share
    this.#limits = limits
    this.#memory = memory
    this.#clock = clock
    memoryAccountDefinition.addHolder(memory, this)
  }

  get heldBytes (): number {
    return this.#heldBytes
  }

  add (key: Key, bytes: number, giveUp: () => void): void {
    const held = this.#entries.get(key) ?? { bytes: 0, changedAtMs: 0, giveUp }
    held.bytes += bytes
    held.changedAtMs = this.#clock.monotonicMs()
    this.#entries.set(key, held)
    this.#heldBytes += bytes
    memoryAccountDefinition.enforce(this.#memory)
  }

  /** The peer has taken some of what is held for it. */
  subtract (key: Key, bytes: number): void {
    const held = this.#entries.get(key)
    if (held === undefined) return
    held.bytes -= bytes
    held.changedAtMs = this.#clock.monotonicMs()
    this.#heldBytes -= bytes
    if (held.bytes === 0) this.#entries.delete(key)
  }

  /** Ends what is held for a peer. */
  remove (key: Key): void {
    this.#heldBytes -= this.#entries.get(key)?.bytes ?? 0
    this.#entries.delete(key)
  }

  /** From now on, the bytes of this peer are held until the returned function is called. */
  keep (key: Key): () => void {
    const bytes = this.#entries.get(key)?.bytes ?? 0
    this.#entries.delete(key)
    return () => { this.#heldBytes -= bytes }
  }

  shed (): boolean {
    const nowMs = this.#clock.monotonicMs()
    let worst: [Key, Held] | undefined
    let worstValue = 0
    for (const entry of this.#entries) {
      const value = entry[1].bytes * (1 + nowMs - entry[1].changedAtMs)
      if (value <= worstValue) continue
      worst = entry
      worstValue = value
    }
    if (worst === undefined) return false
    const [key, { bytes, giveUp }] = worst
    this.#limits.record(NodeLimit.Memory, { share: this.share, bytes })
    this.remove(key)
    giveUp()
    return true
  }

  shedStalled (): boolean {
    return false
  }
}

/** What peers make the process of `ragwortspur-node` hold, in one account. */
export class NodeHoldings {
  readonly #unreadAnswers: Holdings<Socket>
  readonly #bodies: Holdings<IncomingMessage>
  readonly #serverAnswers: Holdings<object>
  readonly #memory: MemoryAccountDb
  /** How often limits on what peers may do were exceeded. */
  readonly limits: LimitCounts

  constructor (memory: MemoryAccountDb, clock: Clock) {
    this.#memory = memory
    this.limits = new LimitCounts(clock)
    this.#unreadAnswers = new Holdings(MemoryShare.CallerAnswers, memory, clock, this.limits)
    this.#bodies = new Holdings(MemoryShare.Requests, memory, clock, this.limits)
    this.#serverAnswers = new Holdings(MemoryShare.ServerAnswers, memory, clock, this.limits)
  }

  /** Counts bytes of a request's body. `refuse` is called if it is given up before it is complete. */
  addBodyBytes (message: IncomingMessage, bytes: number, refuse: () => void): void {
    if (bytes > 0) this.#memory.onArrival(bytes)
    this.#bodies.add(message, bytes, refuse)
  }

  /** Counts a complete body until its answer is sent. */
  keepBody (message: IncomingMessage, response: ServerResponse): void {
    response.once('close', this.#bodies.keep(message))
  }

  dropBody (message: IncomingMessage): void {
    this.#bodies.remove(message)
  }

  /** Counts an answer until its caller has taken it. If it is given up, the connection is reset. */
  addAnswer (response: ServerResponse, bytes: number): void {
    // An answer that waits behind another one on its connection has no socket yet, but holds its bytes as well.
    if (response.writableLength === 0) return
    const { socket } = response.req
    this.#unreadAnswers.add(socket, bytes, () => socket.resetAndDestroy())
    response.once('close', () => this.#unreadAnswers.subtract(socket, bytes))
  }

  /** Counts a piece of an answer that arrives. `fail` is called if it is given up. */
  addServerAnswerPiece (call: object, bytes: number, fail: () => void): void {
    this.#memory.onArrival(bytes)
    this.#serverAnswers.add(call, bytes, fail)
  }

  removeServerAnswer (call: object): void {
    this.#serverAnswers.remove(call)
  }
}
