import type { PublishedValue } from '../core/documents/documentsTypes.js'

/** A valid document of the delivery booking service, for tests and stand-ins. */
export const BOOKING_TEXT = `service: delivery-booking
team: booking
version: 7
backend: { slots_count: 220, connections_count: 1400 }
capacity_calls_per_s: 400
data_centres:
  - { name: tallinn, weight_ratio: 0.4 }
  - { name: tartu, weight_ratio: 0.3 }
  - { name: parnu, weight_ratio: 0.3 }
retry_budget_count: 2
resend_window_ms: 120000
routes:
  - name: book
    method: POST
    path_prefix: /bookings
    importance: vital
    idempotent: false
    deadline_ms: 2000
    callees: [delivery-schedule, depot-stock, invoicing]
  - { name: import, method: POST, path_prefix: /bookings/import, importance: low, idempotent: true, deadline_ms: 9000 }
callers:
  - { name: dispatchers, promised_calls_per_s: 100, max_importance: vital }
default_caller: { promised_calls_per_s: 1, max_importance: normal }
`

/** Published value that holds the booking document with the given version and service name. */
export function documentValue (version: number, revision: number, service = 'delivery-booking'): PublishedValue {
  const text = BOOKING_TEXT.replace('version: 7', `version: ${version}`)
    .replace('service: delivery-booking', `service: ${service}`)
  return { key: `documents/${service}`, revision, text }
}

/** Published value that holds the VM list of a data centre; each VM id gets the next loopback ports. */
export function vmListValue (dataCentre: string, revision: number, vmIds: readonly string[]): PublishedValue {
  const vms = vmIds.map((vmId, index) => ({
    vm_id: vmId,
    service: 'delivery-booking',
    data_centre: dataCentre,
    call_address: `127.0.0.1:${9000 + index}`,
    control_address: `127.0.0.1:${19_000 + index}`,
    state: 'live'
  }))
  return { key: `vms/${dataCentre}`, revision, text: JSON.stringify({ vms }) }
}

/** Published value that holds the catalogue: the names of all services and data centres. */
export function catalogueValue (
  revision: number, services: readonly string[], dataCentres: readonly string[]
): PublishedValue {
  return { key: 'catalogue', revision, text: JSON.stringify({ services, data_centres: dataCentres }) }
}
