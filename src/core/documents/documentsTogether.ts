import type { ParsedDocument } from './documentsParse.js'
import { parseDocumentText } from './documentsParse.js'
import type { DocumentFault } from './documentsTypes.js'
import { locate, parseText, type FieldFault } from './publishedText.js'

/** A file to check. */
export interface DocumentFile {
  readonly name: string
  readonly text: string
}

/** A fault with its file. */
export interface FileFault extends DocumentFault {
  readonly file: string
}

/** Result of a check. */
export interface CheckReport {
  readonly faults: readonly FileFault[]
  readonly filesCount: number
  readonly validCount: number
}

interface CheckedFile extends ParsedDocument {
  readonly file: string
}

type ByService = ReadonlyMap<string, CheckedFile>

/** Rates are sums of decimal fractions. */
const RATE_TOLERANCE_CALLS_PER_S = 1e-6

/**
 * Promises above the capacity. A node accepts such a document, since capacity
 * may be lowered in an incident, but its promises cannot all be kept.
 */
function capacityFaults ({ document }: CheckedFile): FieldFault[] {
  const sum = document.callers.reduce((total, caller) => total + caller.promisedCallsPerS, 0) +
    document.defaultCaller.promisedCallsPerS
  if (sum <= document.capacityCallsPerS + RATE_TOLERANCE_CALLS_PER_S) return []
  const found = Number(sum.toFixed(3))
  const reason = `the promises of all callers and of default_caller sum to ${found} calls/s; ` +
    `allowed is at most the capacity_calls_per_s of ${document.capacityCallsPerS}`
  return [{ path: ['callers'], reason }]
}

/** Service that a faulty document names, so that its callers are not reported for the faults of another file. */
function namedService (text: string): string | undefined {
  const value = parseText(text).map(parsed => parsed.value).orDefault(null)
  const name = (value as { service?: unknown } | null)?.service
  return typeof name === 'string' ? name : undefined
}

function calleeFaults (
  { document }: CheckedFile, byService: ByService, unchecked: ReadonlySet<string | undefined>
): FieldFault[] {
  return document.routes.flatMap((route, index) => route.callees.flatMap((callee, at): FieldFault[] => {
    const path = ['routes', index, 'callees', at]
    const target = byService.get(callee)
    if (target === undefined && unchecked.has(callee)) return []
    if (target === undefined) {
      const known = [...byService.keys()].sort().join(', ')
      return [{ path, reason: `is the unknown service "${callee}"; allowed are the services of the checked documents: ${known}` }]
    }
    if (target.document.callers.some(caller => caller.name === document.serviceName)) return []
    return [{ path, reason: `calls "${callee}" without a promise; allowed are services that list "${document.serviceName}" under callers` }]
  }))
}

function repeatedServiceFaults (files: readonly CheckedFile[]): FileFault[] {
  const first = new Map<string, string>()
  return files.flatMap(one => {
    const name = one.document.serviceName
    const earlier = first.get(name)
    if (earlier === undefined) {
      first.set(name, one.file)
      return []
    }
    return located(one, [{ path: ['service'], reason: `repeats "${name}" of ${earlier}; allowed is one document for each service` }])
  })
}

interface CallEdge {
  readonly from: CheckedFile
  readonly callee: string
  readonly path: ReadonlyArray<string | number>
}

function edgesOf (from: CheckedFile): CallEdge[] {
  const seen = new Set<string>()
  return from.document.routes.flatMap((route, index) => route.callees.flatMap((callee, at) => {
    if (seen.has(callee)) return []
    seen.add(callee)
    return [{ from, callee, path: ['routes', index, 'callees', at] }]
  }))
}

/**
 * Cycles of the call graph, each reported once at the call that closes it.
 * Depth-first search without recursion, so that long chains do not matter.
 */
function cycleFaults (byService: ByService): FileFault[] {
  const faults: FileFault[] = []
  const finished = new Set<string>()
  for (const root of [...byService.keys()].sort()) {
    const trail: string[] = []
    const open: Array<{ name: string, edges: CallEdge[] }> = []
    const enter = (name: string): void => {
      trail.push(name)
      open.push({ name, edges: edgesOf(byService.get(name)!) })
    }
    if (!finished.has(root)) enter(root)
    while (open.length > 0) {
      const top = open.at(-1)!
      const edge = top.edges.shift()
      if (edge === undefined) {
        finished.add(top.name)
        trail.pop()
        open.pop()
      } else if (trail.includes(edge.callee)) {
        const cycle = [...trail.slice(trail.indexOf(edge.callee)), edge.callee].join(' -> ')
        const reason = `closes the cycle ${cycle}; allowed are calls without cycles`
        faults.push(...located(edge.from, [{ path: edge.path, reason }]))
      } else if (byService.has(edge.callee) && !finished.has(edge.callee)) enter(edge.callee)
    }
  }
  return faults
}

function located (one: CheckedFile, faults: readonly FieldFault[]): FileFault[] {
  return locate(faults, one.parsed).map(fault => ({ ...fault, file: one.file }))
}

/**
 * Checks documents alone and together: promises against capacity, callees,
 * promises of callees, cycles and repeated services. Documents with faults of
 * their own take no part in the checks of the others.
 *
 * @example
 * checkTogether([{ name: 'invoicing.yaml', text }]).faults.length
 */
export function checkTogether (files: readonly DocumentFile[]): CheckReport {
  const faults: FileFault[] = []
  const valid: CheckedFile[] = []
  const unchecked = new Set<string | undefined>()
  for (const { name, text } of files) {
    parseDocumentText(text).caseOf({
      Left: found => {
        unchecked.add(namedService(text))
        faults.push(...found.map(fault => ({ ...fault, file: name })))
      },
      Right: found => { valid.push({ ...found, file: name }) }
    })
  }
  const byService: ByService = new Map([...valid].reverse().map(one => [one.document.serviceName, one]))
  faults.push(...repeatedServiceFaults(valid))
  for (const one of valid) {
    faults.push(...located(one, [...capacityFaults(one), ...calleeFaults(one, byService, unchecked)]))
  }
  faults.push(...cycleFaults(byService))
  const order = new Map(files.map((file, index) => [file.name, index]))
  faults.sort((a, b) => (order.get(a.file) ?? 0) - (order.get(b.file) ?? 0) || (a.line ?? 0) - (b.line ?? 0))
  return { faults, filesCount: files.length, validCount: valid.length }
}

/**
 * Lines of a report: one for each fault and one with the counts.
 *
 * @example
 * reportLines(checkTogether([])) // ['0 files, 0 valid alone, 0 faults']
 */
export function reportLines (report: CheckReport): string[] {
  return [
    ...report.faults.map(fault => `${fault.file}:${fault.line ?? 1}: ${fault.path}: ${fault.reason}`),
    `${report.filesCount} files, ${report.validCount} valid alone, ${report.faults.length} faults`
  ]
}
