#!/usr/bin/env node
import { log } from '../log/log.js'
import { NodeShell } from '../node/nodeShell.js'
import { nodeProgram } from '../node/nodeSettings.js'
import { settingsOrExit } from '../settings/settings.js'

const EXIT_CANNOT_START = 1
/** The process ends by itself when its last socket is closed; after this time it is ended anyway. */
const EXIT_WAIT_MS = 1_000

const { settings } = settingsOrExit(nodeProgram)
const node = new NodeShell(settings)

async function stop (): Promise<void> {
  await node.stop()
  // Exiting at once would lose log lines that are still being written.
  setTimeout(() => process.exit(0), EXIT_WAIT_MS).unref()
}

process.once('SIGTERM', () => { void stop() })
process.once('SIGINT', () => { void stop() })

try {
  await node.start()
} catch (error) {
  log.error({ event: 'node_cannot_start', detail: error instanceof Error ? error.message : String(error) })
  process.exit(EXIT_CANNOT_START)
}
