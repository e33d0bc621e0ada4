/** Types for pino's browser build, which opens no streams of its own; the package declares none for this file. */
declare module 'pino/browser.js' {
  import type { Logger, LoggerOptions } from 'pino'
  export default function pino (options: LoggerOptions): Logger
}
