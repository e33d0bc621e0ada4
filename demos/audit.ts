import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { LoggedProcess } from './processGroup.js'

const RUN_STARTED = /event=run_started service=(\S+) root=(\S+) key=(\S+)/

/** What the logs of the backend servers say about keyed runs. */
export interface RunAudit {
  readonly runsCount: number
  /** Keys that ran more than once at one service, as `<service> <key>`. */
  readonly duplicateRuns: readonly string[]
  /** Keys that were reported as not run for each send and yet ran. */
  readonly falseNotRun: readonly string[]
}

/**
 * Compares keyed runs with what callers were told.
 *
 * @example
 * auditRuns(['event=run_started service=invoicing root=r1 key=k1'], ['invoicing k1']).falseNotRun // ['invoicing k1']
 */
export function auditRuns (lines: Iterable<string>, notRunKeys: readonly string[]): RunAudit {
  const runs = new Map<string, number>()
  let runsCount = 0
  for (const line of lines) {
    const match = RUN_STARTED.exec(line)
    if (match === null) continue
    const name = `${match[1]} ${match[3]}`
    runs.set(name, (runs.get(name) ?? 0) + 1)
    runsCount += 1
  }
  return {
    runsCount,
    duplicateRuns: [...runs].filter(([, count]) => count > 1).map(([name]) => name),
    falseNotRun: notRunKeys.filter(name => runs.has(name))
  }
}

/** Lines of the logs of processes that contain a text. */
export async function logLines (processes: readonly LoggedProcess[], text: string): Promise<string[]> {
  const lines: string[] = []
  for (const { logPath } of processes) {
    for await (const line of createInterface({ input: createReadStream(logPath) })) {
      if (line.includes(text)) lines.push(line)
    }
  }
  return lines
}
