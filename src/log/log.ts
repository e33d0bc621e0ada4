import { pino } from 'pino'
import * as logfmt from 'pino-logfmt'

// The type declarations of pino-logfmt omit its default export.
const { default: openLogfmtStream } = logfmt as unknown as {
  default: (options: { flattenNestedObjects: boolean }) => Promise<NodeJS.WritableStream>
}

/**
 * The logger of the process. Each call writes one line of key=value pairs; the
 * first field is `event`.
 *
 * @example
 * log.info({ event: 'node_started', port: 8080 })
 */
export const log = pino({
  level: process.env['RAGWORTSPUR_LOG_LEVEL'] ?? 'info',
  base: null
}, await openLogfmtStream({ flattenNestedObjects: true }))
