import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { MemoryShare, type MemoryReservation } from '../core/memoryAccount/memoryAccountTypes.js'
import type { Frame, FrameKind } from './frames.js'
import { IncomingBody } from './incomingBody.js'
import type { DispatchResult, ResultReport } from './meshTypes.js'

export interface LongAnswerOptions {
  readonly memory: MemoryAccountDb
  /** Counts what is held for answers that arrive. */
  readonly onHeldBytes: (addedBytes: number) => void
  /** Asks the peer for the body. */
  readonly pull: () => void
}

/** An answer that a peer has announced. Its body is asked for once there is memory for it. */
export class LongAnswer {
  readonly #announcement: Extract<Frame, { kind: FrameKind.LongAnswer }>
  readonly #options: LongAnswerOptions
  readonly #body: IncomingBody
  #reservation: MemoryReservation | null = null
  #heldBytes = 0

  constructor (announcement: Extract<Frame, { kind: FrameKind.LongAnswer }>, options: LongAnswerOptions) {
    this.#announcement = announcement
    this.#options = options
    this.#body = new IncomingBody(announcement.bodyBytes)
  }

  get report (): ResultReport {
    return this.#announcement.report
  }

  /** Asks for the body, now or when there is memory for it. Returns false if there can never be enough. */
  request (): boolean {
    const { memory, onHeldBytes, pull } = this.#options
    const { bodyBytes } = this.#announcement
    if (!memoryAccountDefinition.canHold(memory, bodyBytes)) return false
    this.#reservation = {
      share: MemoryShare.CallerAnswers,
      bytes: bodyBytes,
      onGranted: () => {
        this.#reservation = null
        this.#heldBytes = bodyBytes
        onHeldBytes(bodyBytes)
        pull()
      }
    }
    memoryAccountDefinition.reserve(memory, this.#reservation)
    return true
  }

  /** Adds a part. Returns the result once it is complete. Throws a RangeError if the body is longer than announced. */
  append (bytes: Uint8Array): DispatchResult | null {
    this.#options.memory.onArrival(bytes.length)
    const body = this.#body.append(bytes)
    return body === null ? null : { ...this.#announcement.result, body }
  }

  /** Ends the reservation, because the answer is complete or not wanted any more. */
  end (): void {
    if (this.#reservation !== null) memoryAccountDefinition.cancel(this.#options.memory, this.#reservation)
    this.#reservation = null
    if (this.#heldBytes > 0) this.#options.onHeldBytes(-this.#heldBytes)
    this.#heldBytes = 0
  }
}
