import { z } from 'zod'
import { Importance } from '../core/coreTypes.js'

/** Stream of calls from one caller to one route. */
export const streamSchema = z.strictObject({
  name: z.string().min(1),
  caller: z.string().min(1),
  service: z.string().min(1),
  method: z.string().min(1),
  path: z.string().startsWith('/'),
  importance: z.enum(Importance),
  /** Whether each root request carries an idempotency key. */
  keyed: z.boolean(),
  rate_per_s: z.number().min(0),
  deadline_ms: z.number().min(1)
})

/** Period in which the rate of each stream is multiplied by its entry in `stream_factors`, or else by `factor`. */
export const phaseSchema = z.strictObject({
  name: z.string().min(1),
  duration_ms: z.number().min(1),
  factor: z.number().min(0),
  stream_factors: z.record(z.string(), z.number().min(0)).default({})
})

export const loadPlanSchema = z.strictObject({
  seed: z.number().int().default(1),
  /** Unix time of the start, so that several load generators start together; 0 starts at once. */
  start_at_ms: z.number().default(0),
  targets: z.array(z.string()).min(1),
  streams: z.array(streamSchema).min(1),
  phases: z.array(phaseSchema).min(1),
  /** Maximum number of resends of a root request, each to a different node than the one before if there are several. */
  resends_count: z.number().int().min(0).default(2),
  resend_pause_ms: z.number().min(0).default(10),
  /** Time that the caller waits for an answer beyond the deadline. */
  timeout_slack_ms: z.number().min(0).default(200),
  connections_per_target_count: z.number().int().min(1).default(256)
})

export type LoadStream = z.infer<typeof streamSchema>
export type LoadPhase = z.infer<typeof phaseSchema>
export type LoadPlan = z.infer<typeof loadPlanSchema>

/** Arrival rate of a stream in a phase. */
export function rateInPhase (stream: LoadStream, phase: LoadPhase): number {
  return stream.rate_per_s * (phase.stream_factors[stream.name] ?? phase.factor)
}

/**
 * Returns the phase at a time since the start, or undefined after the last phase.
 *
 * @example
 * phaseAt(plan.phases, 1500)?.phase.name
 */
export function phaseAt (
  phases: readonly LoadPhase[], sinceStartMs: number
): { phase: LoadPhase, index: number, endMs: number } | undefined {
  let endMs = 0
  for (const [index, phase] of phases.entries()) {
    endMs += phase.duration_ms
    if (sinceStartMs < endMs) return { phase, index, endMs }
  }
  return undefined
}
