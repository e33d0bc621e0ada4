import { BOOKINGS_PER_S, CALLERS, PolicyModel, STOCK_PER_S, type Variant } from './policyModel.js'

const WARM_MS = 2000
const OVERLOAD_MS = 4000
const AFTER_MS = 3000
const SETTLE_MS = 1000
const USUAL_RATIO = 0.8
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

interface Scenario {
  readonly name: string
  readonly loadRatio: number
  readonly trueSlotsRatio?: number
  /** What holds during the overload only. */
  readonly during?: Partial<Pick<PolicyModel, 'slowService' | 'bookingsOffered' | 'shortDeadlines'>>
}

const SCENARIOS: readonly Scenario[] = [
  { name: '1x', loadRatio: 1 },
  { name: '2x', loadRatio: 2 },
  { name: '10x', loadRatio: 10 },
  { name: 'slow invoicing', loadRatio: USUAL_RATIO, during: { slowService: 'invoicing' } },
  { name: 'slow stock', loadRatio: USUAL_RATIO, during: { slowService: 'stock' } },
  { name: 'slow stock, short deadlines', loadRatio: 2, during: { slowService: 'stock', shortDeadlines: true } },
  { name: '60% of slots, 2x', loadRatio: 2, trueSlotsRatio: 0.6 },
  { name: 'lookups only, 2x', loadRatio: 2, during: { bookingsOffered: false } }
]

function ratePerS (bins: readonly number[], fromMs: number, toMs: number): number {
  let sum = 0
  for (let bin = fromMs / 100; bin < toMs / 100; bin++) sum += bins[bin] ?? 0
  return sum * 1000 / (toMs - fromMs)
}

/** Start of the first 400 ms from which on no window is below 0.85 of the usual load. */
function recoveryMs (bins: readonly number[], endMs: number, usualPerS: number): number {
  let recoveredMs = 0
  for (let fromMs = 0; fromMs + 400 <= AFTER_MS; fromMs += 100) {
    if (ratePerS(bins, endMs + fromMs, endMs + fromMs + 400) < 0.85 * usualPerS) recoveredMs = fromMs + 100
  }
  return recoveredMs
}

/** Figures of one run in the order of the columns. */
function run (variant: Variant, { loadRatio, trueSlotsRatio = 1, during }: Scenario, seed: number): number[] {
  const model = new PolicyModel(variant, seed, trueSlotsRatio)
  const endMs = WARM_MS + OVERLOAD_MS
  const usual = { slowService: '', bookingsOffered: true, shortDeadlines: false }
  model.offeredRatio = USUAL_RATIO * trueSlotsRatio
  model.events.runUntil(WARM_MS)
  Object.assign(model, during, { offeredRatio: loadRatio })
  model.events.runUntil(endMs)
  Object.assign(model, usual, { offeredRatio: USUAL_RATIO * trueSlotsRatio })
  model.events.runUntil(endMs + AFTER_MS)
  const binsOf = (name: string): readonly number[] => model.bins.get(name) ?? []
  const overload = (name: string): number => ratePerS(binsOf(name), WARM_MS + SETTLE_MS, endMs) / trueSlotsRatio
  return [
    overload('done') / STOCK_PER_S, overload('bookings') / BOOKINGS_PER_S,
    recoveryMs(binsOf('done'), endMs, USUAL_RATIO * trueSlotsRatio * STOCK_PER_S), model.importantRefusedFirstCount,
    ...CALLERS.map(({ name, promisedRatio }) => 100 * (overload(name) / (promisedRatio * STOCK_PER_S) - 1)),
    model.violationsCount
  ]
}

const COLUMNS: ReadonlyArray<{ name: string, digits: number, worst?: boolean }> = [
  { name: 'goodput', digits: 3 }, { name: 'bookings', digits: 3 },
  { name: 'recovery ms (worst)', digits: 0, worst: true }, { name: 'important refused first', digits: 0 },
  ...CALLERS.map(({ name }) => ({ name: `${name} %`, digits: 1 })), { name: 'violations', digits: 0, worst: true }
]

function row (variant: Variant, scenario: Scenario): string {
  const runs = SEEDS.map(seed => run(variant, scenario, seed))
  const cells = COLUMNS.map(({ digits, worst }, index) => {
    const figures = runs.map(figuresOfRun => figuresOfRun[index] ?? 0)
    const mean = figures.reduce((sum, figure) => sum + figure, 0) / figures.length
    return (worst === true ? Math.max(...figures) : mean).toFixed(digits)
  })
  return `| ${[scenario.name, variant.name, ...cells].join(' | ')} |`
}

const [only] = process.argv.slice(2)
const heads = ['scenario', 'variant', ...COLUMNS.map(({ name }) => name)]
process.stdout.write(`| ${heads.join(' | ')} |\n|${heads.map(() => ' --- |').join('')}\n`)
for (const scenario of SCENARIOS) {
  if (only !== undefined && scenario.name !== only) continue
  for (const variant of VARIANTS) process.stdout.write(`${row(variant, scenario)}\n`)
}
