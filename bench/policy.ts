import { BOOKINGS_PER_S, CALLERS, PolicyModel, STOCK_PER_S, type Variant } from './policyModel.js'

// Simulates combinations of admission mechanisms (variants) under several kinds of
// overload (scenarios) and prints a Markdown table of the results. An argument
// limits the run to the scenario of that name.

const WARM_UP_MS = 2000
const OVERLOAD_MS = 4000
const AFTER_OVERLOAD_MS = 3000
const SETTLE_MS = 1000
const USUAL_LOAD_RATIO = 0.8
const SEEDS = [11, 12, 13, 14, 15, 16]

const ALL_OFF = Object.fromEntries(
  ['adaptiveLimit', 'newestFirst', 'refuseByDeadline', 'chainAdmission', 'priorities'].map(name => [name, false]))

const VARIANTS: readonly Variant[] = [
  { name: 'all on' },
  { name: 'fixed slots', admission: { adaptiveLimit: false } },
  { name: 'newest first', admission: { newestFirst: true } },
  { name: 'no refusal by deadline', admission: { refuseByDeadline: false } },
  { name: 'hop by hop', admission: { chainAdmission: false } },
  { name: 'no priorities', admission: { priorities: false } },
  { name: 'reserved shares', admission: { priorities: false }, reservedRatio: 0.2 },
  { name: 'no promises', noPromises: true },
  { name: 'no vital reserve', agreement: { vitalReserveRatio: 0 } },
  { name: 'all off', noPromises: true, admission: ALL_OFF }
]

/** An overload; loads are relative to the promised rates. */
interface Scenario {
  readonly name: string
  readonly loadRatio: number
  /** Part of the configured slots that the backend servers really have; 1 by default. */
  readonly trueSlotsRatio?: number
  /** Settings of the model that apply only during the overload. */
  readonly during?: Partial<Pick<PolicyModel, 'slowService' | 'bookingsOffered' | 'shortDeadlines'>>
}

const SCENARIOS: readonly Scenario[] = [
  { name: '1x', loadRatio: 1 },
  { name: '2x', loadRatio: 2 },
  { name: '10x', loadRatio: 10 },
  { name: 'slow invoicing', loadRatio: USUAL_LOAD_RATIO, during: { slowService: 'invoicing' } },
  { name: 'slow stock', loadRatio: USUAL_LOAD_RATIO, during: { slowService: 'stock' } },
  { name: 'slow stock, short deadlines', loadRatio: 2, during: { slowService: 'stock', shortDeadlines: true } },
  { name: '60% of slots, 2x', loadRatio: 2, trueSlotsRatio: 0.6 },
  { name: 'lookups only, 2x', loadRatio: 2, during: { bookingsOffered: false } }
]

/** Mean rate per second over bins of 100 ms. */
function ratePerS (bins: readonly number[], fromMs: number, toMs: number): number {
  let sum = 0
  for (let bin = fromMs / 100; bin < toMs / 100; bin++) sum += bins[bin] ?? 0
  return sum * 1000 / (toMs - fromMs)
}

/** Time after the overload from which on no window of 400 ms has less than 0.85 of the usual goodput. */
function recoveryMs (bins: readonly number[], endMs: number, usualPerS: number): number {
  let recoveredMs = 0
  for (let fromMs = 0; fromMs + 400 <= AFTER_OVERLOAD_MS; fromMs += 100) {
    if (ratePerS(bins, endMs + fromMs, endMs + fromMs + 400) < 0.85 * usualPerS) recoveredMs = fromMs + 100
  }
  return recoveredMs
}

/** Simulates one run and returns its figures in the order of the columns. */
function simulateRun (variant: Variant, { loadRatio, trueSlotsRatio = 1, during }: Scenario, seed: number): number[] {
  const model = new PolicyModel(variant, seed, trueSlotsRatio)
  const endMs = WARM_UP_MS + OVERLOAD_MS
  const usual = { slowService: '', bookingsOffered: true, shortDeadlines: false }
  model.offeredRatio = USUAL_LOAD_RATIO * trueSlotsRatio
  model.events.runUntil(WARM_UP_MS)
  Object.assign(model, during, { offeredRatio: loadRatio })
  model.events.runUntil(endMs)
  Object.assign(model, usual, { offeredRatio: USUAL_LOAD_RATIO * trueSlotsRatio })
  model.events.runUntil(endMs + AFTER_OVERLOAD_MS)
  const binsOf = (name: string): readonly number[] => model.bins.get(name) ?? []
  const overloadRatePerS = (name: string): number =>
    ratePerS(binsOf(name), WARM_UP_MS + SETTLE_MS, endMs) / trueSlotsRatio
  return [
    overloadRatePerS('done') / STOCK_PER_S, overloadRatePerS('bookings') / BOOKINGS_PER_S,
    recoveryMs(binsOf('done'), endMs, USUAL_LOAD_RATIO * trueSlotsRatio * STOCK_PER_S),
    model.importantRefusedFirstCount,
    ...CALLERS.map(({ name, promisedRatio }) => 100 * (overloadRatePerS(name) / (promisedRatio * STOCK_PER_S) - 1)),
    model.violationsCount
  ]
}

const COLUMNS: ReadonlyArray<{ name: string, digits: number, worst?: boolean }> = [
  { name: 'goodput', digits: 3 }, { name: 'bookings', digits: 3 },
  { name: 'recovery ms (worst)', digits: 0, worst: true }, { name: 'important refused first', digits: 0 },
  ...CALLERS.map(({ name }) => ({ name: `${name} %`, digits: 1 })), { name: 'violations', digits: 0, worst: true }
]

function formatRow (variant: Variant, scenario: Scenario): string {
  const runs = SEEDS.map(seed => simulateRun(variant, scenario, seed))
  const cells = COLUMNS.map(({ digits, worst }, index) => {
    const figures = runs.map(figuresOfRun => figuresOfRun[index] ?? 0)
    const mean = figures.reduce((sum, figure) => sum + figure, 0) / figures.length
    return (worst === true ? Math.max(...figures) : mean).toFixed(digits)
  })
  return `| ${[scenario.name, variant.name, ...cells].join(' | ')} |`
}

const [onlyScenarioName] = process.argv.slice(2)
const columnNames = ['scenario', 'variant', ...COLUMNS.map(({ name }) => name)]
process.stdout.write(`| ${columnNames.join(' | ')} |\n|${columnNames.map(() => ' --- |').join('')}\n`)
for (const scenario of SCENARIOS) {
  if (onlyScenarioName !== undefined && scenario.name !== onlyScenarioName) continue
  for (const variant of VARIANTS) process.stdout.write(`${formatRow(variant, scenario)}\n`)
}
