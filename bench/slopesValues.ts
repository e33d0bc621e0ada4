import type { PublishedValue } from '../src/core/documents/documentsTypes.js'

/** Size of a generated fleet. */
export interface FleetSize {
  readonly peersCount: number
  readonly servicesCount: number
  readonly documentsCount: number
  readonly callersCount: number
  readonly dataCentresCount: number
}

/** Fleet size that the design assumes. */
export const DESIGN_SIZE: FleetSize = {
  peersCount: 5_900, servicesCount: 400, documentsCount: 400, callersCount: 12, dataCentresCount: 31
}

export const OWN_SERVICE = 'service-000'
export const OWN_DATA_CENTRE = 'centre-00'
export const OWN_NODE = 'vm-00000'

export function serviceName (index: number): string {
  return `service-${String(index).padStart(3, '0')}`
}

export function dataCentreName (index: number): string {
  return `centre-${String(index).padStart(2, '0')}`
}

export function nodeName (index: number): string {
  return `vm-${String(index).padStart(5, '0')}`
}

function generateNames (count: number, name: (index: number) => string): string[] {
  return Array.from({ length: count }, (_, index) => name(index))
}

/** Generates a service document with a lookup route, a booking route and a number of callers. */
export function documentOf (size: FleetSize, index: number, version = 1): PublishedValue {
  const centres = generateNames(size.dataCentresCount, dataCentreName)
  const document = {
    service: serviceName(index),
    team: `team-${index}`,
    version,
    backend: { slots_count: 75, connections_count: 550 },
    capacity_calls_per_s: 1_000_000,
    data_centres: centres.map(name => ({ name, weight_ratio: 1 / centres.length })),
    routes: [
      { name: 'find', method: 'GET', path_prefix: '/', importance: 'normal', idempotent: true, deadline_ms: 2_000 },
      { name: 'book', method: 'POST', path_prefix: '/orders', importance: 'vital', idempotent: false, deadline_ms: 2_000 }
    ],
    callers: generateNames(size.callersCount, caller => `caller-${caller}`)
      .map(name => ({ name, promised_calls_per_s: 1_000_000, max_importance: 'vital' })),
    default_caller: { promised_calls_per_s: 1, max_importance: 'normal' }
  }
  return { key: `documents/${serviceName(index)}`, revision: version, text: JSON.stringify(document) }
}

/**
 * Generates the VM list of a data centre. The addresses are loopback addresses, so
 * that nothing that a measured node sends leaves the machine.
 */
export function vmListOf (size: FleetSize, centreIndex: number, revision = 1): PublishedValue {
  const dataCentre = dataCentreName(centreIndex)
  const vms = []
  for (let index = centreIndex; index < size.peersCount; index += size.dataCentresCount) {
    const indexInCentre = Math.floor(index / size.dataCentresCount)
    const host = `127.${centreIndex + 1}.${Math.floor(indexInCentre / 250)}.${indexInCentre % 250 + 1}`
    vms.push({
      vm_id: nodeName(index),
      service: serviceName((index + Math.floor(index / size.servicesCount)) % size.servicesCount),
      data_centre: dataCentre,
      call_address: `${host}:7400`,
      control_address: `${host}:7401`,
      state: 'live'
    })
  }
  return { key: `vms/${dataCentre}`, revision, text: JSON.stringify({ vms }) }
}

/** Generates all values that the platform publishes for a fleet. */
export function valuesOf (size: FleetSize): PublishedValue[] {
  const catalogue = {
    services: generateNames(size.documentsCount, serviceName),
    data_centres: generateNames(size.dataCentresCount, dataCentreName)
  }
  return [
    { key: 'catalogue', revision: 1, text: JSON.stringify(catalogue) },
    ...Array.from({ length: size.dataCentresCount }, (_, index) => vmListOf(size, index)),
    ...Array.from({ length: size.documentsCount }, (_, index) => documentOf(size, index))
  ]
}
