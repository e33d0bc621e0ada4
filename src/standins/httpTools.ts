import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Server as NetServer } from 'node:net'
import { z } from 'zod'
import type { SettingSpec } from '../settings/settings.js'

/** An IP address and a port. */
export interface Address {
  readonly host: string
  readonly port: number
}

/**
 * Parses an address of the form `ip:port`.
 *
 * @example
 * parseAddress('127.0.0.1:8080') // { host: '127.0.0.1', port: 8080 }
 *
 * Errors: a RangeError for text that is not an address.
 */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  const port = Number(text.slice(colon + 1))
  if (colon < 1 || !Number.isInteger(port) || port < 0 || port > 65535) {
    throw new RangeError(`"${text}" is not an address; allowed: ip:port`)
  }
  return { host: text.slice(0, colon), port }
}

const addressSchema = z.string().regex(/^[^:]+:\d{1,5}$/)

/**
 * Setting that holds an address.
 *
 * @example
 * const specs = { address: addressSetting('Address for calls', '127.0.0.1:0') }
 */
export function addressSetting (describe: string, defaultValue?: string): SettingSpec<string> {
  const spec = { describe, schema: addressSchema, allowed: 'ip:port' }
  return defaultValue === undefined ? spec : { ...spec, default: defaultValue }
}

/**
 * Setting that holds a non-negative integer.
 *
 * @example
 * const specs = { slotsCount: countSetting('Calls that run concurrently', '10') }
 */
export function countSetting (describe: string, defaultValue?: string): SettingSpec<number> {
  const spec = { describe, schema: z.coerce.number().int().min(0), allowed: 'a whole number from 0' }
  return defaultValue === undefined ? spec : { ...spec, default: defaultValue }
}

/**
 * Listens on an address and returns the bound address. Port 0 lets the operating
 * system choose a free port.
 *
 * @example
 * await listenOn(createServer(), '127.0.0.1:0') // '127.0.0.1:41237'
 */
export async function listenOn (server: NetServer, address: string): Promise<string> {
  const { host, port } = parseAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port, backlog: 4096 }, resolve)
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}

/** Reads the complete body of a request. Rejects if the request is aborted. */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/** Sends a JSON response. */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  const text = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

export interface ControlHandlers {
  /** Returns the response body of `GET /`. */
  readonly read: () => unknown
  /** Applies the JSON body of `POST /` and returns the response body; an error is answered with a 400. */
  readonly apply: (value: unknown) => unknown
}

async function serveControl (
  request: IncomingMessage, response: ServerResponse, handlers: ControlHandlers
): Promise<void> {
  if (request.method === 'GET') return sendJson(response, 200, handlers.read())
  try {
    const body = await readBody(request)
    sendJson(response, 200, await handlers.apply(JSON.parse(body.toString('utf8'))) ?? {})
  } catch (error) {
    sendJson(response, 400, { fault: String(error) })
  }
}

/**
 * HTTP server for test controls: `GET /` reads the state, `POST /` changes it.
 *
 * @example
 * createControlServer({ read: () => ({ calls_count: 0 }), apply: value => value })
 */
export function createControlServer (handlers: ControlHandlers): Server {
  return createServer((request, response) => {
    serveControl(request, response, handlers).catch(() => { response.destroy() })
  })
}

/**
 * Runs a function once on SIGTERM or SIGINT and then ends the process.
 *
 * @example
 * stopOnSignal(() => server.close())
 */
export function stopOnSignal (stop: () => unknown): void {
  let stopping = false
  const onSignal = (): void => {
    if (stopping) return
    stopping = true
    Promise.resolve().then(stop).finally(() => { setTimeout(() => process.exit(0), 10) })
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
}
