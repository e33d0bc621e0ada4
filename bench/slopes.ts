import { fork } from 'node:child_process'
import { once } from 'node:events'
import { loadavg } from 'node:os'
import { measureControl } from './slopesControl.js'
import { measureCore } from './slopesCore.js'
import { measureFlags, measureProcess } from './slopesProcess.js'

// Measures how the cost of a node grows with the size of the fleet and the load, as the
// slopes of fitted lines. `--flags` compares Node.js start options instead.

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
  // The core is measured in a process of its own, so that it does not delay calls to the measured node.
  const core = fork(new URL(import.meta.url), [CORE_FLAG])
  const ended = once(core, 'exit')
  await measureProcess()
  await ended
}
printLoad()
process.exit(0)
