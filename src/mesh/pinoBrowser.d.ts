/** The part of pino that needs no streams of its own; the package declares no types for this file. */
declare module 'pino/browser.js' {
  import type { Logger, LoggerOptions } from 'pino'
  export default function pino (options: LoggerOptions): Logger
}
