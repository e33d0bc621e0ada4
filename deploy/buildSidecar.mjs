// Builds the sidecar into target/: the entry, the bundle of the program, and V8's compiled code of the bundle.
import { spawnSync } from 'node:child_process'
import { readFileSync, rmSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { buildSync } from 'esbuild'
import { parse } from 'smol-toml'

const root = fileURLToPath(new URL('..', import.meta.url))
process.chdir(root)
const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'))
// V8 rejects compiled code that was made with other flags than those of the program.
const flags = roles.ragwortspur.run.split(' ').filter(word => word.startsWith('--'))

// A cache of a former build could not belong to the new bundle. Other files in target/ are not this script's.
rmSync('target/ragwortspur-sidecar.program.cache', { force: true })

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  charset: 'ascii',
  logLevel: 'warning',
  define: { 'import.meta.url': 'bundleUrl' }
}
const urlLine = 'const bundleUrl=require("url").pathToFileURL(__filename).href;'
buildSync({
  ...common, entryPoints: ['platform/startup/bundleEntry.ts'], outfile: 'target/ragwortspur-sidecar.cjs'
})
buildSync({
  ...common,
  entryPoints: ['platform/sidecar.ts'],
  outfile: 'target/ragwortspur-sidecar.program.js',
  banner: { js: `(function(exports,require,module,__filename){${urlLine}` },
  footer: { js: '})' }
})
buildSync({
  ...common, entryPoints: ['platform/startup/trainCodeCache.ts'], outfile: 'target/trainCodeCache.cjs', banner: { js: urlLine }
})
const { status } = spawnSync(process.execPath, [...flags, 'target/trainCodeCache.cjs'], {
  stdio: ['ignore', 'ignore', 'inherit'], timeout: 60_000
})
// The program also runs without compiled code, only its start takes longer.
if (status !== 0) console.error('buildSidecar: no code cache was made')
rmSync('target/trainCodeCache.cjs')
