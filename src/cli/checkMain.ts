#!/usr/bin/env node
import { readFileSync } from 'node:fs'
import { checkDocuments, reportLines, type DocumentFile } from '../core/documents/documentsTogether.js'
import { EXIT_WRONG_SETTINGS, settingsOrExit } from '../settings/settings.js'

const EXIT_FAULTS = 1

const { operands } = settingsOrExit({
  program: 'ragwortspur-check',
  describe: 'Checks service documents one by one and against each other',
  specs: {},
  operands: { name: 'FILE...', describe: 'Documents in YAML or JSON' }
})

function usageError (reason: string): never {
  process.stderr.write(`ragwortspur-check: ${reason}\n`)
  process.exit(EXIT_WRONG_SETTINGS)
}

function readFile (name: string): DocumentFile {
  try {
    return { name, text: readFileSync(name, 'utf8') }
  } catch (error) {
    return usageError(`cannot read ${name}: ${error instanceof Error ? error.message : String(error)}`)
  }
}

if (operands.length === 0) usageError('FILE has the value "(missing)"; allowed: one or more readable files')
const report = checkDocuments(operands.map(readFile))
process.stdout.write(`${reportLines(report).join('\n')}\n`)
process.exitCode = report.faults.length > 0 ? EXIT_FAULTS : 0
