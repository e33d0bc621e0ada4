// Sets the exit status of test runs: tests that are listed in KNOWN-RED.txt may fail, all others must pass.
// Usage: judgeResults.mjs (<file written by jest --json> <exit status of the test command>)...
import { existsSync, readFileSync } from 'node:fs'

const KNOWN_RED_FILE = new URL('../KNOWN-RED.txt', import.meta.url)

/** Returns the full names of the tests listed in KNOWN-RED.txt, which are the lines that begin with `test: `. */
function readKnownFailures () {
  if (!existsSync(KNOWN_RED_FILE)) return new Set()
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()))
}

/** Returns the exit status of one run. */
function judge (resultsPath, exitStatus, knownFailures) {
  const text = readFileSync(resultsPath, 'utf8')
  // The results file is empty if the command failed before the tests ran, for example in the linter.
  if (text === '') return exitStatus === 0 ? 1 : exitStatus
  const results = JSON.parse(text)
  console.log(`${results.numPassedTests} passed, ${results.numFailedTests} failed`)
  const failures = results.testResults.flatMap(file => file.assertionResults.filter(({ status }) => status === 'failed'))
  const unexpectedFailures = failures.filter(({ fullName }) => !knownFailures.has(fullName))
  for (const { fullName } of unexpectedFailures) console.log(`failed: ${fullName}`)
  const filesNotRun = results.testResults.filter(file => file.status === 'failed' && file.assertionResults.length === 0)
  for (const { name } of filesNotRun) console.log(`did not run: ${name}`)
  const hasOnlyKnownFailures = failures.length > 0 && unexpectedFailures.length === 0 && filesNotRun.length === 0
  return hasOnlyKnownFailures ? 0 : exitStatus
}

const knownFailures = readKnownFailures()
for (const name of knownFailures) console.log(`known red: ${name}`)
const runs = process.argv.slice(2)
let status = 0
for (let at = 0; at < runs.length; at += 2) {
  const runStatus = judge(runs[at], Number(runs[at + 1]), knownFailures)
  if (status === 0) status = runStatus
}
process.exit(status)
