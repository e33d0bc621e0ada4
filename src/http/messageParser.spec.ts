import { MessageParser, type MessageHead } from './messageParser.js'

interface Seen {
  readonly heads: MessageHead[]
  readonly bodies: string[]
  readonly rests: number[]
}

function parse (kind: 'REQUEST' | 'RESPONSE', chunks: readonly string[]): Seen & { readonly error: string } {
  const seen: Seen = { heads: [], bodies: [], rests: [] }
  let body = ''
  const parser = new MessageParser(kind, {
    onHead: head => {
      seen.heads.push(head)
      body = ''
      return false
    },
    onBody: chunk => { body += chunk.toString('latin1') },
    onEnd: restBytes => {
      seen.bodies.push(body)
      seen.rests.push(restBytes)
    }
  }, 1_000)
  let error = ''
  for (const chunk of chunks) {
    error ||= parser.read(Buffer.from(chunk, 'latin1'))?.message ?? ''
    while (error === '' && parser.hasUnread) error = parser.readMore()?.message ?? ''
  }
  return { ...seen, error }
}

describe('message parser', () => {
  test('a request that arrives byte by byte is parsed like one that arrives in one chunk', () => {
    const text = 'POST /a/b?c=1 HTTP/1.1\r\nHost: x.example\r\nContent-Length: 3\r\n\r\nabc'
    const whole = parse('REQUEST', [text])
    expect(parse('REQUEST', [...text])).toEqual({ ...whole, rests: [0] })
    expect(whole).toMatchSnapshot()
  })

  test.each([
    ['conflicting content-length values', 'Content-Length: 3\r\nContent-Length: 4\r\n'],
    ['a content-length that is not a number', 'Content-Length: 3x\r\n'],
    ['a negative content-length', 'Content-Length: -1\r\n'],
    ['both content-length and transfer-encoding', 'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n'],
    ['a transfer coding after chunked', 'Transfer-Encoding: chunked, gzip\r\n'],
    ['chunked applied twice', 'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n'],
    ['a header line without a colon', 'Oops\r\n'],
    ['a folded header line', 'A: b\r\n c: d\r\n'],
    ['a space before the colon', 'Content-Length : 3\r\n']
  ])('a request with %s is refused, since another parser may find its end elsewhere', (_name, lines) => {
    const { error, bodies } = parse('REQUEST', [`POST / HTTP/1.1\r\nHost: x\r\n${lines}\r\nabc`])
    expect(error).not.toBe('')
    expect(bodies).toEqual([])
  })

  test('an invalid chunk size does not end the body, so that a truncated answer cannot look complete', () => {
    const { error, bodies } = parse('RESPONSE', ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n\r\n'])
    expect(error).toContain('chunk size')
    expect(bodies).toEqual([])
  })

  // Bodies were dropped, or parsed as the next request.
  test.each(['h2c', 'websocket'])('a body in chunks is read from a request that offers an upgrade to %s', protocol => {
    const head = `POST / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: ${protocol}\r\nTransfer-Encoding: chunked\r\n\r\n`
    for (const chunks of [[`${head}3\r\nabc\r\n0\r\n\r\n`], [head, '3\r\nabc\r\n', '0\r\n\r\n']]) {
      expect(parse('REQUEST', [...chunks, 'GET /next HTTP/1.1\r\n\r\n'])).toMatchObject({ bodies: ['abc', ''], error: '' })
    }
  })

  test('bytes after a CONNECT request are not skipped', () => {
    const { bodies, heads } = parse('REQUEST', ['CONNECT a:1 HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n'])
    expect({ bodies, targets: heads.map(({ target }) => target) }).toEqual({ bodies: ['', ''], targets: ['a:1', '/next'] })
  })

  test('bytes after an answer are counted, so that its connection is not reused', () => {
    const { rests, bodies } = parse('RESPONSE', ['HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP'])
    expect({ rests, bodies }).toEqual({ rests: [4], bodies: ['ok'] })
  })

  test('hasLength is false for an answer that ends when its connection closes', () => {
    expect(parse('RESPONSE', ['HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc']).heads[0]?.hasLength).toBe(false)
  })

  test('a head above the size limit is refused, also after a message below the limit', () => {
    const small = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
    const { error } = parse('REQUEST', [small, `GET / HTTP/1.1\r\nA: ${'a'.repeat(1_200)}`])
    expect(error).toContain('head above 1000')
  })

  test('a head is accepted whatever came before it on its connection, however it is divided', () => {
    // The library counted the end of the message before as part of the head.
    const upload = `POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n${'a'.repeat(3_000)}`
    const { error, heads } = parse('REQUEST', [upload, 'GET /after HTTP/1.1\r\n', `A: ${'a'.repeat(700)}\r\n\r\n`])
    expect(error).toBe('')
    expect(heads.map(({ target }) => target)).toEqual(['/', '/after'])
  })
})

describe('limits on bytes that never end a line or a body', () => {
  const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

  test.each([
    ['a chunk size', '1'.repeat(4_097), 'chunk_size_line above 4096'],
    ['a chunk extension', `1;${'x'.repeat(4_096)}`, 'chunk_size_line above 4096'],
    ['the line after a chunk', `1\r\na${'x'.repeat(4_096)}`, 'bytes after the end of a chunk'],
    ['a trailer line', `0\r\n${'x'.repeat(1_001)}`, 'trailers above 1000'],
    ['many trailer lines', `0\r\n${'a: b\r\n'.repeat(200)}`, 'trailers above 1000'],
    ['many chunks with long extensions', `1;${'x'.repeat(2_000)}\r\na\r\n`.repeat(40), 'chunk_framing above'],
    ['many empty lines before a head', '0\r\n\r\n' + '\r\n'.repeat(600), 'head above 1000']
  ])('%s without end is refused, in one piece and byte by byte', (_name, text, message) => {
    expect(parse('RESPONSE', [CHUNKED + text]).error).toContain(message)
    expect(parse('RESPONSE', [CHUNKED, ...text]).error).toContain(message)
  })

  test('a body of chunks of one byte is within the limits', () => {
    const { bodies, error } = parse('RESPONSE', [`${CHUNKED}${'1\r\na\r\n'.repeat(50_000)}0\r\n\r\n`])
    expect({ lengths: bodies.map(body => body.length), error }).toEqual({ lengths: [50_000], error: '' })
  })

  test('many small chunks are not all parsed in one turn of the event loop', () => {
    let bodyBytes = 0
    const parser = new MessageParser('RESPONSE', {
      onHead: () => false, onBody: piece => { bodyBytes += piece.length }, onEnd: () => {}
    }, 1_000)
    parser.read(Buffer.from(CHUNKED + '1\r\na\r\n'.repeat(10_000)))
    expect(bodyBytes).toBeLessThan(1_000)
    expect(parser.hasUnread).toBe(true)
    while (parser.hasUnread) parser.readMore()
    expect(bodyBytes).toBe(10_000)
  })
})

describe('field lines', () => {
  const BYTES = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code))
  /** RFC 9110, section 5.6.2. */
  const NAME_CHARS = new Set("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")
  const AFTER = 'Content-Length: 0\r\n\r\n'
  const PLACES: ReadonlyArray<readonly [string, 'REQUEST' | 'RESPONSE', (line: string) => string]> = [
    ['the first line of a request', 'REQUEST', line => `POST / HTTP/1.1\r\n${line}\r\nHost: x\r\n${AFTER}`],
    ['the last line of a request', 'REQUEST', line => `POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n${line}\r\n\r\n`],
    ['a trailer of a request', 'REQUEST', line => `POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n${line}\r\n\r\n`],
    ['the first line of an answer', 'RESPONSE', line => `HTTP/1.1 200 OK\r\n${line}\r\n${AFTER}`],
    ['the last line of an answer', 'RESPONSE', line => `HTTP/1.1 200 OK\r\nContent-Length: 0\r\n${line}\r\n\r\n`],
    ['an interim answer', 'RESPONSE', line => `HTTP/1.1 103 Early Hints\r\n${line}\r\n\r\nHTTP/1.1 200 OK\r\n${AFTER}`],
    ['a trailer of an answer', 'RESPONSE', line => `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n${line}\r\n\r\n`]
  ]

  function isAccepted (kind: 'REQUEST' | 'RESPONSE', text: string): boolean {
    const { error } = parse(kind, [text])
    expect([text, parse(kind, [...text]).error]).toEqual([text, error])
    return error === ''
  }

  function quote (chars: readonly string[]): string {
    return JSON.stringify(chars.join(''))
  }

  describe.each(PLACES)('in %s', (_place, kind, inPlace) => {
    test.each([
      ['first', (char: string) => `${char}a: b`],
      ['inner', (char: string) => `a${char}a: b`],
      ['last', (char: string) => `a${char}: b`]
    ])('have a name that is a token, by its %s character', (_name, withChar) => {
      // A line feed ends the line. A colon ends the name, so that it is allowed after the first character.
      const chars = BYTES.filter(char => char !== '\n')
      const accepted = chars.filter(char => isAccepted(kind, inPlace(withChar(char))))
      const allowed = chars.filter(char => NAME_CHARS.has(char) || (char === ':' && withChar('x').startsWith('a')))
      expect(quote(accepted)).toBe(quote(allowed))
    })

    test('have a value without control bytes other than the tab', () => {
      const accepted = BYTES.filter(char => isAccepted(kind, inPlace(`a: b${char}c`)))
      const isControl = (char: string): boolean => (char < ' ' && char !== '\t') || char === '\x7F'
      expect(quote(accepted)).toBe(quote(BYTES.filter(char => !isControl(char))))
    })

    test.each([
      ':', ': b', ' : b', '\t: b', 'a', ' a: b', '\ta: b', 'a : b', 'a\t: b', 'a: b\r\n c', 'a: b\r\n\tc', 'a: b\r\n ', 'a: b\r\nc',
      'Content-Length : 3', 'Content-Length\t: 3', ' Content-Length: 3', 'Content-Length\0: 3', '\x01Content-Length: 3', 'Content-Length\x7F: 3',
      'Content-\r\n Length: 3', 'Transfer-Encoding : chunked', 'Transfer-Encoding\x0B: chunked', 'Transfer-Encoding\xA0: chunked', '\xFFa: b',
      'a\r: b', 'a: b\rContent-Length: 3'
    ])('are refused like %j', line => {
      expect(isAccepted(kind, inPlace(line))).toBe(false)
    })
  })

  test('have values whose bytes above 0x7F and inner blanks stay as they were', () => {
    const values = ['\xA0a\xA0', 'voil\xC3\xA0', '\x80\xFF', 'a \t b', '"a, b"; c=d:e']
    const lines = values.map((value, at) => `f${at}: \t ${value} \t\r\n`).join('')
    for (const [kind, start] of [['REQUEST', 'GET / HTTP/1.1'], ['RESPONSE', 'HTTP/1.1 204 No Content']] as const) {
      const { heads } = parse(kind, [`${start}\r\n${lines}empty:\r\nblank: \t \r\n\r\n`])
      expect(heads[0]?.headers.filter((_text, at) => at % 2 === 1)).toEqual([...values, '', ''])
    }
  })

  test('are read in time that is linear in their length', () => {
    const startedAt = process.cpuUsage()
    const parser = new MessageParser('RESPONSE', { onHead: () => false, onBody: () => {}, onEnd: () => {} }, 1_000_000)
    parser.read(Buffer.from(`HTTP/1.1 200 OK\r\na: ${' '.repeat(400_000)}b${' '.repeat(400_000)}\x01\r\n\r\n`))
    while (parser.hasUnread && parser.readMore() === undefined);
    expect(process.cpuUsage(startedAt).user / 1_000).toBeLessThan(1_000)
  })
})

test.each(['a\x00b', 'a\rb', 'a\x1Bb', 'a\x7Fb'])('a reason phrase or target with a control byte is refused: %j', text => {
  expect(parse('RESPONSE', [`HTTP/1.1 200 ${text}\r\nContent-Length: 0\r\n\r\n`]).error).toContain('malformed status line')
  expect(parse('REQUEST', [`GET /${text} HTTP/1.1\r\nHost: x\r\n\r\n`]).error).not.toBe('')
})

test.each(['voil\xC3\xA0', 'a\tb', ''])('a reason phrase of other bytes is accepted: %j', text => {
  expect(parse('RESPONSE', [`HTTP/1.1 200 ${text}\r\nContent-Length: 0\r\n\r\n`]).heads).toMatchObject([{ statusText: text }])
})
