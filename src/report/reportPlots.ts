import { Outcome } from '../core/coreTypes.js'
import { assertNever } from '../errors/errors.js'
import { replaceControlCharacters } from './reportTable.js'
import type { CallerTimes, MinuteCounts, OutcomeCounts } from './reportTypes.js'

const WIDTH_PX = 900
const LEFT_MARGIN_PX = 170
const RIGHT_MARGIN_PX = 20
const PLOT_HEIGHT_PX = 220
const AXIS_HEIGHT_PX = 30
const ROW_HEIGHT_PX = 18
/** More points than the plot has pixels would only make the file larger. */
const POINTS_MAX_COUNT = 600
const CALLERS_MAX_COUNT = 30
const MINUTE_MS = 60_000
const OUTCOMES = Object.values(Outcome)

/**
 * Escapes a text for HTML and SVG and replaces its control characters.
 *
 * @example
 * escaped('a<b') // 'a&lt;b'
 */
export function escapeHtml (text: string): string {
  return replaceControlCharacters(text).replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;').replaceAll("'", '&#39;')
}

function colourOf (outcome: Outcome): string {
  switch (outcome) {
    case Outcome.Done: return '#2a7f3f'
    case Outcome.NotRun: return '#c77700'
    case Outcome.Unknown: return '#b3261e'
    case Outcome.Cancelled: return '#6b6b6b'
    default: return assertNever(outcome)
  }
}

function roundToTenth (value: number): number {
  return Math.round(value * 10) / 10
}

function svgText (x: number, y: number, text: string, anchor = 'start'): string {
  return `<text x="${roundToTenth(x)}" y="${roundToTenth(y)}" text-anchor="${anchor}">${escapeHtml(text)}</text>`
}

/** Mean calls per minute in steps of equal length; minutes without calls count as zero. */
function averagePerStep (minutes: readonly MinuteCounts[]): OutcomeCounts[] {
  const first = minutes[0]?.minuteStartMs ?? 0
  const count = ((minutes.at(-1)?.minuteStartMs ?? 0) - first) / MINUTE_MS + 1
  const minutesPerStep = Math.ceil(count / POINTS_MAX_COUNT)
  const averages = Array.from({ length: Math.ceil(count / minutesPerStep) }, () => (
    { done: 0, not_run: 0, unknown: 0, cancelled: 0 }))
  for (const { minuteStartMs, counts } of minutes) {
    const step = averages[Math.floor((minuteStartMs - first) / MINUTE_MS / minutesPerStep)]
    if (step !== undefined) for (const outcome of OUTCOMES) step[outcome] += counts[outcome] / minutesPerStep
  }
  return averages
}

function svgElement (heightPx: number, label: string, parts: readonly string[]): string {
  return `<svg viewBox="0 0 ${WIDTH_PX} ${heightPx}" role="img" aria-label="${escapeHtml(label)}">\n${parts.join('\n')}\n</svg>`
}

/** Plot of the calls per minute by outcome, as inline SVG. */
export function minutesPlot (minutes: readonly MinuteCounts[]): string {
  if (minutes.length === 0) return '<p>No calls.</p>'
  const steps = averagePerStep(minutes)
  const maxCount = Math.max(1, ...steps.flatMap(counts => OUTCOMES.map(outcome => counts[outcome])))
  const xOf = (index: number): number =>
    LEFT_MARGIN_PX + (WIDTH_PX - LEFT_MARGIN_PX - RIGHT_MARGIN_PX) *
      (steps.length === 1 ? 0.5 : index / (steps.length - 1))
  const yOf = (count: number): number => 10 + PLOT_HEIGHT_PX * (1 - count / maxCount)
  const bottom = yOf(0)
  const lines = OUTCOMES.map((outcome, row) => {
    const points = steps.map((counts, index) => `${roundToTenth(xOf(index))},${roundToTenth(yOf(counts[outcome]))}`)
    const colour = colourOf(outcome)
    const marker = steps.length === 1 ? ' marker-start="url(#dot)"' : ''
    return `<polyline fill="none" stroke="${colour}"${marker} points="${points.join(' ')}"/>` +
      `<rect x="8" y="${20 + row * ROW_HEIGHT_PX}" width="10" height="10" fill="${colour}"/>` +
      svgText(24, 29 + row * ROW_HEIGHT_PX, outcome)
  })
  const formatMinute = (ms: number): string => `${new Date(ms).toISOString().slice(0, 16).replace('T', ' ')} UTC`
  return svgElement(PLOT_HEIGHT_PX + 10 + AXIS_HEIGHT_PX, 'Calls per minute by outcome', [
    '<defs><marker id="dot" markerWidth="6" markerHeight="6" refX="3" refY="3"><circle cx="3" cy="3" r="2"/></marker></defs>',
    `<path stroke="#999" fill="none" d="M${LEFT_MARGIN_PX} 10V${bottom}H${WIDTH_PX - RIGHT_MARGIN_PX}"/>`,
    svgText(LEFT_MARGIN_PX - 6, 18, String(Math.round(maxCount)), 'end'), svgText(LEFT_MARGIN_PX - 6, bottom, '0', 'end'),
    svgText(LEFT_MARGIN_PX, bottom + 18, formatMinute(minutes[0]?.minuteStartMs ?? 0)),
    svgText(WIDTH_PX - RIGHT_MARGIN_PX, bottom + 18, formatMinute(minutes.at(-1)?.minuteStartMs ?? 0), 'end'),
    ...lines
  ])
}

/** Plot of the latency percentiles of each caller on a logarithmic scale, as inline SVG. */
export function callersPlot (callers: readonly CallerTimes[]): string {
  const shown = callers.slice(0, CALLERS_MAX_COUNT)
  if (shown.length === 0) return '<p>No calls were done.</p>'
  const maxMs = Math.max(1, ...shown.map(({ total }) => total.p999Ms))
  const minMs = 0.01
  const logRange = Math.log(maxMs / minMs)
  const xOf = (ms: number): number =>
    LEFT_MARGIN_PX + (WIDTH_PX - LEFT_MARGIN_PX - RIGHT_MARGIN_PX) * Math.log(Math.max(ms, minMs) / minMs) / logRange
  const bottom = 10 + shown.length * ROW_HEIGHT_PX
  const rows = shown.map(({ callerName, total }, index) => {
    const y = 10 + index * ROW_HEIGHT_PX + ROW_HEIGHT_PX / 2
    const percentiles: Array<[string, number]> = [['#2a7f3f', total.p50Ms], ['#c77700', total.p99Ms], ['#b3261e', total.p999Ms]]
    return svgText(LEFT_MARGIN_PX - 6, y + 4, callerName.slice(0, 24), 'end') +
      `<path stroke="#999" d="M${roundToTenth(xOf(total.p50Ms))} ${y}H${roundToTenth(xOf(total.p999Ms))}"/>` +
      percentiles.map(([colour, ms]) => `<circle cx="${roundToTenth(xOf(ms))}" cy="${y}" r="4" fill="${colour}"/>`).join('')
  })
  const ticks = Array.from({ length: 9 }, (_, index) => 10 ** (index - 2)).filter(ms => ms <= maxMs)
    .map(ms => svgText(xOf(ms), bottom + 18, `${Number(ms.toFixed(2))} ms`, 'middle'))
  return svgElement(bottom + AXIS_HEIGHT_PX, 'Latency percentiles per caller', [...rows, ...ticks])
}
