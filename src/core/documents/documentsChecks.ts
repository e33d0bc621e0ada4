import type { PublishedDocument } from './documentsSchema.js'
import { DEFAULT_CALLER_NAME } from './documentsSchema.js'
import type { FieldFault, FieldPath } from './publishedText.js'

/** Allows for rounding of the sum of decimal fractions such as 0.33, 0.33 and 0.34. */
const WEIGHT_SUM_TOLERANCE = 1e-6

/** One fault for each entry whose id is the same as that of an earlier entry. */
export function duplicateFaults<T> (
  list: string, entries: readonly T[], fieldName: string, idOf: (entry: T) => string
): FieldFault[] {
  const seen = new Map<string, number>()
  return entries.flatMap((entry, index) => {
    const id = idOf(entry)
    const first = seen.get(id)
    if (first === undefined) {
      seen.set(id, index)
      return []
    }
    const path: FieldPath = fieldName === '' ? [list, index] : [list, index, fieldName]
    return [{ path, reason: `repeats "${id}" of ${list}[${first}]; allowed is each only once` }]
  })
}

function weightFaults (document: PublishedDocument): FieldFault[] {
  const sum = document.data_centres.reduce((total, entry) => total + entry.weight_ratio, 0)
  if (Math.abs(sum - 1) <= WEIGHT_SUM_TOLERANCE) return []
  return [{ path: ['data_centres'], reason: `the weights sum to ${Number(sum.toFixed(6))}; allowed is 1` }]
}

function reservedNameFaults (document: PublishedDocument): FieldFault[] {
  return document.callers.flatMap((caller, index) => caller.name === DEFAULT_CALLER_NAME
    ? [{ path: ['callers', index, 'name'], reason: `is "${DEFAULT_CALLER_NAME}"; allowed is any other name` }]
    : [])
}

function selfCallFaults (document: PublishedDocument): FieldFault[] {
  return document.routes.flatMap((route, index) => {
    const at = route.callees.indexOf(document.service)
    return at < 0 ? [] : [{ path: ['routes', index, 'callees', at], reason: 'is the service itself; allowed are other services' }]
  })
}

/**
 * Faults that concern several fields of one document. A node refuses a document
 * with any of them, because the rate shares or routes would be ambiguous.
 */
export function documentFaults (document: PublishedDocument): FieldFault[] {
  return [
    ...weightFaults(document),
    ...duplicateFaults('data_centres', document.data_centres, 'name', entry => entry.name),
    ...duplicateFaults('routes', document.routes, 'name', entry => entry.name),
    ...duplicateFaults('routes', document.routes, 'path_prefix', entry => `${entry.method} ${entry.path_prefix}`),
    ...document.routes.flatMap((route, index) => duplicateFaults('callees', route.callees, '', callee => callee)
      .map(fault => ({ ...fault, path: ['routes', index, ...fault.path] }))),
    ...duplicateFaults('callers', document.callers, 'name', entry => entry.name),
    ...reservedNameFaults(document),
    ...selfCallFaults(document)
  ]
}
