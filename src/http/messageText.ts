import { bodyPieces, isInPieces, type MessageBody } from './messageBody.js'
import type { MessageHead } from './messageParser.js'

/** Longer bodies are not copied behind their head. */
const JOINED_BODY_MAX_BYTES = 64 * 1024

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that frame the body. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length',
  'expect'
])

/** Value of the first header with the given lower-case name, or undefined. */
export function headerValue (headers: readonly string[], name: string): string | undefined {
  for (let at = 0; at < headers.length; at += 2) {
    if (headers[at]!.length === name.length && headers[at]!.toLowerCase() === name) return headers[at + 1]
  }
  return undefined
}

/** Lower-case header names listed in the `Connection` header. */
function connectionOptions (headers: readonly string[]): string[] {
  const value = headerValue(headers, 'connection')
  return value === undefined ? [] : value.toLowerCase().split(',').map(name => name.trim())
}

/**
 * Header lines to forward to the next hop: all except hop-by-hop headers and
 * those in `dropped`.
 *
 * @example
 * forwardedHeaderText(['Host', 'a.example', 'Connection', 'close'], new Set()) // 'Host: a.example\r\n'
 */
export function forwardedHeaderText (headers: readonly string[], dropped: ReadonlySet<string>): string {
  const named = connectionOptions(headers)
  let text = ''
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!
    const key = name.toLowerCase()
    if (CONNECTION_HEADERS.has(key) || dropped.has(key) || named.includes(key)) continue
    text += `${name}: ${headers[at + 1]}\r\n`
  }
  return text
}

/** Timeout in seconds from the `Keep-Alive` header, or undefined. */
export function keepAliveSeconds (head: MessageHead): number | undefined {
  const match = /timeout=(\d{1,6})/.exec(headerValue(head.headers, 'keep-alive') ?? '')
  return match === null ? undefined : Number(match[1])
}

/** Joins a head and a short body into one piece, since each write costs a system call. A long body follows as it is. */
export function joinMessage (headText: string, body: MessageBody): MessageBody {
  const headBytes = headText.length
  if (isInPieces(body) || body.length > JOINED_BODY_MAX_BYTES) {
    return [Buffer.from(headText, 'latin1'), ...bodyPieces(body)]
  }
  const bytes = Buffer.allocUnsafe(headBytes + body.length)
  bytes.write(headText, 0, headBytes, 'latin1')
  bytes.set(body, headBytes)
  return bytes
}
