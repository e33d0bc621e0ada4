import { Either, Left, Right } from 'purify-ts'
import type { z } from 'zod'
import type { VmEntry, VmList } from '../membership/membershipTypes.js'
import { documentFaults, repeated } from './documentsChecks.js'
import { catalogueSchema, documentSchema, vmListSchema, type PublishedDocument } from './documentsSchema.js'
import type { Catalogue, DocumentFault, PublishedValue, RouteTerms, ServiceDocument } from './documentsTypes.js'
import { checkShape, locate, parseText, VALUE_MAX_BYTES, type FieldFault, type ParsedText } from './publishedText.js'

export const DOCUMENT_KEY_PREFIX = 'documents/'
export const VM_LIST_KEY_PREFIX = 'vms/'
export const CATALOGUE_KEY = 'catalogue'

/** A document with the text it was parsed from, which tells the lines of its fields. */
export interface ParsedDocument {
  readonly document: ServiceDocument
  readonly parsed: ParsedText
}

function routeOf (route: PublishedDocument['routes'][number]): RouteTerms {
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

function termsOf (terms: PublishedDocument['default_caller']): ServiceDocument['defaultCaller'] {
  return { promisedCallsPerS: terms.promised_calls_per_s, maxImportance: terms.max_importance }
}

function mapped (published: PublishedDocument): ServiceDocument {
  // Without a prototype, a data centre that is not listed never reads as an inherited property.
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
    routes: published.routes.map(routeOf),
    callers: published.callers.map(caller => ({ name: caller.name, ...termsOf(caller) })),
    defaultCaller: termsOf(published.default_caller)
  }
}

function keyFault (expected: string, found: string, field: string): FieldFault[] {
  return expected === found ? [] : [{ path: [field], reason: `is "${found}"; allowed is "${expected}", the name in the key` }]
}

/**
 * Parses and checks the text of a document and keeps the lines of its fields.
 *
 * Errors: all faults that one pass finds, each with path, line and reason.
 */
export function parseDocumentText (text: string, serviceName?: string): Either<DocumentFault[], ParsedDocument> {
  return parseText(text).chain(parsed => checkShape(documentSchema, parsed.value)
    .chain(published => {
      const faults = documentFaults(published)
      if (serviceName !== undefined) faults.push(...keyFault(serviceName, published.service, 'service'))
      return faults.length > 0 ? Left(faults) : Right({ document: mapped(published), parsed })
    })
    .mapLeft(faults => locate(faults, parsed)))
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
 * Parses JSON at once and falls back to the YAML parser, which is some ten
 * times slower on long lists but accepts both and tells lines.
 */
function parsedQuickly (text: string): Either<DocumentFault[], ParsedText> {
  if (text.length > VALUE_MAX_BYTES) return parseText(text)
  try {
    const value: unknown = JSON.parse(text)
    const lineOf: ParsedText['lineOf'] = path => parseText(text).map(parsed => parsed.lineOf(path)).orDefault(null)
    return Right({ value, lineOf })
  } catch {
    return parseText(text)
  }
}

function checkPublished<T> (
  text: string, schema: z.ZodType<T>, faultsOf: (value: T) => FieldFault[]
): Either<DocumentFault[], T> {
  return parsedQuickly(text).chain(parsed => checkShape(schema, parsed.value)
    .chain(value => {
      const faults = faultsOf(value)
      return faults.length > 0 ? Left(faults) : Right(value)
    })
    .mapLeft(faults => locate(faults, parsed)))
}

type PublishedVm = z.infer<typeof vmListSchema>['vms'][number]

function entryOf (vm: PublishedVm): VmEntry {
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
  return [...misplaced, ...repeated('vms', vms, 'vm_id', vm => vm.vm_id)]
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
  return checkPublished(value.text, vmListSchema, list => vmFaults(list.vms, dataCentre))
    .map(list => ({ dataCentre, revision: value.revision, entries: list.vms.map(entryOf) }))
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
  return checkPublished(value.text, catalogueSchema, found => [
    ...repeated('services', found.services, '', name => name),
    ...repeated('data_centres', found.data_centres, '', name => name)
  ]).map(found => ({ serviceNames: found.services, dataCentres: found.data_centres }))
}
