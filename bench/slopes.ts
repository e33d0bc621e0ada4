import { fork } from 'node:child_process'
import { once } from 'node:events'
import { loadavg } from 'node:os'
import { measureControl } from './slopesControl.js'
import { measureCore } from './slopesCore.js'
import { measureFlags, measureProcess } from './slopesProcess.js'

// Cost of a node against what it grows with. `--flags` compares start options of Node.js instead.

const CORE_FLAG = '--core'

function printLoad (): void {
  const loads = loadavg().map(load => load.toFixed(1)).join(' ')
  process.stdout.write(`machine load ${loads}, Node.js ${process.version}, ${process.uptime().toFixed(0)} s\n`)
}

printLoad()
if (process.argv.includes(CORE_FLAG)) {
  measureCore()
  await measureControl()
} else if (process.argv.includes('--flags')) {
  await measureFlags()
} else {
  // The core runs in a process of its own, which does not hold up the calls to the measured node.
  const core = fork(new URL(import.meta.url), [CORE_FLAG])
  const ended = once(core, 'exit')
  await measureProcess()
  await ended
}
printLoad()
process.exit(0)
