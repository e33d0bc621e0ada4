// Checks that `npm pack` would publish the right files and that each program in `bin` handles `--help`, `--version`
// and an unknown flag correctly. Run `npm run build` first.
import { execFileSync, spawnSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { posix } from 'node:path'

const NOT_PUBLISHED = [/\.spec\./, /__snapshots__/, /^dist\/(bench|demos)\//, /^dist\/src\/(testing|standins|soak)\//]
const RELATIVE_IMPORT = /(?:from|import)\s*\(?\s*'(\.[^']+)'/g
const { bin, version } = JSON.parse(readFileSync('package.json', 'utf8'))
const [packed] = JSON.parse(execFileSync('npm', ['pack', '--dry-run', '--json', '--ignore-scripts'], { encoding: 'utf8' }))
const files = new Set(packed.files.map(file => file.path))
const faults = []

for (const file of files) {
  if (NOT_PUBLISHED.some(pattern => pattern.test(file))) faults.push(`${file} must not be published`)
  if (!file.endsWith('.js')) continue
  for (const [, target] of readFileSync(file, 'utf8').matchAll(RELATIVE_IMPORT)) {
    const path = posix.join(posix.dirname(file), target)
    if (!files.has(path)) faults.push(`${file} imports ${path}, which is not published`)
  }
}
for (const file of ['dist/src/charts/call.json', 'dist/src/charts/backendServer.json', 'dist/src/charts/node.json']) {
  if (!files.has(file)) faults.push(`${file} is not published`)
}
for (const [name, file] of Object.entries(bin)) {
  if (!files.has(file)) faults.push(`${file}, the program ${name}, is not published`)
  const run = flag => spawnSync(process.execPath, [file, flag], { encoding: 'utf8' })
  const [helpRun, versionRun, unknownFlagRun] = ['--help', '--version', '--no-such-flag'].map(run)
  if (helpRun.status !== 0 || !helpRun.stdout.startsWith(`${name}: `)) faults.push(`${name} --help failed or printed a wrong name, status ${helpRun.status}`)
  if (versionRun.status !== 0 || versionRun.stdout.trim() !== version) faults.push(`${name} --version failed or printed ${versionRun.stdout}`)
  if (unknownFlagRun.status !== 2) faults.push(`${name} --no-such-flag exited with ${unknownFlagRun.status}, not 2`)
}
for (const fault of faults) console.error(fault)
console.log(`package: ${files.size} files, ${Object.keys(bin).length} programs, ${faults.length} faults`)
process.exitCode = faults.length === 0 ? 0 : 1
