import type { Millis } from '../clock/clock.js'
import type { ChainAdmissionDb } from '../core/chainAdmission/chainAdmissionDb.js'
import { chainAdmissionDefinition } from '../core/chainAdmission/chainAdmissionDefinition.js'
import type { RootRequest } from '../core/chainAdmission/chainAdmissionTypes.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import { configurationDefinition } from '../core/configuration/configurationDefinition.js'
import type { RouteRule } from '../core/configuration/configurationTypes.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { FleetRetryBudgetDb } from '../core/fleetRetryBudget/fleetRetryBudgetDb.js'
import { fleetRetryBudgetDefinition } from '../core/fleetRetryBudget/fleetRetryBudgetDefinition.js'
import type { IdentityDb } from '../core/identity/identityDb.js'
import { identityDefinition } from '../core/identity/identityDefinition.js'
import type { Identity, IdentityRequest, IdentityResult } from '../core/identity/identityTypes.js'
import { OwnAnswer, type CallerRequest } from './callerDialect.js'
import type { AllotmentTask } from './allotmentTask.js'
import type { Execution } from './executor.js'
import { RefusalReason } from './meshTypes.js'
import type { LogFields } from './nodeLog.js'

/** Least Retry-After as a share of the latency objective, so that a resend can still be answered within it. */
const RETRY_AFTER_MIN_RATIO = 0.25
/** Random addition to Retry-After as a share of the latency objective, so that resends do not arrive at once. */
const RETRY_AFTER_JITTER_RATIO = 0.25
/**
 * Least Retry-After, as a share of the latency objective, of a request whose chain cannot complete. What completes
 * while the service refuses is bounded by the retry budget, so an early return takes the place of another request and
 * is mostly refused again.
 */
const RETRY_AFTER_INCOMPLETABLE_RATIO = 0.75
/** Random addition to it, since all that are refused return to the same service. */
const RETRY_AFTER_SPREAD_RATIO = 0.5
/** Retry-After of answers to requests without a route. */
const RETRY_AFTER_DEFAULT_MS: Millis = 500

/** Whether keys may be accepted now. */
export interface KeyProof {
  readonly isProven: boolean
  readonly ageMs: Millis
}

export interface RequestGateOptions {
  readonly random: RandomSource
  readonly configuration: ConfigurationDb
  readonly identity: IdentityDb
  readonly fleetRetryBudget: FleetRetryBudgetDb
  readonly chainAdmission: ChainAdmissionDb
  /** Null where keys are accepted without a proof of the configuration's age. */
  readonly proof: KeyProof | null
  readonly allotment: Pick<AllotmentTask, 'decide' | 'giveBack'>
  /** Whether a request that can take this long may be accepted: a stopping process must answer what it accepts. */
  readonly mayAccept: (timeoutMs: Millis) => boolean
  /** The call with this request id that this node's backend server is running, if any. */
  readonly runningCall: (requestId: string) => Execution | undefined
}

/** A request that may start a call. */
export interface Admission {
  readonly kind: 'admit'
  readonly rule: RouteRule
  readonly serviceName: string
  readonly identity: Identity
  /** Rank of a root request: that of its workspace, if it states one, else that of its route. */
  readonly importanceRank: number
  /** The request that this node's backend server was running when it made this one, or null for a root request. */
  readonly parent: Execution | null
}

/** A request that is answered by the node before any work is done for it. */
export interface Refusal {
  readonly kind: 'refuse'
  readonly answer: OwnAnswer
  readonly reason: string
  readonly retryAfterMs: Millis | null
  /** Null if no route matches. */
  readonly rule: RouteRule | null
  /** What decided, for the log. */
  readonly fields: LogFields
}

/** Retry-After of a request that was refused for lack of room. */
export function retryAfterRefusalMs (rule: RouteRule, random: RandomSource): Millis {
  return rule.latencyObjectiveMs * (RETRY_AFTER_MIN_RATIO + random() * RETRY_AFTER_JITTER_RATIO)
}

/** Retry-After of a request whose chain cannot complete now. */
function retryAfterIncompletableMs (rule: RouteRule, random: RandomSource): Millis {
  return rule.latencyObjectiveMs * (RETRY_AFTER_INCOMPLETABLE_RATIO + random() * RETRY_AFTER_SPREAD_RATIO)
}

/** What the admission of chains knows of a root request. */
export function toRootRequest (
  { rule, serviceName, identity, importanceRank }: Admission, requestId: string
): RootRequest {
  return {
    routeName: rule.name,
    serviceName,
    rootId: requestId,
    importanceRank,
    workspaceName: identity.kind === 'workspace' ? identity.workspace.name : null
  }
}

/** Identity of a request, or that it depends on a key while the configuration may be too old to decide on keys. */
export type ProvenIdentity = IdentityResult | { readonly kind: 'unproven', readonly workspaceName: string | null }

/**
 * Identifies who sent a request by a configuration that is proven to be young enough. Without such a proof, a known key
 * may have been removed and an unknown one added; on a route that needs no key, both are ignored then.
 *
 * @example
 * identifyProven({ identity, proof: null }, { key: 'edev3nax', allowsAnonymous: false, isSubCall: false })
 */
export function identifyProven (
  { identity: db, proof }: Pick<RequestGateOptions, 'identity' | 'proof'>, request: IdentityRequest
): ProvenIdentity {
  const identity = identityDefinition.identify(db, request)
  if (proof === null || identity.kind === 'anonymous' || proof.isProven) return identity
  if (request.allowsAnonymous) return { kind: 'anonymous' }
  return { kind: 'unproven', workspaceName: identity.kind === 'workspace' ? identity.workspace.name : null }
}

function rankOf (identity: Identity, rule: RouteRule): number {
  const workspaceRank = identity.kind === 'workspace' ? identity.workspace.importanceRank : null
  return workspaceRank ?? rule.importanceRank
}

/** Decides which requests start calls, by route, identity and the load of the services in their chain. */
export class RequestGate {
  readonly #options: RequestGateOptions

  constructor (options: RequestGateOptions) {
    this.#options = options
  }

  decide (request: CallerRequest, nowMs: Millis): Admission | Refusal {
    const { configuration, fleetRetryBudget, random } = this.#options
    if (configuration.current === null) {
      return refuse(null, OwnAnswer.NotRunRetryLater, RefusalReason.NoConfiguration, RETRY_AFTER_DEFAULT_MS)
    }
    const rule = configurationDefinition.matchRoute(configuration, request.host, request.path)
    if (rule === undefined) return refuse(null, OwnAnswer.NoRoute, 'no_route', null)
    const running = request.parentRequestId === '' ? undefined : this.#options.runningCall(request.parentRequestId)
    const parent = running ?? null
    const timeoutMs = Math.min(request.timeoutMs ?? Infinity, rule.timeoutMs ?? Infinity)
    if (parent === null && !this.#options.mayAccept(timeoutMs)) {
      return refuse(rule, OwnAnswer.NotRunRetryLater, RefusalReason.Stopping, retryAfterRefusalMs(rule, random))
    }
    const identity = identifyProven(this.#options, {
      key: request.key, allowsAnonymous: rule.allowsAnonymous, isSubCall: parent !== null
    })
    if (identity.kind === 'unknown') return refuse(rule, OwnAnswer.UnknownKey, RefusalReason.UnknownKey, null)
    if (identity.kind === 'unproven') return this.#refuseUnproven(rule, identity.workspaceName)
    const above = parent === null ? this.#refuseAboveAllotment(rule, identity, nowMs) : null
    if (above !== null) return above
    const serviceName = configurationDefinition.chooseService(configuration, rule, random)
    fleetRetryBudgetDefinition.recordRequest(fleetRetryBudget, serviceName, nowMs)
    if (parent?.call.traceContext.isRetry === true) {
      fleetRetryBudgetDefinition.recordSubCallOfRetry(fleetRetryBudget, serviceName, nowMs)
    }
    const admission: Admission = {
      kind: 'admit', rule, serviceName, identity, importanceRank: rankOf(identity, rule), parent
    }
    return parent === null ? this.#decideChain(admission, request.requestId, nowMs) : admission
  }

  #refuseUnproven (rule: RouteRule, workspaceName: string | null): Refusal {
    const retryAfterMs = retryAfterRefusalMs(rule, this.#options.random)
    return refuse(rule, OwnAnswer.NotRunRetryLater, RefusalReason.ConfigurationUnproven, retryAfterMs, {
      workspace: workspaceName ?? 'unknown', proof_age_ms: Math.round(this.#options.proof?.ageMs ?? 0)
    })
  }

  /** Refuses a root request of a workspace that has used up its allotment. */
  #refuseAboveAllotment (rule: RouteRule, identity: Identity, nowMs: Millis): Refusal | null {
    if (identity.kind !== 'workspace') return null
    const { name } = identity.workspace
    const decision = this.#options.allotment.decide(name, nowMs)
    if (decision.kind === 'within') return null
    const { retryAfterMs, limitPerS, admittedRatio, newsAgeMs } = decision
    return refuse(rule, OwnAnswer.AboveAllotment, RefusalReason.AboveAllotment, retryAfterMs, {
      workspace: name,
      limit_per_s: limitPerS,
      admitted_ratio: Number(admittedRatio.toFixed(2)),
      news_age_ms: Number.isFinite(newsAgeMs) ? Math.round(newsAgeMs) : 'none'
    })
  }

  /** Refuses a root request if a service in its call chain is overloaded or refuses too many calls. */
  #decideChain (admission: Admission, requestId: string, nowMs: Millis): Admission | Refusal {
    const { chainAdmission, fleetRetryBudget, random } = this.#options
    const { rule, serviceName } = admission
    const root = toRootRequest(admission, requestId)
    const decision = chainAdmissionDefinition.decideRootRequest(chainAdmission, root, fleetRetryBudget, nowMs, random)
    if (decision.kind === 'admit') return admission
    if (root.workspaceName !== null) this.#options.allotment.giveBack(root.workspaceName)
    const fields = { service: serviceName, limited_by: decision.limitedBy }
    switch (decision.cause) {
      case 'saturated':
        return refuse(
          rule, OwnAnswer.NotRunRetryLater, RefusalReason.ChainOverload, retryAfterRefusalMs(rule, random), {
            ...fields,
            admitted_ratio: Number(decision.admittedRatio.toFixed(2)),
            utilization: Number(decision.utilizationRatio.toFixed(2))
          })
      case 'incompletable':
        return refuse(
          rule, OwnAnswer.NotRunRetryLater, RefusalReason.ChainIncompletable, retryAfterIncompletableMs(rule, random), {
            ...fields,
            refused_ratio: Number(decision.refusedRatio.toFixed(2)),
            completable_ratio: Number(decision.completableRatio.toFixed(2))
          })
    }
  }
}

function refuse (
  rule: RouteRule | null, answer: OwnAnswer, reason: string, retryAfterMs: Millis | null, fields: LogFields = {}
): Refusal {
  return { kind: 'refuse', answer, reason, retryAfterMs, rule, fields }
}
