#!/usr/bin/env node
import { log } from '../log/log.js'
import { NodeShell } from '../node/nodeShell.js'
import { nodeProgram } from '../node/nodeSettings.js'
import { settingsOrExit } from '../settings/settings.js'

const EXIT_CANNOT_START = 1

const { settings } = settingsOrExit(nodeProgram)
const node = new NodeShell(settings)

async function stop (): Promise<void> {
  await node.stop()
  process.exit(0)
}

process.once('SIGTERM', () => { void stop() })
process.once('SIGINT', () => { void stop() })

try {
  await node.start()
} catch (error) {
  log.error({ event: 'node_cannot_start', detail: error instanceof Error ? error.message : String(error) })
  process.exit(EXIT_CANNOT_START)
}
