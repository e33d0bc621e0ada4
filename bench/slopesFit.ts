/** Minimum, median and maximum of several readings. */
export interface SampleStats {
  readonly min: number
  readonly median: number
  readonly max: number
}

/** Line fitted by least squares. */
export interface LineFit {
  readonly slope: number
  readonly intercept: number
  /** Root mean square of the vertical distances from the line. */
  readonly residual: number
}

export interface Point {
  readonly x: number
  readonly y: SampleStats
}

/**
 * Computes the minimum, median and maximum of readings.
 *
 * @example
 * spreadOf([3, 1, 2]) // { min: 1, median: 2, max: 3 }
 */
export function sampleStats (readings: readonly number[]): SampleStats {
  const sorted = [...readings].sort((a, b) => a - b)
  return { min: sorted[0]!, median: sorted[Math.floor(sorted.length / 2)]!, max: sorted.at(-1)! }
}

/**
 * Fits a line to the medians of the points by least squares.
 *
 * @example
 * fitLine([{ x: 1, y: spreadOf([2]) }, { x: 2, y: spreadOf([4]) }]).slope // 2
 */
export function fitLine (points: readonly Point[]): LineFit {
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = mean(points.map(point => point.x))
  const meanY = mean(points.map(point => point.y.median))
  const sumXX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const sumXY = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y.median - meanY), 0)
  const slope = sumXY / sumXX
  const intercept = meanY - slope * meanX
  const residual = Math.sqrt(mean(points.map(({ x, y }) => (y.median - intercept - slope * x) ** 2)))
  return { slope, intercept, residual }
}

function formatShort (value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3)
}

/**
 * Prints points with their median, minimum and maximum, and the fitted line.
 *
 * @example
 * printSlope('heap against peers', 'KB', 'peer', points)
 */
export function printSlope (title: string, unit: string, per: string, points: readonly Point[]): void {
  const { slope, intercept, residual } = fitLine(points)
  const texts = points.map(({ x, y }) => `${x}: ${formatShort(y.median)} [${formatShort(y.min)} ${formatShort(y.max)}]`)
  process.stdout.write(`${title}, ${unit}\n  ${texts.join('   ')}\n` +
    `  slope ${slope.toPrecision(3)} ${unit} per ${per}, intercept ${formatShort(intercept)}, residual ${formatShort(residual)}\n`)
}
