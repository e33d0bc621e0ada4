import type { Millis } from '../../clock/clock.js'

/** A call that requests a slot (concurrency unit) of the backend server. */
export interface SlotCall {
  /** Priority among queued calls; lower ranks start sooner. */
  readonly rank: number
  readonly arrivedAtMs: Millis
  /** A call that has not started by this time is refused. */
  readonly startByMs: Millis
}

/** Why a call got no slot. */
export enum SlotRefusal {
  QueueFull = 'queue_full',
  WaitTooLong = 'wait_too_long',
  /** Evicted from a full queue by a call that starts sooner. */
  Displaced = 'displaced',
  /** The server accepts no work. */
  NotAccepting = 'not_accepting'
}

export interface SlotsSettings {
  /** Fraction of the reported slots that is used; servers slow down when they are nearly full. */
  readonly usedSlotsRatio: number
  /** Queue capacity relative to the concurrency limit. */
  readonly queueRatio: number
  /** A call starts ahead of one of the next rank that arrived up to this much earlier. */
  readonly rankDelayMs: Millis
}

/** A queued call with its callbacks, of which exactly one is called unless the call is removed. */
export interface WaitingCall {
  readonly call: SlotCall
  readonly start: () => void
  readonly refuse: (reason: SlotRefusal) => void
}
