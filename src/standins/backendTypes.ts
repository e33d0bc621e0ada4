import { z } from 'zod'

export enum ServiceTimeKind {
  Fixed = 'fixed',
  Exponential = 'exponential'
}

export enum AnswerFault {
  None = 'none',
  /** The answer is delayed by `late_ms`. */
  Late = 'late',
  /** The answer of the previous call is sent instead. */
  Crossed = 'crossed',
  /** The connection is closed after half of the body. */
  Truncated = 'truncated'
}

export enum HealthStatus {
  Ready = 'ready',
  Warming = 'warming',
  Draining = 'draining'
}

/** Call that a backend server makes through the node on its VM while it serves a route. */
export const subCallSchema = z.strictObject({
  service: z.string().min(1),
  method: z.string().min(1),
  path: z.string().startsWith('/')
})

export const backendRouteSchema = z.strictObject({
  method: z.string().min(1),
  path_prefix: z.string().startsWith('/'),
  service_time_ms: z.number().min(0),
  service_time_kind: z.enum(ServiceTimeKind),
  sub_calls: z.array(subCallSchema).default([])
})

export const backendConfigSchema = z.strictObject({
  service: z.string().min(1),
  slots_count: z.number().int().min(1),
  connections_count: z.number().int().min(1),
  /** Maximum number of calls that wait for a slot; further calls are answered with a 503. */
  queue_count: z.number().int().min(0).default(Number.MAX_SAFE_INTEGER),
  /** Time after the start in which service times are multiplied by `cold_factor`. */
  cold_start_ms: z.number().min(0).default(0),
  cold_factor: z.number().min(1).default(3),
  seed: z.number().int().default(1),
  routes: z.array(backendRouteSchema).min(1)
})

/** Test control; an omitted field keeps its current value. */
export const backendControlSchema = z.strictObject({
  slow_factor: z.number().min(0).optional(),
  reported_load_ratio: z.number().nullable().optional(),
  reported_status: z.enum(HealthStatus).nullable().optional(),
  /** The process exits when the body of a call contains this text. */
  crash_marker: z.string().nullable().optional(),
  answer_fault: z.enum(AnswerFault).optional(),
  /** Fraction of the answers to which `answer_fault` is applied. */
  fault_ratio: z.number().min(0).max(1).optional(),
  late_ms: z.number().min(0).optional(),
  /** Resets the connection of every request, health probes included. */
  refuse: z.boolean().optional(),
  draining: z.boolean().optional()
})

export type SubCall = z.infer<typeof subCallSchema>
export type BackendRoute = z.infer<typeof backendRouteSchema>
export type BackendConfig = z.infer<typeof backendConfigSchema>
export type BackendControl = Required<z.infer<typeof backendControlSchema>>

export const NO_FAULTS: BackendControl = {
  slow_factor: 1,
  reported_load_ratio: null,
  reported_status: null,
  crash_marker: null,
  answer_fault: AnswerFault.None,
  fault_ratio: 1,
  late_ms: 0,
  refuse: false,
  draining: false
}
