import { createServer } from 'node:http'
import { connect } from 'node:net'
import { once } from 'node:events'
import { createHttpRelay } from './httpRelay.js'
import { listenOn, parseAddress } from './httpTools.js'
import { Relay } from './relay.js'

const cleanups: Array<() => unknown> = []
afterEach(async () => {
  for (const cleanUp of cleanups.splice(0)) await cleanUp()
})

async function startTarget (): Promise<string> {
  const target = createServer((request, response) => {
    request.pipe(response.writeHead(201, { 'x-seen': String(request.headers['ragwortspur-root']) }))
  })
  cleanups.push(() => { target.closeAllConnections(); target.close() })
  return await listenOn(target, '127.0.0.1:0')
}

test('the HTTP relay forwards method, headers, body and status', async () => {
  const { server, pool } = createHttpRelay(await startTarget())
  const url = `http://${await listenOn(server, '127.0.0.1:0')}/x`
  cleanups.push(() => { server.closeAllConnections(); server.close() }, async () => { await pool.destroy() })
  const answer = await fetch(url, { method: 'POST', body: 'text', headers: { 'ragwortspur-root': 'r1' } })
  expect([answer.status, answer.headers.get('x-seen'), await answer.text()]).toEqual([201, 'r1', 'text'])
})

test('a fault with scope existing does not affect new connections, and a cut with scope all resets them', async () => {
  const relay = new Relay(parseAddress(await startTarget()))
  cleanups.push(() => { relay.close() })
  const address = parseAddress(await listenOn(relay.server, '127.0.0.1:0'))
  const silent = connect(address)
  cleanups.push(() => silent.destroy())
  await once(silent, 'connect')
  while (relay.linksCount === 0) await new Promise(resolve => setImmediate(resolve))
  // The cut at the end of the test resets this connection as well.
  silent.on('error', () => {})
  let silentBytesCount = 0
  silent.on('data', data => { silentBytesCount += data.length })
  relay.applyControl({ mode: 'silence', scope: 'existing' })
  silent.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n')
  expect((await fetch(`http://127.0.0.1:${address.port}/`)).status).toBe(201)
  expect(silentBytesCount).toBe(0)
  relay.applyControl({ mode: 'cut' })
  await expect(fetch(`http://127.0.0.1:${address.port}/`)).rejects.toThrow()
})
