#!/usr/bin/env node
import { z } from 'zod'
import { EXIT_WRONG_SETTINGS, settingsOrExit, switchSetting } from '../settings/settings.js'
import { compareNodes } from '../status/compareNodes.js'
import { requestNodeStatuses } from '../status/nodeStatus.js'
import { statusText } from '../status/statusText.js'

const EXIT_DIFFERENT = 1
const CONCURRENT_REQUESTS_COUNT = 32
const ADDRESS = /^([A-Za-z0-9.-]+|\[[0-9a-fA-F:]+\]):(\d{1,5})$/

const { settings, operands } = settingsOrExit({
  program: 'ragwortspur-status',
  describe: 'Reads the status of nodes from their operator endpoints and reports differences',
  specs: {
    timeoutMs: {
      describe: 'Timeout in ms for the answer of one node',
      schema: z.coerce.number().int().min(1).max(600_000),
      default: '2000',
      allowed: '1 to 600000'
    },
    json: switchSetting('Print JSON instead of text')
  },
  operands: { name: 'HOST:PORT...', describe: 'Operator addresses of nodes' }
})

function isAddress (text: string): boolean {
  const port = Number(ADDRESS.exec(text)?.[2] ?? 0)
  return port >= 1 && port <= 65_535
}

const invalidOperands = operands.length === 0 ? ['(missing)'] : operands.filter(text => !isAddress(text))
if (invalidOperands.length > 0) {
  for (const value of invalidOperands) {
    process.stderr.write(`ragwortspur-status: HOST:PORT has the value "${value}"; allowed: one or more host:port\n`)
  }
  process.exit(EXIT_WRONG_SETTINGS)
}
const nodeStatuses = await requestNodeStatuses([...new Set(operands)], {
  timeoutMs: settings.timeoutMs, atOnceCount: CONCURRENT_REQUESTS_COUNT
})
const fleet = compareNodes(nodeStatuses)
process.stdout.write(settings.json ? `${JSON.stringify(fleet, null, 2)}\n` : statusText(fleet))
process.exitCode = fleet.agrees ? 0 : EXIT_DIFFERENT
