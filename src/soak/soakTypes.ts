import type { Millis } from '../clock/clock.js'
import type { Answer, IncomingCall, SendResult } from '../core/nodeCore/nodeCoreTypes.js'

/** Faults that a run can inject. */
export enum Fault {
  KillNode = 'kill_node',
  KillBackend = 'kill_backend',
  PauseNode = 'pause_node',
  PauseNodeLong = 'pause_node_long',
  PauseBackend = 'pause_backend',
  CutNodes = 'cut_nodes',
  CutDataCentres = 'cut_data_centres',
  CutPlatform = 'cut_platform',
  SilentConnections = 'silent_connections',
  PlatformDown = 'platform_down',
  PlatformStale = 'platform_stale',
  PlatformOlder = 'platform_older',
  ListLate = 'list_late',
  ListWrong = 'list_wrong',
  FalseHealthReport = 'lying_health',
  RacingEdits = 'racing_edits',
  InvalidEdit = 'invalid_edit',
  Edit = 'edit',
  CrashingRequest = 'crashing_request',
  SlowService = 'slow_service',
  Surge = 'surge',
  ColdStart = 'cold_start',
  StopNode = 'stop_node',
  DrainBackend = 'drain_backend',
  VmLeaves = 'vm_leaves'
}

/** Steps of a call, a node or a document at which the fault matrix injects faults. */
export enum FaultStep {
  /** A call has arrived at the node, which has not processed it yet. */
  Accept = 'accept',
  /** A call waits in the admission queue. */
  Queue = 'queue',
  /** The core has decided to dispatch a call and has not sent it yet. */
  BeforeDispatch = 'before dispatch',
  /** The backend server runs the call. */
  Dispatched = 'dispatched',
  /** The backend server has answered, and the node has not processed the answer yet. */
  AnswerUnderWay = 'answer under way',
  /** The executing node has ended the call, and its answer is on the way to the entry node. */
  AnsweredNotReported = 'answered but not yet reported',
  /** The entry node waits before it resends the call. */
  ResendWaiting = 'resend waiting',
  /** The node or its backend server drains with calls in flight. */
  Drain = 'drain',
  /** The node process has started and has not received its document and VM list yet. */
  Start = 'start',
  /** One node has put a new document in force, and others have not yet. */
  DocumentSpread = 'document spread'
}

/** A request in progress, as its sender sees it. */
export interface Exchange {
  abort (): void
}

/** A call delivered to a node, with callbacks for its outcome. */
export interface Delivery {
  readonly call: IncomingCall
  readonly onAnswer: (answer: Answer) => void
  /** The receiving node closed the connection without an answer. */
  readonly onDropped: () => void
}

export type OnResult = (result: SendResult) => void

/** One run of a request on a backend server. */
export interface BackendRun {
  readonly rootId: string
  readonly serviceName: string
  readonly idempotencyKey: string | null
  readonly attempt: number | null
  readonly callId: string
  readonly vmId: string
  readonly startedAtMs: Millis
}

/** Counts and violations of one soak run. */
export interface SoakReport {
  readonly seed: number
  readonly stepsCount: number
  readonly simulatedMs: Millis
  readonly rootsCount: number
  readonly doneCount: number
  readonly notRunCount: number
  readonly unknownCount: number
  readonly backendRunsCount: number
  readonly maxRetriesPerRoot: number
  readonly faultsCount: Readonly<Record<string, number>>
  readonly violations: readonly string[]
}

export interface SoakOptions {
  readonly seed: number
  readonly steps: number
  /** Faults to choose from at random; defaults to all. */
  readonly faults?: readonly Fault[]
  readonly meanFaultPeriodMs?: Millis
}
