import { callersPlot, escapeHtml, minutesPlot } from './reportPlots.js'
import { reportText } from './reportTable.js'
import type { Report } from './reportTypes.js'

const STYLE = 'body{font:14px sans-serif;margin:2em}svg{max-width:100%;font:12px sans-serif}pre{overflow-x:auto}'

/**
 * Renders the report as one HTML page without external resources.
 *
 * @example
 * writeFileSync('report.html', reportHtml(report))
 */
export function reportHtml (report: Report): string {
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><title>ragwortspur report</title>',
    `<style>${STYLE}</style></head><body>`,
    '<h1>ragwortspur report</h1>',
    report.completeness.isComplete ? '' : '<p><strong>Not complete: lines are missing or damaged, see below.</strong></p>',
    '<h2>Calls per minute by outcome</h2>',
    minutesPlot(report.minutes),
    '<h2>Latency per caller</h2>',
    '<p>Median (green), 99th (orange) and 99.9th percentile (red) of done calls.</p>',
    callersPlot(report.callers),
    '<h2>Figures</h2>',
    `<pre>${escapeHtml(reportText(report))}</pre>`,
    '</body></html>', ''
  ].join('\n')
}
