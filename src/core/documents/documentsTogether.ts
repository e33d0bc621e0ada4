import type { ParsedDocument } from './documentsParse.js'
import { parseDocumentText } from './documentsParse.js'
import type { DocumentFault } from './documentsTypes.js'
import { addLines, parseText, type FieldFault } from './publishedText.js'

/** A document file to check. */
export interface DocumentFile {
  readonly name: string
  readonly text: string
}

/** A fault with the name of its file. */
export interface FileFault extends DocumentFault {
  readonly file: string
}

/** Result of checking several documents. */
export interface CheckReport {
  readonly faults: readonly FileFault[]
  readonly filesCount: number
  readonly validCount: number
}

/** A file whose document is valid on its own. */
interface CheckedFile extends ParsedDocument {
  readonly file: string
}

type FilesByService = ReadonlyMap<string, CheckedFile>

/** Allows for rounding of sums of decimal fractions. */
const RATE_TOLERANCE_CALLS_PER_S = 1e-6

/**
 * Promised rates that sum to more than the capacity. A node accepts such a document,
 * since capacity may be lowered during an incident, but cannot keep all promises.
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

/** Service name in an invalid document, so that calls to that service are not reported as calls to an unknown one. */
function declaredServiceName (text: string): string | undefined {
  const value = parseText(text).map(parsed => parsed.value).orDefault(null)
  const name = (value as { service?: unknown } | null)?.service
  return typeof name === 'string' ? name : undefined
}

function calleeFaults (
  { document }: CheckedFile, byService: FilesByService, invalidServices: ReadonlySet<string | undefined>
): FieldFault[] {
  return document.routes.flatMap((route, index) => route.callees.flatMap((callee, at): FieldFault[] => {
    const path = ['routes', index, 'callees', at]
    const target = byService.get(callee)
    if (target === undefined && invalidServices.has(callee)) return []
    if (target === undefined) {
      const known = [...byService.keys()].sort().join(', ')
      return [{ path, reason: `is the unknown service "${callee}"; allowed are the services of the checked documents: ${known}` }]
    }
    if (target.document.callers.some(caller => caller.name === document.serviceName)) return []
    return [{ path, reason: `calls "${callee}" without a promise; allowed are services that list "${document.serviceName}" under callers` }]
  }))
}

function duplicateServiceFaults (files: readonly CheckedFile[]): FileFault[] {
  const firstFileByService = new Map<string, string>()
  return files.flatMap(checked => {
    const name = checked.document.serviceName
    const earlier = firstFileByService.get(name)
    if (earlier === undefined) {
      firstFileByService.set(name, checked.file)
      return []
    }
    return toFileFaults(checked, [{ path: ['service'], reason: `repeats "${name}" of ${earlier}; allowed is one document for each service` }])
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
 * Depth-first search without recursion, so that long chains cannot overflow the stack.
 */
function cycleFaults (byService: FilesByService): FileFault[] {
  const faults: FileFault[] = []
  const finished = new Set<string>()
  for (const root of [...byService.keys()].sort()) {
    const currentPath: string[] = []
    const stack: Array<{ name: string, edges: CallEdge[] }> = []
    const push = (name: string): void => {
      currentPath.push(name)
      stack.push({ name, edges: edgesOf(byService.get(name)!) })
    }
    if (!finished.has(root)) push(root)
    while (stack.length > 0) {
      const top = stack.at(-1)!
      const edge = top.edges.shift()
      if (edge === undefined) {
        finished.add(top.name)
        currentPath.pop()
        stack.pop()
      } else if (currentPath.includes(edge.callee)) {
        const cycle = [...currentPath.slice(currentPath.indexOf(edge.callee)), edge.callee].join(' -> ')
        const reason = `closes the cycle ${cycle}; allowed are calls without cycles`
        faults.push(...toFileFaults(edge.from, [{ path: edge.path, reason }]))
      } else if (byService.has(edge.callee) && !finished.has(edge.callee)) push(edge.callee)
    }
  }
  return faults
}

function toFileFaults (checked: CheckedFile, faults: readonly FieldFault[]): FileFault[] {
  return addLines(faults, checked.parsed).map(fault => ({ ...fault, file: checked.file }))
}

/**
 * Checks each document and then the documents against each other: promised rates
 * against capacity, unknown callees, calls to a service that promises the caller no
 * rate, cycles and repeated services. The checks across documents skip documents
 * that are invalid on their own.
 *
 * @example
 * checkDocuments([{ name: 'invoicing.yaml', text }]).faults.length
 */
export function checkDocuments (files: readonly DocumentFile[]): CheckReport {
  const faults: FileFault[] = []
  const valid: CheckedFile[] = []
  const invalidServices = new Set<string | undefined>()
  for (const { name, text } of files) {
    parseDocumentText(text).caseOf({
      Left: found => {
        invalidServices.add(declaredServiceName(text))
        faults.push(...found.map(fault => ({ ...fault, file: name })))
      },
      Right: found => { valid.push({ ...found, file: name }) }
    })
  }
  const byService: FilesByService = new Map([...valid].reverse().map(one => [one.document.serviceName, one]))
  faults.push(...duplicateServiceFaults(valid))
  for (const checked of valid) {
    faults.push(...toFileFaults(checked, [
      ...capacityFaults(checked), ...calleeFaults(checked, byService, invalidServices)
    ]))
  }
  faults.push(...cycleFaults(byService))
  const order = new Map(files.map((file, index) => [file.name, index]))
  faults.sort((a, b) => (order.get(a.file) ?? 0) - (order.get(b.file) ?? 0) || (a.line ?? 0) - (b.line ?? 0))
  return { faults, filesCount: files.length, validCount: valid.length }
}

/**
 * Text lines of a report: one for each fault, then one with the counts.
 *
 * @example
 * reportLines(checkDocuments([])) // ['0 files, 0 valid alone, 0 faults']
 */
export function reportLines (report: CheckReport): string[] {
  return [
    ...report.faults.map(fault => `${fault.file}:${fault.line ?? 1}: ${fault.path}: ${fault.reason}`),
    `${report.filesCount} files, ${report.validCount} valid alone, ${report.faults.length} faults`
  ]
}
