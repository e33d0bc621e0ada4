import { createServer, type IncomingHttpHeaders } from 'node:http'
import { answerText, checkAnswer } from './answerText.js'
import { BackendServer, type RunEvent } from './backendServer.js'
import { backendConfigSchema } from './backendTypes.js'
import { listenOn } from './httpTools.js'
import { SlotQueue } from './slotQueue.js'

const config = backendConfigSchema.parse({
  service: 'delivery-booking',
  slots_count: 2,
  connections_count: 10,
  routes: [
    {
      method: 'POST',
      path_prefix: '/bookings',
      service_time_ms: 0,
      service_time_kind: 'fixed',
      sub_calls: [{ service: 'invoicing', method: 'POST', path: '/invoices' }]
    },
    { method: 'GET', path_prefix: '/bookings', service_time_ms: 0, service_time_kind: 'exponential' }
  ]
})

const serversToClose: Array<{ close (): unknown }> = []
afterEach(async () => {
  for (const server of serversToClose.splice(0)) await server.close()
})

async function startBackend (nodeAddress?: string): Promise<{ backend: BackendServer, url: string, runs: RunEvent[] }> {
  const runs: RunEvent[] = []
  const backend = new BackendServer({ config, nodeAddress, onRunEvent: event => runs.push(event) })
  serversToClose.push(backend)
  return { backend, runs, url: `http://${await listenOn(backend.server, '127.0.0.1:0')}` }
}

const headers = { 'ragwortspur-root': 'r1', 'ragwortspur-call': 'c1', 'idempotency-key': 'k1', 'ragwortspur-deadline-ms': '60000' }

describe('stand-in backend server', () => {
  test('a run is logged with its idempotency key and gets a complete answer that echoes the call id', async () => {
    const { url, runs } = await startBackend()
    const answer = await fetch(`${url}/bookings`, { method: 'POST', headers, body: '{}' })
    expect(answer.headers.get('ragwortspur-call')).toBe('c1')
    expect(checkAnswer(await answer.text(), 'r1', 'delivery-booking')).toEqual({ kind: 'own' })
    expect(runs.map(run => [run.event, run.root, run.key, run.state]))
      .toEqual([['run_started', 'r1', 'k1', 'started'], ['run_ended', 'r1', 'k1', 'done']])
  })

  test('a sub-call carries the root id, the parent call id and a derived idempotency key, and its failure fails the run', async () => {
    const receivedHeaders: IncomingHttpHeaders[] = []
    const node = createServer((request, response) => {
      receivedHeaders.push(request.headers)
      response.writeHead(503).end()
    })
    serversToClose.push(node)
    const { url } = await startBackend(await listenOn(node, '127.0.0.1:0'))
    const answer = await fetch(`${url}/bookings`, { method: 'POST', headers, body: '{}' })
    expect([answer.status, answer.headers.get('ragwortspur-backend-status')]).toEqual([500, 'failed'])
    expect(receivedHeaders[0]).toMatchObject({
      'ragwortspur-root': 'r1',
      'ragwortspur-call': 'c1',
      'ragwortspur-caller': 'delivery-booking',
      'ragwortspur-service': 'invoicing',
      'idempotency-key': 'k1:invoicing'
    })
  })

  test('a crossed answer carries the id of another call, and reading a truncated one fails', async () => {
    const { backend, url } = await startBackend()
    await (await fetch(`${url}/bookings`, { headers })).text()
    backend.applyControl({ answer_fault: 'crossed' })
    const crossed = await fetch(`${url}/bookings`, { headers: { ...headers, 'ragwortspur-root': 'r2', 'ragwortspur-call': 'c2' } })
    expect(crossed.headers.get('ragwortspur-call')).toBe('c1')
    expect(checkAnswer(await crossed.text(), 'r2', 'delivery-booking')).toEqual({ kind: 'foreign' })
    backend.applyControl({ answer_fault: 'truncated' })
    await expect(fetch(`${url}/bookings`, { headers }).then(async answer => await answer.text())).rejects.toThrow()
  })

  test('values of the test control replace the measured ones in a health response', async () => {
    const { backend, url } = await startBackend()
    backend.applyControl({ reported_load_ratio: 0.1, draining: true })
    expect(await (await fetch(`${url}/health`)).json()).toEqual({ status: 'draining', load_ratio: 0.1, slots_used_count: 0 })
  })
})

test('a truncated or altered answer is detected', () => {
  const text = answerText({ rootId: 'r1', serviceName: 'invoicing', runNumber: 4 })
  expect(checkAnswer(text.slice(0, -3), 'r1', 'invoicing')).toEqual({ kind: 'partial' })
  expect(checkAnswer(text.replace('r1', 'r2'), 'r2', 'invoicing')).toEqual({ kind: 'partial' })
})

test('a call whose wait was cancelled never gets a slot', () => {
  const slots = new SlotQueue(1, 2)
  const started: string[] = []
  slots.acquire(() => started.push('a'))
  const cancelWait = slots.acquire(() => started.push('b'))
  slots.acquire(() => started.push('c'))
  expect(slots.acquire(() => started.push('d'))).toBeUndefined()
  cancelWait?.()
  slots.release()
  slots.release()
  expect([started, slots.usedCount]).toEqual([['a', 'c'], 0])
})
