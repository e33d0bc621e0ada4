// Two backend servers send bytes without end in the bodies of some answers, until the caller closes.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Backend, HAS_TROUBLE, now, runCase, send, sleep } from '../lib/deployment.mjs'

/** Share of the answers that never end. */
const ENDLESS_RATIO = 0.02
/** Most bytes a second of one endless answer, within the machine's link of 1,000 Mbit/s. */
const ENDLESS_BYTES_PER_S = 100_000_000
const TICK_MS = 5
const INTERVAL_MS = 8
const PLAYED_MS = 40_000
/** What breaks the rule: processes end by themselves this often, on this many machines. */
const ENDS_COUNT = 3
const MACHINES_COUNT = 2

const JUNK = Buffer.alloc(ENDLESS_BYTES_PER_S * TICK_MS / 1000, 'x')

class EndlessBackend extends Backend {
  endlessCount = 0

  answer (request, response, headers) {
    if (!HAS_TROUBLE || Math.random() >= ENDLESS_RATIO) return super.answer(request, response, headers)
    this.endlessCount += 1
    const { socket } = request
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.write(`HTTP/1.1 200 OK\r\n${lines}Transfer-Encoding: chunked\r\n\r\n`)
    const timer = setInterval(() => { if (socket.writableLength === 0) socket.write(JUNK) }, TICK_MS)
    socket.once('close', () => clearInterval(timer))
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async start => {
  const deployment = await start({
    machines: [
      ['depoo', 'tallinn'], ['depoo', 'tartu'], ['depoo', 'tallinn'], ['depoo', 'tartu'], ['tellimus', 'parnu']
    ],
    routes: {
      'r-look': { prefix: '/look/', route_type: 'idempotent', service: 'depoo', priority: 2 },
      'r-book': { prefix: '/book/', route_type: 'non_idempotent', service: 'tellimus' }
    },
    createBackend: (deployment, machine) => {
      return machine.number <= 2 ? new EndlessBackend(deployment, machine) : new Backend(deployment, machine)
    }
  })
  const { record, machines } = deployment
  const results = []
  const endAt = now() + PLAYED_MS
  const countEnded = () => machines.filter(({ ownEnds }) => ownEnds.length >= ENDS_COUNT).length
  for (let number = 0; now() < endAt && countEnded() < MACHINES_COUNT; number++) {
    const id = `c${number.toString(16).padStart(15, '0')}`
    const machine = machines[number % machines.length]
    results.push(send(machine, number % 4 === 0 ? { path: `/book/${number}`, method: 'POST', id } : { path: `/look/${number}`, id }))
    await sleep(INTERVAL_MS)
  }
  const answered = await Promise.all(results)
  const counts = new Map()
  for (const { status } of answered) counts.set(status, (counts.get(status) ?? 0) + 1)
  record.add(`${answered.length} requests sent; by status: ${[...counts].map(([status, count]) => `${status}: ${count}`).join(', ')}`)
  const booked = deployment.backends[4].runs.map(({ attempt }) => attempt)
  const cut = answered.filter(({ id, status }) => status === 0 && booked.includes(id))
  for (const { id, path, machine, sentAt } of cut) record.add(`sent at ${(sentAt / 1000).toFixed(3)} s: ${id} POST ${path} at ${machine}; run by the sound server of tellimus; connection closed without an answer`)
  for (const backend of deployment.backends) if (backend.endlessCount > 0) record.add(`${backend.name} at ${backend.ip}: ${backend.endlessCount} answers without end`)
  for (const { name, ownEnds, output } of machines) {
    const reason = /FATAL ERROR.*/.exec(output)?.[0] ?? ''
    record.add(`${name}: its processes ended by themselves ${ownEnds.length} times ${reason}`)
  }
  return {
    isBroken: countEnded() >= MACHINES_COUNT,
    text: `on ${countEnded()} of ${machines.length} machines the processes ended by themselves ${ENDS_COUNT} times or more; ${cut.length} bookings that a sound server ran got no answer`
  }
})
