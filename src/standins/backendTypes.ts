import { z } from 'zod'

export enum ServiceTimeKind {
  Fixed = 'fixed',
  Exponential = 'exponential'
}

export enum AnswerFault {
  None = 'none',
  /** The answer is held back for `late_ms`. */
  Late = 'late',
  /** The answer is that of another call. */
  Crossed = 'crossed',
  /** The connection closes in the middle of the body. */
  Truncated = 'truncated'
}

export enum HealthStatus {
  Ready = 'ready',
  Warming = 'warming',
  Draining = 'draining'
}

/** A call that a route makes through the node on its VM. */
export const subCallSchema = z.strictObject({
  service: z.string().min(1),
  method: z.string().min(1),
  path: z.string().startsWith('/')
})

/** A route of the stand-in backend server. */
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
  /** Calls that may wait for a slot; more are refused with a 503. */
  queue_count: z.number().int().min(0).default(Number.MAX_SAFE_INTEGER),
  cold_start_ms: z.number().min(0).default(0),
  cold_factor: z.number().min(1).default(3),
  seed: z.number().int().default(1),
  routes: z.array(backendRouteSchema).min(1)
})

/** Test control; a field that is left out stays as it is. */
export const backendControlSchema = z.strictObject({
  slow_factor: z.number().min(0).optional(),
  reported_load_ratio: z.number().nullable().optional(),
  reported_status: z.enum(HealthStatus).nullable().optional(),
  /** A call whose body contains this text ends the process. */
  crash_marker: z.string().nullable().optional(),
  answer_fault: z.enum(AnswerFault).optional(),
  /** Part of the answers that get the fault. */
  fault_ratio: z.number().min(0).max(1).optional(),
  late_ms: z.number().min(0).optional(),
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
