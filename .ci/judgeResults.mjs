// Decides whether a test run passes: tests that KNOWN-RED.txt lists may fail, all others must pass.
// Usage: judgeResults.mjs <results of jest --json> <exit status of the test command>
import { existsSync, readFileSync } from 'node:fs'

const KNOWN_RED_FILE = new URL('../KNOWN-RED.txt', import.meta.url)
const [, , resultsPath, exitStatus] = process.argv

/** Full names of the listed tests: lines that begin with `test: `. */
function knownRedNames () {
  if (!existsSync(KNOWN_RED_FILE)) return new Set()
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()))
}

const text = readFileSync(resultsPath, 'utf8')
// Without results the command failed before the tests, for example in the linter.
if (text === '') process.exit(Number(exitStatus))
const run = JSON.parse(text)
console.log(`${run.numPassedTests} passed, ${run.numFailedTests} failed`)
const knownRed = knownRedNames()
const failed = run.testResults.flatMap(file => file.assertionResults.filter(({ status }) => status === 'failed'))
for (const name of knownRed) console.log(`known red: ${name}`)
const unlisted = failed.filter(({ fullName }) => !knownRed.has(fullName))
for (const { fullName } of unlisted) console.log(`failed: ${fullName}`)
const brokenFiles = run.testResults.filter(file => file.status === 'failed' && file.assertionResults.length === 0)
for (const { name } of brokenFiles) console.log(`did not run: ${name}`)
const isExplained = failed.length > 0 && unlisted.length === 0 && brokenFiles.length === 0
process.exit(isExplained ? 0 : Number(exitStatus))
