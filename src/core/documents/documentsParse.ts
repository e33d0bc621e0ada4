import { Either, Left, Right } from 'purify-ts'
import type { z } from 'zod'
import type { VmEntry, VmList } from '../membership/membershipTypes.js'
import { documentFaults, duplicateFaults } from './documentsChecks.js'
import { catalogueSchema, documentSchema, vmListSchema, type PublishedDocument } from './documentsSchema.js'
import type { Catalogue, DocumentFault, PublishedValue, RouteConfig, ServiceDocument } from './documentsTypes.js'
import {
  checkSchema, addLines, isTooDeep, parseText, tooDeepFault, VALUE_MAX_BYTES, type FieldFault, type ParsedText
} from './publishedText.js'

export const DOCUMENT_KEY_PREFIX = 'documents/'
export const VM_LIST_KEY_PREFIX = 'vms/'
export const CATALOGUE_KEY = 'catalogue'

/** A document with its parsed text, from which the line of each field can be looked up. */
export interface ParsedDocument {
  readonly document: ServiceDocument
  readonly parsed: ParsedText
}

function toRoute (route: PublishedDocument['routes'][number]): RouteConfig {
  return {
    name: route.name,
    method: route.method,
    pathPrefix: route.path_prefix,
    importance: route.importance,
    idempotent: route.idempotent,
    deadlineMs: route.deadline_ms,
    callees: route.callees
  }
}

function toCallerPolicy (terms: PublishedDocument['default_caller']): ServiceDocument['defaultCaller'] {
  return { promisedCallsPerS: terms.promised_calls_per_s, maxImportance: terms.max_importance }
}

function toServiceDocument (published: PublishedDocument): ServiceDocument {
  // Without a prototype, a lookup of an unlisted data centre cannot return an inherited property such as `constructor`.
  const dataCentreWeights = Object.create(null) as Record<string, number>
  for (const entry of published.data_centres) dataCentreWeights[entry.name] = entry.weight_ratio
  return {
    serviceName: published.service,
    team: published.team,
    version: published.version,
    backendSlotsCount: published.backend.slots_count,
    backendConnectionsCount: published.backend.connections_count,
    capacityCallsPerS: published.capacity_calls_per_s,
    dataCentreWeights,
    retryBudgetCount: published.retry_budget_count,
    resendWindowMs: published.resend_window_ms,
    routes: published.routes.map(toRoute),
    callers: published.callers.map(caller => ({ name: caller.name, ...toCallerPolicy(caller) })),
    defaultCaller: toCallerPolicy(published.default_caller)
  }
}

function keyMismatchFaults (expected: string, found: string, field: string): FieldFault[] {
  return expected === found ? [] : [{ path: [field], reason: `is "${found}"; allowed is "${expected}", the name in the key` }]
}

/**
 * Parses and checks the text of a document. With `serviceName`, the document has to be that service's.
 *
 * Errors: all faults of the first step that fails (syntax, fields, rules across fields), each with path, line and
 * reason.
 */
export function parseDocumentText (text: string, serviceName?: string): Either<DocumentFault[], ParsedDocument> {
  return parseText(text).chain(parsed => checkSchema(documentSchema, parsed.value)
    .chain(published => {
      const faults = documentFaults(published)
      if (serviceName !== undefined) faults.push(...keyMismatchFaults(serviceName, published.service, 'service'))
      return faults.length > 0 ? Left(faults) : Right({ document: toServiceDocument(published), parsed })
    })
    .mapLeft(faults => addLines(faults, parsed)))
}

/**
 * Parses a published document; its `service` has to be the name in the key.
 *
 * @example
 * parseServiceDocument({ key: 'documents/invoicing', revision: 3, text }).map(document => document.version)
 *
 * Errors: all faults, each with path, line and reason.
 */
export function parseServiceDocument (value: PublishedValue): Either<DocumentFault[], ServiceDocument> {
  return parseDocumentText(value.text, value.key.slice(DOCUMENT_KEY_PREFIX.length)).map(found => found.document)
}

/**
 * Tries the JSON parser first. The YAML parser accepts JSON as well and reports
 * lines, but is about ten times slower on long lists, so it is the fallback.
 */
function parseJsonOrYaml (text: string): Either<DocumentFault[], ParsedText> {
  if (text.length > VALUE_MAX_BYTES) return parseText(text)
  try {
    const value: unknown = JSON.parse(text)
    if (isTooDeep(value)) return Left(tooDeepFault())
    const lineOf: ParsedText['lineOf'] = path => parseText(text).map(parsed => parsed.lineOf(path)).orDefault(null)
    return Right({ value, lineOf })
  } catch {
    return parseText(text)
  }
}

function parseAndCheck<T> (
  text: string, schema: z.ZodType<T>, faultsOf: (value: T) => FieldFault[]
): Either<DocumentFault[], T> {
  return parseJsonOrYaml(text).chain(parsed => checkSchema(schema, parsed.value)
    .chain(value => {
      const faults = faultsOf(value)
      return faults.length > 0 ? Left(faults) : Right(value)
    })
    .mapLeft(faults => addLines(faults, parsed)))
}

type PublishedVm = z.infer<typeof vmListSchema>['vms'][number]

function toVmEntry (vm: PublishedVm): VmEntry {
  return {
    vmId: vm.vm_id,
    serviceName: vm.service,
    dataCentre: vm.data_centre,
    callAddress: vm.call_address,
    controlAddress: vm.control_address,
    state: vm.state
  }
}

function vmFaults (vms: readonly PublishedVm[], dataCentre: string): FieldFault[] {
  const misplaced = vms.flatMap((vm, index) => vm.data_centre === dataCentre
    ? []
    : [{ path: ['vms', index, 'data_centre'], reason: `is "${vm.data_centre}"; allowed is "${dataCentre}", the name in the key` }])
  return [...misplaced, ...duplicateFaults('vms', vms, 'vm_id', vm => vm.vm_id)]
}

/**
 * Parses a published VM list; the data centre is the one in the key.
 *
 * @example
 * parseVmList({ key: 'vms/tartu', revision: 4, text: '{"vms": []}' }).map(list => list.entries.length) // Right(0)
 *
 * Errors: all faults, each with path, line and reason.
 */
export function parseVmList (value: PublishedValue): Either<DocumentFault[], VmList> {
  const dataCentre = value.key.slice(VM_LIST_KEY_PREFIX.length)
  return parseAndCheck(value.text, vmListSchema, list => vmFaults(list.vms, dataCentre))
    .map(list => ({ dataCentre, revision: value.revision, entries: list.vms.map(toVmEntry) }))
}

/**
 * Parses the published catalogue.
 *
 * @example
 * parseCatalogue({ key: 'catalogue', revision: 1, text: '{"services": ["invoicing"], "data_centres": ["tartu"]}' })
 *
 * Errors: all faults, each with path, line and reason.
 */
export function parseCatalogue (value: PublishedValue): Either<DocumentFault[], Catalogue> {
  return parseAndCheck(value.text, catalogueSchema, found => [
    ...duplicateFaults('services', found.services, '', name => name),
    ...duplicateFaults('data_centres', found.data_centres, '', name => name)
  ]).map(found => ({ serviceNames: found.services, dataCentres: found.data_centres }))
}
