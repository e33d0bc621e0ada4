import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { LoggedProcess } from './processGroup.js'

const RUN_STARTED_PATTERN = /event=run_started service=(\S+) root=(\S+) key=(\S+)/

/** Runs of calls with an idempotency key, as counted from the logs of the backend servers. */
export interface RunAudit {
  readonly runsCount: number
  /** Calls that ran more than once with the same key at one service, as `<service> <key>`. */
  readonly duplicateRuns: readonly string[]
  /** Calls that ran although the caller was told for each send that they had not, as `<service> <key>`. */
  readonly falseNotRun: readonly string[]
}

/**
 * Checks the `run_started` log lines of backend servers for duplicate runs and for
 * runs of calls that were reported to the caller as not run.
 *
 * @example
 * auditRuns(['event=run_started service=invoicing root=r1 key=k1'], ['invoicing k1']).falseNotRun // ['invoicing k1']
 */
export function auditRuns (lines: Iterable<string>, notRunKeys: readonly string[]): RunAudit {
  const runs = new Map<string, number>()
  let runsCount = 0
  for (const line of lines) {
    const match = RUN_STARTED_PATTERN.exec(line)
    if (match === null) continue
    const serviceAndKey = `${match[1]} ${match[3]}`
    runs.set(serviceAndKey, (runs.get(serviceAndKey) ?? 0) + 1)
    runsCount += 1
  }
  return {
    runsCount,
    duplicateRuns: [...runs].filter(([, count]) => count > 1).map(([serviceAndKey]) => serviceAndKey),
    falseNotRun: notRunKeys.filter(serviceAndKey => runs.has(serviceAndKey))
  }
}

/** Reads the logs of processes and returns the lines that contain a text. */
export async function readMatchingLogLines (processes: readonly LoggedProcess[], text: string): Promise<string[]> {
  const lines: string[] = []
  for (const { logPath } of processes) {
    for await (const line of createInterface({ input: createReadStream(logPath) })) {
      if (line.includes(text)) lines.push(line)
    }
  }
  return lines
}
