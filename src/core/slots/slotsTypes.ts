import type { Millis } from '../../clock/clock.js'

/** A call that wants a slot of the backend server. */
export interface SlotCall {
  /** The lower it is, the sooner the call starts among those that wait. */
  readonly rank: number
  readonly arrivedAtMs: Millis
  /** A call that has not started by then is refused. */
  readonly startByMs: Millis
}

export enum SlotRefusal {
  QueueFull = 'queue_full',
  WaitTooLong = 'wait_too_long',
  Displaced = 'displaced',
  NotAccepting = 'not_accepting'
}

export interface SlotsSettings {
  /** Share of the stated slots that is used; servers slow down when they are nearly full. */
  readonly usedSlotsRatio: number
  /** Calls that may wait, as a share of the slots. */
  readonly queueRatio: number
  /** Waiting time that one rank is worth. */
  readonly rankDelayMs: Millis
}

export interface Waiting {
  readonly call: SlotCall
  readonly start: () => void
  readonly refuse: (reason: SlotRefusal) => void
}
