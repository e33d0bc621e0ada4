import type { Clock } from '../clock/clock.js'
import type { ChainAdmissionDb } from '../core/chainAdmission/chainAdmissionDb.js'
import { chainAdmissionDefinition } from '../core/chainAdmission/chainAdmissionDefinition.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import type { DiscoveryDb } from '../core/discovery/discoveryDb.js'
import { discoveryDefinition } from '../core/discovery/discoveryDefinition.js'
import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { MemoryShare } from '../core/memoryAccount/memoryAccountTypes.js'
import type { PlacementDb } from '../core/placement/placementDb.js'
import type { SlotsDb } from '../core/slots/slotsDb.js'
import { slotsDefinition } from '../core/slots/slotsDefinition.js'
import type { NodeMetrics } from './nodeMetrics.js'

/** State of a node that its gauges show. */
export interface GaugeSources {
  readonly chainAdmission: ChainAdmissionDb
  readonly clock: Clock
  readonly configuration: ConfigurationDb
  readonly discovery: DiscoveryDb
  readonly placement: PlacementDb
  readonly slots: SlotsDb
  /** Age of the proof of the configuration's age, NaN where none is needed. */
  readonly proofAgeMs: () => number
  readonly openLinksCount: () => number
  readonly openRequestsCount: () => number
  readonly callerConnectionsCount: () => number
  readonly memory: MemoryAccountDb
}

/**
 * Registers the gauges of a node, which are read when its metrics are rendered.
 *
 * @example
 * registerNodeGauges(metrics, { clock, configuration, discovery, placement, slots, ...counts })
 */
export function registerNodeGauges (metrics: NodeMetrics, sources: GaugeSources): void {
  const { chainAdmission, clock, configuration, discovery, placement, slots } = sources
  const gauges: Readonly<Record<string, () => number>> = {
    configuration_version: () => configuration.current?.version ?? 0,
    configuration_proof_age_ms: sources.proofAgeMs,
    list_era: () => discovery.era,
    list_revision: () => discovery.revision,
    list_age_ms: () => Math.round(clock.monotonicMs() - discovery.newestReadAtMs),
    servers_listed: () => discoveryDefinition.usedServersCount(discovery),
    peer_links: sources.openLinksCount,
    requests_open: sources.openRequestsCount,
    caller_connections: sources.callerConnectionsCount,
    held_limit_bytes: () => 2 * sources.memory.limits.sideBytes,
    answers_waiting_for_memory: () => sources.memory.waiting.size,
    backend_running: () => slots.runningCount,
    backend_queued: () => slots.queue.length,
    backend_rate_limit_per_s: () => slots.rateLimit.limitPerS ?? NaN,
    backend_slots_used_limit: () => slotsDefinition.getLoadReport(slots).limitCount,
    resident_bytes: () => process.memoryUsage.rss()
  }
  for (const [name, read] of Object.entries(gauges)) metrics.registerGauge(name, read)
  metrics.registerLabelledGauge('held_bytes', () => Object.values(MemoryShare).map(share => {
    return [{ share }, memoryAccountDefinition.shareBytes(sources.memory, share)] as const
  }))
  metrics.registerLabelledGauge('utilization_spread_ratio', () => [...placement.services.values()].map(service => {
    return [{ service: service.serviceName }, Number(service.spreadRatio.toFixed(3))] as const
  }))
  metrics.registerLabelledGauge('refused_sends_ratio', () => {
    return chainAdmissionDefinition.listRefusedRatios(chainAdmission, clock.monotonicMs())
      .map(([service, refusedRatio]) => [{ service }, Number(refusedRatio.toFixed(3))])
  })
  metrics.registerLabelledGauge('completable_ratio', () => {
    return chainAdmissionDefinition.listRefusedRatios(chainAdmission, clock.monotonicMs()).map(([service]) => {
      return [{ service }, Number(chainAdmissionDefinition.leastCompletableRatio(chainAdmission, service).toFixed(3))]
    })
  })
}
