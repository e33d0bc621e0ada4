import type { Millis } from '../clock/clock.js'
import type { RootRequest } from '../core/chainAdmission/chainAdmissionTypes.js'
import type { RouteRule } from '../core/configuration/configurationTypes.js'
import type { Identity } from '../core/identity/identityTypes.js'
import type { ListedServer } from '../core/discovery/discoveryTypes.js'
import type { IncomingRequest } from '../http/callerServer.js'
import type { CallerRequest } from './callerDialect.js'
import type { Execution } from './executor.js'
import { toRootRequest, type Admission } from './requestGate.js'
import { RefusalReason, type TraceContext, type UnknownOutcomeReason, type DispatchHandle } from './meshTypes.js'

/** One attempt of a call: its dispatch to the node of one backend server. */
export interface Attempt {
  readonly server: ListedServer
  readonly startedAtMs: Millis
  /** Null before the dispatch and after the end of the attempt. */
  handle: DispatchHandle | null
  isUnresponsive: boolean
}

/** State of a caller's request from its arrival to its answer. */
export class EntryCall {
  readonly incoming: IncomingRequest
  readonly request: CallerRequest
  readonly rule: RouteRule
  readonly serviceName: string
  /** Becomes anonymous if the key is taken away while the call runs on a route that needs none. */
  identity: Identity
  readonly arrivedAtMs: Millis
  /** When the node stops waiting for a result and answers the caller itself. */
  readonly deadlineAtMs: Millis
  readonly traceContext: TraceContext
  /** What the admission of chains knows of it, if it is a root request. */
  readonly rootRequest: RootRequest
  /** The request that this node's backend server was running when it made this one, or null for a root request. */
  readonly parent: Execution | null
  readonly attempts: Attempt[] = []
  readonly triedServerIds: string[] = []
  timer: NodeJS.Timeout | null = null
  isEnded = false
  /** Backend servers that may have started to run the call or that refused it themselves. */
  readonly reachedServerIds = new Set<string>()
  /** Backend servers that refused the call themselves; each may get it again. */
  readonly refusedByServerIds = new Set<string>()
  /** Number of sends that reached a backend server. */
  reachedSendsCount = 0
  /** Whether a backend server may have run the call. */
  mayHaveRun = false
  /** Number of nodes and backend servers that refused the call. */
  refusalsCount = 0
  lastRefusal: RefusalReason = RefusalReason.NoServer
  lastUnknownReason: UnknownOutcomeReason | null = null

  constructor (
    incoming: IncomingRequest, request: CallerRequest, admission: Admission, nowMs: Millis, deadlineAtMs: Millis
  ) {
    const { rule, serviceName, identity, parent } = admission
    this.incoming = incoming
    this.request = request
    this.rule = rule
    this.serviceName = serviceName
    this.identity = identity
    this.arrivedAtMs = nowMs
    this.deadlineAtMs = deadlineAtMs
    this.parent = parent
    this.rootRequest = toRootRequest(admission, request.requestId)
    this.traceContext = parent === null
      ? {
          rootId: request.requestId,
          rootRoute: rule.name,
          rootImportanceRank: admission.importanceRank,
          depth: 0,
          isRetry: false
        }
      : { ...parent.call.traceContext, depth: parent.call.traceContext.depth + 1 }
  }

  /** Name of the workspace that sent the request, or null for sub-calls and anonymous requests. */
  get workspaceName (): string | null {
    return this.identity.kind === 'workspace' ? this.identity.workspace.name : null
  }

  /** Whether the route allows no further backend server; those that refused the call may still get it again. */
  get hasReachedAllServers (): boolean {
    return this.reachedServerIds.size >= this.rule.attemptsMaxCount
  }

  recordReached (server: ListedServer): void {
    this.reachedServerIds.add(server.serverId)
    this.reachedSendsCount += 1
  }

  /** Records that a server refused the call. One that has replaced the chosen server never runs it. */
  recordRefusedBy (server: ListedServer, reason: RefusalReason): void {
    if (reason === RefusalReason.ServerReplaced) {
      this.reachedSendsCount += 1
      return
    }
    this.recordReached(server)
    this.refusedByServerIds.add(server.serverId)
  }

  get openAttempts (): Attempt[] {
    return this.attempts.filter(attempt => attempt.handle !== null)
  }
}
