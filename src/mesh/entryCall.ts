import type { Millis } from '../clock/clock.js'
import type { RouteRule } from '../core/configuration/configurationTypes.js'
import type { ListedServer } from '../core/discovery/discoveryTypes.js'
import type { IncomingRequest } from '../http/callerServer.js'
import type { CallerRequest } from './callerDialect.js'
import type { Execution } from './executor.js'
import { RefusalReason, type Lineage, type LossReason, type PlacedHandle } from './meshTypes.js'

/** One send of a call to a backend server's node. */
export interface Send {
  readonly server: ListedServer
  readonly sentAtMs: Millis
  handle: PlacedHandle | null
  isSilent: boolean
}

/** A request of a caller, from its arrival to its answer. */
export class EntryCall {
  readonly incoming: IncomingRequest
  readonly request: CallerRequest
  readonly rule: RouteRule
  readonly serviceName: string
  readonly arrivedAtMs: Millis
  /** When it is given up. */
  readonly deadlineAtMs: Millis
  readonly lineage: Lineage
  /** The call of the own backend server that caused this one, or null for a request from outside. */
  readonly parent: Execution | null
  readonly sends: Send[] = []
  readonly triedServerIds: string[] = []
  timer: NodeJS.Timeout | null = null
  isEnded = false
  /** Backend servers that may have begun to run it, or refused it themselves. */
  reachedCount = 0
  /** Whether some send may have run. */
  mayHaveRun = false
  /** Nodes that refused it for lack of room. */
  refusalsCount = 0
  lastRefusal: RefusalReason = RefusalReason.NoServer
  lastLoss: LossReason | null = null

  constructor (
    incoming: IncomingRequest, request: CallerRequest, rule: RouteRule, serviceName: string, nowMs: Millis,
    deadlineAtMs: Millis, parent: Execution | null
  ) {
    this.incoming = incoming
    this.request = request
    this.rule = rule
    this.serviceName = serviceName
    this.arrivedAtMs = nowMs
    this.deadlineAtMs = deadlineAtMs
    this.parent = parent
    this.lineage = parent === null
      ? { rootId: request.requestId, rootRoute: rule.name, rootRank: rule.importanceRank, depth: 0, isRepeat: false }
      : { ...parent.call.lineage, depth: parent.call.lineage.depth + 1 }
  }

  get openSends (): Send[] {
    return this.sends.filter(send => send.handle !== null)
  }
}
