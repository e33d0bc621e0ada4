import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { log } from '../log/log.js'
import { settingsOrExit } from '../settings/settings.js'
import { Caller } from './caller.js'
import { loadPlanSchema } from './loadPlan.js'
import { Sender } from './sendCall.js'

const { settings } = settingsOrExit({
  program: 'callerMain',
  describe: 'Load generator',
  specs: {
    plan: { describe: 'File with the load plan as JSON', schema: z.string().min(1), allowed: 'a path' }
  }
})

const plan = loadPlanSchema.parse(JSON.parse(readFileSync(settings.plan, 'utf8')))
const sender = new Sender(plan.targets, plan.connections_per_target_count)
const caller = new Caller(plan, sender)
process.on('SIGTERM', () => process.exit(1))
process.on('SIGINT', () => process.exit(1))

const waitMs = plan.start_at_ms - Date.now()
if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs))
const secondTimer = setInterval(() => {
  log.info({ event: 'caller_second', open_count: caller.openCount, ...caller.reportCollector.takeSecondReport() })
}, 1000)
const report = await caller.run()
clearInterval(secondTimer)
await sender.close()
process.stdout.write(`${JSON.stringify(report)}\n`)
