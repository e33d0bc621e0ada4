import { z } from 'zod'
import { settingsOrExit } from '../settings/settings.js'
import { runSoak } from './soakRun.js'
import { Fault } from './soakTypes.js'
import type { SoakReport } from './soakTypes.js'

const EXIT_VIOLATIONS = 1

const faultNames = Object.values(Fault)
const wholeNumber = z.coerce.number().int().min(1)

const { settings } = settingsOrExit({
  program: 'soak',
  describe: 'runs the core of a fleet on a simulated clock with seeded faults and checks the invariants',
  specs: {
    seed: { describe: 'First seed', schema: wholeNumber, default: '1', allowed: 'a whole number from 1' },
    seeds: { describe: 'Number of seeds to run', schema: wholeNumber, default: '1', allowed: 'a whole number from 1' },
    steps: { describe: 'Steps of each run', schema: wholeNumber, default: '100000', allowed: 'a whole number from 1' },
    faults: {
      describe: 'Faults to choose from at random, separated by commas; "all" or "none"',
      schema: z.string().transform(text => text === 'all' ? faultNames : text === 'none' ? [] : text.split(','))
        .pipe(z.array(z.enum(Fault))),
      default: 'all',
      allowed: `all, none, or a list of ${faultNames.join(', ')}`
    }
  }
})

function reportLine (report: SoakReport): string {
  const { faultsCount, violations, ...counts } = report
  const fields = Object.entries(counts).map(([name, value]) => `${name}=${value}`)
  const faults = Object.values(faultsCount).reduce((sum, count) => sum + count, 0)
  return `${fields.join(' ')} faultsCount=${faults} violationsCount=${violations.length}`
}

const totals = { steps: 0, failedSeeds: [] as number[] }
for (let seed = settings.seed; seed < settings.seed + settings.seeds; seed++) {
  const report = await runSoak({ seed, steps: settings.steps, faults: settings.faults })
  totals.steps += report.stepsCount
  if (report.violations.length > 0) totals.failedSeeds.push(seed)
  process.stdout.write(`${reportLine(report)}\n`)
  for (const violation of report.violations) process.stdout.write(`  ${violation}\n`)
}
process.stdout.write(`soak: ${settings.seeds} seeds, ${totals.steps} steps, ${totals.failedSeeds.length} failed` +
  `${totals.failedSeeds.length === 0 ? '' : ` (seeds ${totals.failedSeeds.join(', ')})`}\n`)
process.exitCode = totals.failedSeeds.length === 0 ? 0 : EXIT_VIOLATIONS
