#!/usr/bin/env node
import { z } from 'zod'
import { EXIT_WRONG_SETTINGS, settingsOrExit, switchSetting } from '../settings/settings.js'
import { compareNodes } from '../status/compareNodes.js'
import { askNodes } from '../status/nodeStatus.js'
import { statusText } from '../status/statusText.js'

const EXIT_DIFFERENT = 1
const AT_ONCE_COUNT = 32
const ADDRESS = /^([A-Za-z0-9.-]+|\[[0-9a-fA-F:]+\]):(\d{1,5})$/

const { settings, operands } = settingsOrExit({
  program: 'ragwortspur-status',
  describe: 'Asks the operator endpoints of nodes for their status and tells where they differ',
  specs: {
    timeoutMs: {
      describe: 'Longest time in ms that one node may take to answer',
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

const wrong = operands.length === 0 ? ['(missing)'] : operands.filter(text => !isAddress(text))
if (wrong.length > 0) {
  for (const value of wrong) {
    process.stderr.write(`ragwortspur-status: HOST:PORT has the value "${value}"; allowed: one or more host:port\n`)
  }
  process.exit(EXIT_WRONG_SETTINGS)
}
const asked = await askNodes([...new Set(operands)], { timeoutMs: settings.timeoutMs, atOnceCount: AT_ONCE_COUNT })
const fleet = compareNodes(asked)
process.stdout.write(settings.json ? `${JSON.stringify(fleet, null, 2)}\n` : statusText(fleet))
process.exitCode = fleet.agrees ? 0 : EXIT_DIFFERENT
