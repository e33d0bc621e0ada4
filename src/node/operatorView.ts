import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '../clock/clock.js'
import { admissionDefinition } from '../core/admission/admissionDefinition.js'
import { agreementDefinition } from '../core/agreement/agreementDefinition.js'
import { documentsDefinition } from '../core/documents/documentsDefinition.js'
import { idempotencyDefinition } from '../core/idempotency/idempotencyDefinition.js'
import { ledgerDefinition } from '../core/ledger/ledgerDefinition.js'
import { membershipDefinition } from '../core/membership/membershipDefinition.js'
import type { NodeCoreDb } from '../core/nodeCore/nodeCoreDb.js'
import { nodeCoreDefinition } from '../core/nodeCore/nodeCoreDefinition.js'
import { retryDefinition } from '../core/retry/retryDefinition.js'
import { routingDefinition } from '../core/routing/routingDefinition.js'
import type { LimitCounts } from './limitCounts.js'
import type { OperatorView } from './operatorServer.js'

/** Bytes of control traffic that the node has sent and received. */
export interface ControlTraffic {
  readonly bytesSent: number
  readonly bytesReceived: number
}

export interface OperatorSources {
  readonly db: NodeCoreDb
  readonly clock: Clock
  readonly getTraffic: () => ControlTraffic
  readonly limits: LimitCounts
}

/** Creates the status and metrics for operators from the state of the core. */
export function createOperatorView ({ db, clock, getTraffic: traffic, limits }: OperatorSources): OperatorView {
  const startedAtMs = clock.monotonicMs()
  return {
    isLive: () => db.nodeState !== 'stopped',
    isReady: () => nodeCoreDefinition.isReady(db, clock.wallMs()),
    status: () => buildStatus(db, clock, traffic(), startedAtMs),
    collectMetrics: registry => {
      collectMetrics(registry, db, clock)
      collectLimitCounts(registry, limits)
    }
  }
}

function buildStatus (
  db: NodeCoreDb, clock: Clock, traffic: ControlTraffic, startedAtMs: number
): Record<string, unknown> {
  const nowMs = clock.monotonicMs()
  const { modules, settings } = db
  const upS = Math.max(1, (nowMs - startedAtMs) / 1000)
  return {
    node_id: settings.nodeId,
    service: settings.serviceName,
    data_centre: settings.dataCentre,
    incarnation: settings.incarnation,
    state: db.nodeState,
    backend_server: db.backendState,
    open_calls_count: db.calls.size,
    gate: admissionDefinition.getGateReading(modules.admission, nowMs),
    shares: agreementDefinition.shareReadings(modules.agreement, nowMs),
    documents: documentsDefinition.documents(modules.documents).map(({ document, revision, sinceMs }) => ({
      service: document.serviceName, version: document.version, revision, in_force_for_ms: Math.round(nowMs - sinceMs)
    })),
    rejected_documents: documentsDefinition.pendingRejections(modules.documents),
    vms: membershipDefinition.vmReadings(modules.membership, nowMs).length,
    leaving_vms: membershipDefinition.vmReadings(modules.membership, nowMs)
      .filter(reading => reading.effectiveState === 'leaving').map(reading => reading.vmId),
    peers: routingDefinition.peerReadings(modules.routing, nowMs)
      .filter(reading => reading.outstandingCount > 0 || reading.draining || reading.ejectedUntilMs !== null),
    quarantined: retryDefinition.listQuarantined(modules.retry, nowMs),
    lease: idempotencyDefinition.newestLease(modules.idempotency),
    latencies: ledgerDefinition.latencies(modules.ledger),
    counts: ledgerDefinition.counts(modules.ledger),
    control_bytes_per_s: Math.round((traffic.bytesSent + traffic.bytesReceived) / upS),
    memory_rss_bytes: process.memoryUsage.rss(),
    cpu_ms: Math.round((process.cpuUsage().user + process.cpuUsage().system) / 1000),
    up_ms: Math.round(nowMs - startedAtMs)
  }
}

function collectMetrics (registry: Registry, db: NodeCoreDb, clock: Clock): void {
  const nowMs = clock.monotonicMs()
  const gate = admissionDefinition.getGateReading(db.modules.admission, nowMs)
  const gauges: Array<[string, string, number]> = [
    ['ragwortspur_calls_open', 'Calls that are open at this node', db.calls.size],
    ['ragwortspur_gate_in_flight', 'Calls running on the backend server', gate.inFlightCount],
    ['ragwortspur_gate_queued', 'Calls waiting for a slot', gate.queuedCount],
    ['ragwortspur_gate_limit', 'Calls allowed to run at once', gate.limitCount],
    ['ragwortspur_gate_cut_level', 'Worst admission level still admitted', gate.cutLevel]
  ]
  for (const [name, help, value] of gauges) {
    new Gauge({ name, help, registers: [registry] }).set(value)
  }
  collectCallCounts(registry, db)
  collectLatencies(registry, db)
}

function collectCallCounts (registry: Registry, db: NodeCoreDb): void {
  const calls = new Counter({
    name: 'ragwortspur_calls_total',
    help: 'Calls that ended at this node',
    labelNames: ['caller', 'service', 'importance', 'outcome'],
    registers: [registry]
  })
  for (const counts of ledgerDefinition.counts(db.modules.ledger)) {
    const labels = { caller: counts.callerName, service: counts.serviceName, importance: counts.importance }
    calls.inc({ ...labels, outcome: 'done' }, counts.doneCount)
    calls.inc({ ...labels, outcome: 'not_run' }, counts.notRunCount)
    calls.inc({ ...labels, outcome: 'unknown' }, counts.unknownCount)
    calls.inc({ ...labels, outcome: 'cancelled' }, counts.cancelledCount)
  }
}

function collectLimitCounts (registry: Registry, limits: LimitCounts): void {
  const exceeded = new Counter({
    name: 'ragwortspur_limits_exceeded_total',
    help: 'Times that a limit on what peers make the node hold was exceeded',
    labelNames: ['limit'],
    registers: [registry]
  })
  for (const [limit, count] of limits.counts) exceeded.inc({ limit }, count)
}

function collectLatencies (registry: Registry, db: NodeCoreDb): void {
  const latency = new Gauge({
    name: 'ragwortspur_call_latency_ms',
    help: 'Latency of calls at this node in milliseconds',
    labelNames: ['caller', 'service', 'importance', 'quantile'],
    registers: [registry]
  })
  for (const reading of ledgerDefinition.latencies(db.modules.ledger)) {
    const labels = { caller: reading.callerName, service: reading.serviceName, importance: reading.importance }
    latency.set({ ...labels, quantile: '0.5' }, reading.p50Ms)
    latency.set({ ...labels, quantile: '0.99' }, reading.p99Ms)
  }
}
