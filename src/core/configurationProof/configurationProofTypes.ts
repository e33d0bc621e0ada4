import type { Millis } from '../../clock/clock.js'

/** Both clocks of the machine, read at the same moment. */
export interface ClockTimes {
  readonly monotonicMs: Millis
  readonly wallMs: Millis
}

/** A revision of the store. Revisions are comparable within an era only. */
export interface StorePosition {
  readonly era: number
  readonly revision: number
}

/** From where the newest proof is. */
export type ProofSource =
  | { readonly kind: 'none' }
  | { readonly kind: 'store' }
  | { readonly kind: 'peer', readonly ip: string }

/** A complete read of the store, or the changes that follow a complete one. */
export interface ConfirmedRead {
  /** Reading of the proof clock when the request was sent. */
  readonly sentAtMs: Millis
  /** The configuration in force is complete up to this position. */
  readonly position: StorePosition
  /** Whether the result may be older than the request; it proves no time then. */
  readonly isStale: boolean
}

/** A question to a peer, with the time at which it was sent. */
export interface ProofQuestion {
  readonly ip: string
  readonly stampMs: Millis
}

/** A peer's answer to a question. */
export interface ProofAnswer {
  /** The stamp of the question. */
  readonly stampMs: Millis
  /** Age that the peer's own proof had when the question arrived, or 0 if it has been renewed since. */
  readonly ageMs: Millis
  readonly configurationVersion: number
  /** Up to where in the store the peer's configuration is complete. */
  readonly era: number
  readonly revision: number
}

/** What an answer has changed. */
export type AnswerResult =
  /** The proof is younger than before. */
  | { readonly kind: 'proven' }
  /** The peer's proof is not younger. */
  | { readonly kind: 'not_younger' }
  /** The peer has a newer configuration, which this node has to get first. */
  | { readonly kind: 'lacks_configuration' }
  /** No question with this stamp is known, for example after a restart. */
  | { readonly kind: 'unknown_question' }

/** An answer and the peer that it is for. */
export interface AddressedAnswer {
  readonly ip: string
  readonly answer: ProofAnswer
}
