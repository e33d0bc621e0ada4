/** Processing step in which an error occurred. */
export enum Step {
  ReadSettings = 'read_settings',
  ReadDocument = 'read_document',
  ReadPlatform = 'read_platform',
  ReadMessage = 'read_message',
  AcceptCall = 'accept_call',
  Admit = 'admit',
  Forward = 'forward',
  Dispatch = 'dispatch',
  ReadAnswer = 'read_answer',
  PeerMessage = 'peer_message',
  Probe = 'probe',
  Stop = 'stop'
}

/**
 * Error with the processing step in which it occurred and the peer (address or file) that it concerns.
 *
 * @example
 * new StepError(Step.Dispatch, '127.0.0.1:9001', 'connection reset')
 */
export class StepError extends Error {
  readonly step: Step
  readonly peer: string

  constructor (step: Step, peer: string, message: string, options?: ErrorOptions) {
    super(`${message} (step=${step} peer=${peer})`, options)
    this.name = 'StepError'
    this.step = step
    this.peer = peer
  }
}

/** Marks the end of an exhaustive switch; the compiler rejects a missing case. */
export function assertNever (value: never): never {
  throw new TypeError(`unhandled case: ${JSON.stringify(value)}`)
}
