#!/usr/bin/env node
import { readFileSync, writeFileSync } from 'node:fs'
import { z } from 'zod'
import { systemClock } from '../clock/clock.js'
import { parseDocumentText } from '../core/documents/documentsParse.js'
import type { ServiceDocument } from '../core/documents/documentsTypes.js'
import { buildReport } from '../report/buildReport.js'
import { readLines, type FileReadResult } from '../report/readLines.js'
import { reportHtml } from '../report/reportHtml.js'
import { reportText } from '../report/reportTable.js'
import { ReportTally } from '../report/reportTally.js'
import { EXIT_WRONG_SETTINGS, settingsOrExit, switchSetting } from '../settings/settings.js'

const EXIT_NOT_COMPLETE = 1
const PROGRESS_PERIOD_MS = 5_000
/** Lines between two reads of the clock; one read costs a tenth of the processing of a line. */
const PROGRESS_CHECK_LINES = 65_536

const { settings, operands } = settingsOrExit({
  program: 'ragwortspur-report',
  describe: 'Reports promised, taken and refused calls of each caller from collected log lines',
  specs: {
    documents: {
      describe: 'Service documents with the promised call rates, separated by commas',
      schema: z.string(),
      default: '',
      allowed: 'list of files, or empty'
    },
    json: switchSetting('Print JSON instead of tables'),
    html: {
      describe: 'Also write the report with plots as HTML to this file',
      schema: z.string(),
      default: '',
      allowed: 'a path, or empty'
    }
  },
  operands: { name: 'FILE...', describe: 'Collected log files, plain or compressed with gzip; - for standard input' }
})

function usageError (reason: string): never {
  process.stderr.write(`ragwortspur-report: ${reason}\n`)
  process.exit(EXIT_WRONG_SETTINGS)
}

function errorMessage (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

function readDocument (name: string): ServiceDocument {
  let text = ''
  try {
    text = readFileSync(name, 'utf8')
  } catch (error) {
    usageError(`cannot read ${name}: ${errorMessage(error)}`)
  }
  return parseDocumentText(text).caseOf({
    Left: ([fault]) => usageError(`${name}:${fault?.line ?? 1}: ${fault?.path}: ${fault?.reason}`),
    Right: found => found.document
  })
}

if (operands.length === 0) usageError('FILE has the value "(missing)"; allowed: one or more files, or -')
const documents = settings.documents.split(',').filter(name => name !== '').map(readDocument)
const tally = new ReportTally()
const startedAtMs = systemClock.monotonicMs()
let progressShownAtMs = startedAtMs

function showProgress (name: string): void {
  const nowMs = systemClock.monotonicMs()
  if (nowMs - progressShownAtMs < PROGRESS_PERIOD_MS) return
  progressShownAtMs = nowMs
  const linesPerS = Math.round(tally.linesCount / (nowMs - startedAtMs) * 1000)
  process.stderr.write(`ragwortspur-report: ${tally.linesCount} lines, ${linesPerS} lines/s, now ${name}\n`)
}

const fileReadResults: FileReadResult[] = []
for (const name of operands) {
  fileReadResults.push(await readLines(name, (line, hasLineEnd) => {
    tally.countLine(line, hasLineEnd)
    if (tally.linesCount % PROGRESS_CHECK_LINES === 0) showProgress(name)
  }))
}
const report = buildReport(tally, documents, fileReadResults)
const elapsedMs = systemClock.monotonicMs() - startedAtMs
process.stderr.write(`ragwortspur-report: ${tally.linesCount} lines in ${Math.round(elapsedMs)} ms, ` +
  `at most ${Math.round(process.resourceUsage().maxRSS / 2 ** 10)} MB\n`)
process.stdout.write(settings.json ? `${JSON.stringify(report, null, 2)}\n` : reportText(report))
process.exitCode = report.completeness.isComplete ? 0 : EXIT_NOT_COMPLETE
if (settings.html !== '') {
  try {
    writeFileSync(settings.html, reportHtml(report))
  } catch (error) {
    usageError(`cannot write ${settings.html}: ${errorMessage(error)}`)
  }
}
