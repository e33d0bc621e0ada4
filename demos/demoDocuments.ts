import { existsSync, readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { z } from 'zod'
import { Importance } from '../src/core/coreTypes.js'
import { backendConfigSchema, type BackendConfig } from '../src/standins/backendTypes.js'
import type { LoadStream } from '../src/standins/loadPlan.js'
import type { DeploymentSpec, ServiceSpec } from './deploymentSpecs.js'

const documentSchema = z.looseObject({
  service: z.string(),
  version: z.number(),
  backend: z.object({ slots_count: z.number(), connections_count: z.number() }),
  capacity_calls_per_s: z.number(),
  data_centres: z.array(z.object({ name: z.string(), weight_ratio: z.number() })),
  routes: z.array(z.looseObject({
    name: z.string(),
    method: z.string(),
    path_prefix: z.string(),
    importance: z.enum(Importance),
    idempotent: z.boolean(),
    deadline_ms: z.number()
  })),
  callers: z.array(z.looseObject({ name: z.string(), promised_calls_per_s: z.number() })),
  default_caller: z.looseObject({ promised_calls_per_s: z.number() })
})

export type DemoDocument = z.infer<typeof documentSchema>

function findDocumentPath (deployment: string, service: string): URL {
  // The documents are not copied by the build: the built file in dist/demos reads them from demos.
  const pathBesideThisFile = new URL(`./${deployment}/${service}.yaml`, import.meta.url)
  return existsSync(pathBesideThisFile) ? pathBesideThisFile : new URL(`../../demos/${deployment}/${service}.yaml`, import.meta.url)
}

/**
 * Reads and parses the documents of a deployment; the keys are service names.
 *
 * @example
 * readDocuments(DEPLOYMENT_SPECS.lyhter).get('invoicing')?.version
 */
export function readDocuments (spec: DeploymentSpec): Map<string, DemoDocument> {
  return new Map(spec.services.map(({ service }) => {
    const text = readFileSync(findDocumentPath(spec.name, service), 'utf8')
    return [service, documentSchema.parse(parse(text))]
  }))
}

/**
 * Returns a copy of a document with slots, connections, promised rates and
 * capacity multiplied by a factor. Slots and connections are rounded, to 1 at
 * least.
 *
 * @example
 * scaleDocument(document, 0.1).backend.slots_count
 */
export function scaleDocument (document: DemoDocument, factor: number): DemoDocument {
  const scaleCount = (size: number): number => Math.max(1, Math.round(size * factor))
  const { backend } = document
  return {
    ...document,
    backend: { slots_count: scaleCount(backend.slots_count), connections_count: scaleCount(backend.connections_count) },
    capacity_calls_per_s: document.capacity_calls_per_s * factor,
    callers: document.callers.map(caller => (
      { ...caller, promised_calls_per_s: caller.promised_calls_per_s * factor }
    )),
    default_caller: {
      ...document.default_caller, promised_calls_per_s: document.default_caller.promised_calls_per_s * factor
    }
  }
}

function findRoute (documents: ReadonlyMap<string, DemoDocument>, service: string, name: string): DemoDocument['routes'][0] {
  const route = documents.get(service)?.routes.find(candidate => candidate.name === name)
  if (route === undefined) throw new Error(`${service} has no route ${name}`)
  return route
}

/** Builds the configuration of the stand-in backend servers of a service. */
export function backendConfigOf (
  service: ServiceSpec, documents: ReadonlyMap<string, DemoDocument>, seed: number
): BackendConfig {
  const document = documents.get(service.service)
  return backendConfigSchema.parse({
    service: service.service,
    ...document?.backend,
    seed,
    routes: Object.entries(service.routes).map(([name, work]) => {
      const { method, path_prefix } = findRoute(documents, service.service, name)
      return {
        method,
        path_prefix,
        service_time_ms: work.serviceTimeMs,
        service_time_kind: work.serviceTimeKind,
        sub_calls: work.subCalls.map(call => {
          const callee = findRoute(documents, call.service, call.route)
          return { service: call.service, method: callee.method, path: callee.path_prefix }
        })
      }
    })
  })
}

/** Builds the load streams at 1x, where each external caller sends at its promised rate. */
export function loadStreamsOf (spec: DeploymentSpec, documents: ReadonlyMap<string, DemoDocument>): LoadStream[] {
  return spec.streams.map(({ caller, service, route }) => {
    const callerEntry = documents.get(service)?.callers.find(entry => entry.name === caller)
    if (callerEntry === undefined) throw new Error(`${service} has no caller ${caller}`)
    const { method, path_prefix, importance, idempotent, deadline_ms } = findRoute(documents, service, route)
    return {
      name: `${caller}/${service}/${route}`,
      caller,
      service,
      method,
      path: path_prefix,
      importance,
      keyed: !idempotent,
      rate_per_s: callerEntry.promised_calls_per_s,
      deadline_ms
    }
  })
}
