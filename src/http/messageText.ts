import type { MessageHead } from './messageParser.js'

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and those that frame the body. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length',
  'expect'
])

/** Value of the first header with that lower-case name, or undefined. */
export function headerOf (headers: readonly string[], name: string): string | undefined {
  for (let at = 0; at < headers.length; at += 2) {
    if (headers[at]!.length === name.length && headers[at]!.toLowerCase() === name) return headers[at + 1]
  }
  return undefined
}

/** Lower-case names that the headers of one connection list in `Connection`. */
function namedByConnection (headers: readonly string[]): string[] {
  const value = headerOf(headers, 'connection')
  return value === undefined ? [] : value.toLowerCase().split(',').map(name => name.trim())
}

/**
 * Header lines that go on to the next hop: those of one connection and the
 * dropped ones are left out.
 *
 * @example
 * passedHeaderText(['Host', 'a.example', 'Connection', 'close'], new Set()) // 'Host: a.example\r\n'
 */
export function passedHeaderText (headers: readonly string[], dropped: ReadonlySet<string>): string {
  const named = namedByConnection(headers)
  let text = ''
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!
    const key = name.toLowerCase()
    if (CONNECTION_HEADERS.has(key) || dropped.has(key) || named.includes(key)) continue
    text += `${name}: ${headers[at + 1]}\r\n`
  }
  return text
}

/** Seconds that a `Keep-Alive` header gives as its timeout, or undefined. */
export function keepAliveSeconds (head: MessageHead): number | undefined {
  const match = /timeout=(\d{1,6})/.exec(headerOf(head.headers, 'keep-alive') ?? '')
  return match === null ? undefined : Number(match[1])
}

/** Joins a head and a body into the bytes of one write, since each write costs a system call. */
export function messageBytes (headText: string, body: Uint8Array): Buffer {
  const headBytes = headText.length
  const bytes = Buffer.allocUnsafe(headBytes + body.length)
  bytes.write(headText, 0, headBytes, 'latin1')
  bytes.set(body, headBytes)
  return bytes
}
