import type { Millis } from '../../clock/clock.js'

/** Overshoot of an allotment that is tolerated in each window. */
export interface QuotaSettings {
  readonly windowMs: Millis
  /** Part of the allotment by which it may be exceeded. */
  readonly overRatio: number
  /** Further requests by which it may be exceeded. */
  readonly slackCount: number
}

/** A node that takes part in the count. */
export interface AllotmentMember {
  readonly ip: string
  readonly dataCentre: string
}

/** A workspace with a limit over all nodes together. */
export interface AllotmentRule {
  readonly name: string
  readonly ratePerS: number
  readonly burstCount: number
}

/** Whether a root request is within the allotment of its workspace. */
export type AllotmentDecision =
  | { readonly kind: 'within' }
  | {
    readonly kind: 'above'
    readonly retryAfterMs: Millis
    readonly limitPerS: number
    /** Part of the workspace's requests that this node admits. */
    readonly admittedRatio: number
    /** Time since a coordinator answered this node; infinite for a new process. */
    readonly newsAgeMs: Millis
  }

/** Requests of a workspace since the last message: its name, those offered, and those granted less those refunded. */
export type AllotmentCount = readonly [workspaceName: string, offeredCount: number, grantedCount: number]

/** A workspace that is limited at present: its name, the part to admit, and the time until a token is free. */
export type LimitedWorkspace = readonly [workspaceName: string, admittedRatio: number, waitMs: Millis]

/** Level of the bucket of a limited workspace, below zero in debt. */
export type BucketLevel = readonly [workspaceName: string, tokensCount: number]

/** Counts of a node, sent to the coordinator of its data centre. */
export interface AllotmentReport {
  readonly counts: readonly AllotmentCount[]
}

/** Answer of a coordinator. All workspaces that are not in it are not limited at present. */
export interface AllotmentAnswer {
  readonly limited: readonly LimitedWorkspace[]
}

/** Sums of the reports that one coordinator received, sent to the other coordinators. */
export interface AllotmentSums {
  readonly dataCentre: string
  /** Nodes whose reports are included. */
  readonly nodesCount: number
  readonly counts: readonly AllotmentCount[]
  readonly levels: readonly BucketLevel[]
}
