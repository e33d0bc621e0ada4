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

const servers: Array<{ close (): unknown }> = []
afterEach(async () => {
  for (const server of servers.splice(0)) await server.close()
})

async function start (nodeAddress?: string): Promise<{ backend: BackendServer, url: string, runs: RunEvent[] }> {
  const runs: RunEvent[] = []
  const backend = new BackendServer({ config, nodeAddress, onRun: event => runs.push(event) })
  servers.push(backend)
  return { backend, runs, url: `http://${await listenOn(backend.server, '127.0.0.1:0')}` }
}

const headers = { 'ragwortspur-root': 'r1', 'ragwortspur-call': 'c1', 'idempotency-key': 'k1', 'ragwortspur-deadline-ms': '60000' }

describe('stand-in backend server', () => {
  test('a run is logged with its key and answered with a whole answer and the echoed call', async () => {
    const { url, runs } = await start()
    const answer = await fetch(`${url}/bookings`, { method: 'POST', headers, body: '{}' })
    expect(answer.headers.get('ragwortspur-call')).toBe('c1')
    expect(checkAnswer(await answer.text(), 'r1', 'delivery-booking')).toEqual({ kind: 'own' })
    expect(runs.map(run => [run.event, run.root, run.key, run.state]))
      .toEqual([['run_started', 'r1', 'k1', 'started'], ['run_ended', 'r1', 'k1', 'done']])
  })

  test('a sub-call carries the root, the parent call and a derived key, and its failure fails the run', async () => {
    const seen: IncomingHttpHeaders[] = []
    const node = createServer((request, response) => {
      seen.push(request.headers)
      response.writeHead(503).end()
    })
    servers.push(node)
    const { url } = await start(await listenOn(node, '127.0.0.1:0'))
    const answer = await fetch(`${url}/bookings`, { method: 'POST', headers, body: '{}' })
    expect([answer.status, answer.headers.get('ragwortspur-backend-status')]).toEqual([500, 'failed'])
    expect(seen[0]).toMatchObject({
      'ragwortspur-root': 'r1',
      'ragwortspur-call': 'c1',
      'ragwortspur-caller': 'delivery-booking',
      'ragwortspur-service': 'invoicing',
      'idempotency-key': 'k1:invoicing'
    })
  })

  test('a crossed answer carries another call, a truncated one never ends cleanly', async () => {
    const { backend, url } = await start()
    await (await fetch(`${url}/bookings`, { headers })).text()
    backend.applyControl({ answer_fault: 'crossed' })
    const crossed = await fetch(`${url}/bookings`, { headers: { ...headers, 'ragwortspur-root': 'r2', 'ragwortspur-call': 'c2' } })
    expect(crossed.headers.get('ragwortspur-call')).toBe('c1')
    expect(checkAnswer(await crossed.text(), 'r2', 'delivery-booking')).toEqual({ kind: 'foreign' })
    backend.applyControl({ answer_fault: 'truncated' })
    await expect(fetch(`${url}/bookings`, { headers }).then(async answer => await answer.text())).rejects.toThrow()
  })

  test('a lying health report replaces the true one', async () => {
    const { backend, url } = await start()
    backend.applyControl({ reported_load_ratio: 0.1, draining: true })
    expect(await (await fetch(`${url}/health`)).json()).toEqual({ status: 'draining', load_ratio: 0.1, slots_used_count: 0 })
  })
})

test('a damaged answer is recognised', () => {
  const text = answerText({ rootId: 'r1', serviceName: 'invoicing', runNumber: 4 })
  expect(checkAnswer(text.slice(0, -3), 'r1', 'invoicing')).toEqual({ kind: 'partial' })
  expect(checkAnswer(text.replace('r1', 'r2'), 'r2', 'invoicing')).toEqual({ kind: 'partial' })
})

test('a call that left the queue never takes a slot', () => {
  const slots = new SlotQueue(1, 2)
  const started: string[] = []
  slots.take(() => started.push('a'))
  const leave = slots.take(() => started.push('b'))
  slots.take(() => started.push('c'))
  expect(slots.take(() => started.push('d'))).toBeUndefined()
  leave?.()
  slots.release()
  slots.release()
  expect([started, slots.usedCount]).toEqual([['a', 'c'], 0])
})
