import type { Clock, Millis } from '../clock/clock.js'
import type { QuotaSettings } from '../core/allotment/allotmentTypes.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { FleetRetryBudgetSettings } from '../core/fleetRetryBudget/fleetRetryBudgetTypes.js'
import type { BackendDialect } from './backendDialect.js'
import type { CallerDialect } from './callerDialect.js'
import type { NodeLog } from './nodeLog.js'
import type { PlatformStore } from './platformStore.js'

export interface Address {
  readonly ip: string
  readonly port: number
}

/** Identity, addresses and limits of a node. */
export interface MeshNodeSettings {
  readonly nodeName: string
  readonly ip: string
  readonly dataCentre: string
  readonly serviceName: string
  readonly backend: Address
  readonly peerListen: Address
  readonly callerListen: Address
  readonly readyListen: Address
  readonly readyPath: string
  /** Address of the metrics endpoint, or null for none. */
  readonly metricsListen: Address | null
  /** Memory that the process may use, in MB of a million bytes. */
  readonly memoryMb: number
  /** Limit on open file descriptors of the process. */
  readonly descriptorsMaxCount: number
  /** Interval at which backend servers renew their entries in the store. */
  readonly heartbeatPeriodMs: Millis
  /** Time from the start of a stop until the process is killed. */
  readonly stopGraceMs: Millis
  readonly fleetRetryBudget: FleetRetryBudgetSettings
  /** Time within which a key that is taken away must be refused everywhere, or null if that is not demanded. */
  readonly revocation: { readonly boundMs: Millis } | null,
  /** Overshoot of a workspace's allotment that is tolerated, or null if the platform states none. */
  readonly quota: QuotaSettings | null
}

export interface MeshNodeOptions {
  readonly settings: MeshNodeSettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: NodeLog
  readonly store: PlatformStore
  readonly callerDialect: CallerDialect
  readonly backendDialect: BackendDialect
  readonly onStopped: () => void
}
