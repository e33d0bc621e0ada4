import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { z } from 'zod'
import { systemClock, type Clock, type Millis } from '../clock/clock.js'
import { sendJson } from './httpTools.js'

export const MAX_VALUE_BYTES = 1024 * 1024
const MAX_WAIT_MS = 60_000
const CALL_HISTORY_S = 600
const VALUE_PATH_PREFIX = '/v1/values/'

export enum ServingMode {
  Fresh = 'fresh',
  /** Connections are reset. */
  Down = 'down',
  /** Readers get the values that were current when the mode was set. */
  Stale = 'stale',
  /** Readers get the version before the newest one, with its revision, or the only version. */
  Older = 'older'
}

export interface StoredVersion {
  readonly revision: number
  readonly value: string
}

/** Test control: publishes a value, sets the serving mode or the publication delay of VM lists. */
export const configControlSchema = z.strictObject({
  publish: z.strictObject({ key: z.string().min(1), value: z.string() }).optional(),
  mode: z.enum(ServingMode).optional(),
  list_lag_ms: z.number().min(0).optional()
})

interface Watch {
  readonly key: string
  readonly after: number
  notify (): void
}

/** Stand-in configuration service: stores the values of each key with increasing revisions. */
export class ConfigService {
  readonly #clock: Clock
  readonly #versions = new Map<string, StoredVersion[]>()
  readonly #staleVersions = new Map<string, StoredVersion>()
  readonly #watches = new Set<Watch>()
  readonly #callsBySecond = new Map<number, number>()
  #mode = ServingMode.Fresh
  #callsCount = 0
  listLagMs: Millis = 0

  constructor (clock: Clock = systemClock) {
    this.#clock = clock
  }

  get mode (): ServingMode {
    return this.#mode
  }

  get callsCount (): number {
    return this.#callsCount
  }

  /**
   * Publishes a value with the next revision of its key and returns the revision.
   *
   * @example
   * new ConfigService().publish('catalogue', '{}') // 1
   *
   * Errors: a RangeError for a value above 1 MB.
   */
  publish (key: string, value: string): number {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) throw new RangeError(`the value of ${key} is above 1 MB`)
    const versions = this.#versions.get(key) ?? []
    const revision = (versions.at(-1)?.revision ?? 0) + 1
    versions.push({ revision, value })
    this.#versions.set(key, versions.slice(-2))
    this.#notifyWatches(key)
    return revision
  }

  setMode (mode: ServingMode): void {
    this.#staleVersions.clear()
    for (const [key, versions] of this.#versions) {
      const newest = versions.at(-1)
      if (newest !== undefined) this.#staleVersions.set(key, newest)
    }
    this.#mode = mode
    for (const watch of [...this.#watches]) this.#notifyWatches(watch.key)
  }

  /** The version of a key that readers get in the current mode. */
  visibleVersion (key: string): StoredVersion | undefined {
    switch (this.#mode) {
      case ServingMode.Fresh: return this.#versions.get(key)?.at(-1)
      case ServingMode.Down: return undefined
      case ServingMode.Stale: return this.#staleVersions.get(key)
      case ServingMode.Older: return this.#versions.get(key)?.[0]
    }
  }

  /** Counts one read request. */
  countCall (): void {
    this.#callsCount += 1
    const second = Math.floor(this.#clock.wallMs() / 1000)
    this.#callsBySecond.set(second, (this.#callsBySecond.get(second) ?? 0) + 1)
    if (this.#callsBySecond.size > CALL_HISTORY_S) {
      this.#callsBySecond.delete(Math.min(...this.#callsBySecond.keys()))
    }
  }

  /** Read requests per second of Unix time, oldest first. */
  callsPerSecond (): ReadonlyArray<{ second: number, calls_count: number }> {
    return [...this.#callsBySecond].sort((a, b) => a[0] - b[0])
      .map(([second, callsCount]) => ({ second, calls_count: callsCount }))
  }

  /** Calls `notify` once when readers get a revision above `after`. Returns a function that cancels the watch. */
  watch (key: string, after: number, notify: () => void): () => void {
    const watch = { key, after, notify }
    this.#watches.add(watch)
    return () => { this.#watches.delete(watch) }
  }

  #notifyWatches (key: string): void {
    const revision = this.visibleVersion(key)?.revision ?? 0
    for (const watch of [...this.#watches]) {
      if (watch.key !== key || revision <= watch.after) continue
      this.#watches.delete(watch)
      watch.notify()
    }
  }
}

/** Applies a test control. VM lists are published after a delay of `listLagMs`. */
export function applyConfigControl (service: ConfigService, input: unknown): unknown {
  const control = configControlSchema.parse(input)
  if (control.mode !== undefined) service.setMode(control.mode)
  if (control.list_lag_ms !== undefined) service.listLagMs = control.list_lag_ms
  if (control.publish === undefined) return {}
  const { key, value } = control.publish
  if (key.startsWith('vms/') && service.listLagMs > 0) {
    setTimeout(() => { service.publish(key, value) }, service.listLagMs).unref()
    return { lag_ms: service.listLagMs }
  }
  return { revision: service.publish(key, value) }
}

function sendNewerVersion (service: ConfigService, key: string, after: number, response: ServerResponse): boolean {
  const version = service.visibleVersion(key)
  if (version === undefined || version.revision <= after) return false
  sendJson(response, 200, { key, ...version })
  return true
}

function serveRead (service: ConfigService, request: IncomingMessage, response: ServerResponse): void {
  const url = new URL(request.url ?? '/', 'http://config')
  if (request.method !== 'GET' || !url.pathname.startsWith(VALUE_PATH_PREFIX)) {
    return sendJson(response, 404, { fault: `only GET ${VALUE_PATH_PREFIX}<key>` })
  }
  service.countCall()
  const key = decodeURIComponent(url.pathname.slice(VALUE_PATH_PREFIX.length))
  const after = Number(url.searchParams.get('after') ?? 0)
  const waitMs = Math.min(Number(url.searchParams.get('wait_ms') ?? 0), MAX_WAIT_MS)
  if (!Number.isFinite(after) || !Number.isFinite(waitMs)) {
    return sendJson(response, 400, { fault: 'after and wait_ms must be numbers' })
  }
  if (sendNewerVersion(service, key, after, response)) return
  const sendNoContent = (): void => { response.writeHead(204).end() }
  if (waitMs <= 0) return sendNoContent()
  const unwatch = service.watch(key, after, () => {
    clearTimeout(timer)
    if (!sendNewerVersion(service, key, after, response)) sendNoContent()
  })
  const timer = setTimeout(() => { unwatch(); sendNoContent() }, waitMs)
  response.on('close', () => { clearTimeout(timer); unwatch() })
}

/**
 * HTTP server of the configuration service. In the mode `down`, every connection
 * is reset.
 *
 * @example
 * createConfigServer(new ConfigService()).listen(0)
 */
export function createConfigServer (service: ConfigService): Server {
  const server = createServer((request, response) => {
    if (service.mode === ServingMode.Down) request.socket.resetAndDestroy()
    else serveRead(service, request, response)
  })
  server.on('connection', (socket: Socket) => {
    if (service.mode === ServingMode.Down) socket.resetAndDestroy()
  })
  return server
}
