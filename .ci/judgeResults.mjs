// Sets the exit status of a test run: tests that are listed in KNOWN-RED.txt may fail, all others must pass.
// Usage: judgeResults.mjs <file written by jest --json> <exit status of the test command>
import { existsSync, readFileSync } from 'node:fs'

const KNOWN_RED_FILE = new URL('../KNOWN-RED.txt', import.meta.url)
const [, , resultsPath, exitStatus] = process.argv

/** Returns the full names of the tests listed in KNOWN-RED.txt, which are the lines that begin with `test: `. */
function readKnownFailures () {
  if (!existsSync(KNOWN_RED_FILE)) return new Set()
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()))
}

const text = readFileSync(resultsPath, 'utf8')
// The results file is empty if the command failed before the tests ran, for example in the linter.
if (text === '') process.exit(Number(exitStatus))
const results = JSON.parse(text)
console.log(`${results.numPassedTests} passed, ${results.numFailedTests} failed`)
const knownFailures = readKnownFailures()
const failures = results.testResults.flatMap(file => file.assertionResults.filter(({ status }) => status === 'failed'))
for (const name of knownFailures) console.log(`known red: ${name}`)
const unexpectedFailures = failures.filter(({ fullName }) => !knownFailures.has(fullName))
for (const { fullName } of unexpectedFailures) console.log(`failed: ${fullName}`)
const filesNotRun = results.testResults.filter(file => file.status === 'failed' && file.assertionResults.length === 0)
for (const { name } of filesNotRun) console.log(`did not run: ${name}`)
const hasOnlyKnownFailures = failures.length > 0 && unexpectedFailures.length === 0 && filesNotRun.length === 0
process.exit(hasOnlyKnownFailures ? 0 : Number(exitStatus))
