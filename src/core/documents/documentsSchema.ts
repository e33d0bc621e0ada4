import { isIP } from 'node:net'
import { z } from 'zod'
import { Importance } from '../coreTypes.js'
import { VmState } from '../membership/membershipTypes.js'

/** Caller name under which all callers that a document does not list share the promise of `default_caller`. */
export const DEFAULT_CALLER_NAME = 'default_caller'

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const
const COUNT_MAX = 1_000_000
const RATE_MAX_CALLS_PER_S = 10_000_000
const RETRY_BUDGET_MAX_COUNT = 10
const RESEND_WINDOW_MAX_MS = 3_600_000
const DEADLINE_MAX_MS = 600_000
/** Keeps one value well below 1 MB and its validation within a few milliseconds. */
const LIST_MAX_COUNT = 2_000

/** Adds the texts for error messages and the generated documentation to a schema. */
function field<T extends z.ZodType> (schema: T, allowed: string, description: string): T {
  return schema.meta({ allowed, description })
}

function nameField (description: string): z.ZodString {
  return field(z.string().regex(NAME_PATTERN), '1 to 63 of a-z, 0-9, ".", "_", "-", beginning with a letter or digit', description)
}

function integerField (min: number, max: number, description: string): z.ZodNumber {
  return field(z.int().min(min).max(max), `a whole number from ${min} to ${max}`, description)
}

function rateField (description: string): z.ZodNumber {
  return field(z.number().min(0).max(RATE_MAX_CALLS_PER_S), `a number from 0 to ${RATE_MAX_CALLS_PER_S}`, description)
}

function importanceField (description: string): z.ZodEnum<typeof Importance> {
  return field(z.enum(Importance), Object.values(Importance).join(', '), description)
}

function listField<T extends z.ZodType> (element: T, min: number, description: string): z.ZodArray<T> {
  return field(z.array(element).min(min).max(LIST_MAX_COUNT), `a list of ${min} to ${LIST_MAX_COUNT} entries`, description)
}

const routeSchema = z.strictObject({
  name: nameField('Name of the route, unique in the document.'),
  method: field(z.enum(METHODS), METHODS.join(', '), 'HTTP method.'),
  path_prefix: field(
    z.string().regex(/^\/[^\s?#]*$/).max(200), 'a path of at most 200 characters that begins with "/" and has no "?", "#" or space',
    'Whole path segments that requests begin with; the longest prefix wins.'
  ),
  importance: importanceField('Importance of root requests on this route.'),
  idempotent: field(z.boolean(), 'true or false', 'Whether a request may run more than once.'),
  deadline_ms: integerField(1, DEADLINE_MAX_MS, 'Time for a whole call on this route.'),
  callees: listField(nameField('Service that this route calls.'), 0, 'Services that this route calls.').default([])
})

const termsShape = {
  promised_calls_per_s: rateField('Call rate that is guaranteed to the caller over the whole fleet.'),
  max_importance: importanceField('Highest importance that the caller may use.')
}

/** Schema of a service's published document. */
export const documentSchema = z.strictObject({
  service: nameField('Name of the service; the document is published as `documents/<service>`.'),
  team: field(z.string().min(1).max(100), 'a text of 1 to 100 characters', 'Team that owns the document.'),
  version: integerField(1, Number.MAX_SAFE_INTEGER, 'Version of the document; only grows.'),
  backend: z.strictObject({
    slots_count: integerField(1, COUNT_MAX, 'Calls that one backend server runs at a time.'),
    connections_count: integerField(1, COUNT_MAX, 'Connections that one backend server accepts.')
  }).meta({ description: 'Limits of each backend server.' }),
  capacity_calls_per_s: rateField('Call rate that the service as a whole can take.'),
  data_centres: listField(z.strictObject({
    name: nameField('Name of the data centre.'),
    weight_ratio: field(z.number().min(0).max(1), 'a number from 0 to 1', 'Part of each promise that this data centre holds.')
  }), 1, 'Data centres of the service; the weights sum to 1.'),
  retry_budget_count: integerField(0, RETRY_BUDGET_MAX_COUNT, 'Retries that one root request may cause.').default(2),
  resend_window_ms: integerField(1_000, RESEND_WINDOW_MAX_MS, 'How long a caller may resend a request with the same idempotency key.')
    .default(120_000),
  routes: listField(routeSchema, 1, 'Routes of the service.'),
  callers: listField(z.strictObject({ name: nameField('Name of the caller, unique in the document.'), ...termsShape }), 0,
    'Callers with promises.'),
  default_caller: z.strictObject(termsShape).meta({ description: 'Terms that all other callers share.' })
})

/** A service's document as published, with valid fields. */
export type PublishedDocument = z.infer<typeof documentSchema>

function isAddress (text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const port = Number(match[3])
  return port >= 1 && port <= 65_535 && (match[1] === undefined ? isIP(match[2]!) === 4 : isIP(match[1]) === 6)
}

function addressField (description: string): z.ZodString {
  return field(z.string().refine(isAddress), 'ip:port, with an IPv6 address in brackets', description)
}

// The platform writes VM lists and the catalogue and may add fields before the fleet's software supports them, so
// unknown fields are ignored here. In documents, which operators write, unknown fields are refused.
const vmSchema = z.object({
  vm_id: field(z.string().min(1).max(100), 'a text of 1 to 100 characters', 'Id of the VM.'),
  service: nameField('Service of the backend server on the VM.'),
  data_centre: nameField('Data centre of the VM.'),
  call_address: addressField('TCP address of the node for calls.'),
  control_address: addressField('UDP address of the node for control messages.'),
  state: field(z.enum(VmState), Object.values(VmState).join(', '), 'State of the VM.')
})

/** Schema of a published VM list. */
export const vmListSchema = z.object({
  vms: field(z.array(vmSchema).max(10_000), 'a list of at most 10000 entries', 'VMs of the data centre.')
})

/** Schema of the published catalogue. */
export const catalogueSchema = z.object({
  services: listField(nameField('Name of a service.'), 0, 'Services that have documents.'),
  data_centres: listField(nameField('Name of a data centre.'), 0, 'Data centres.')
})
