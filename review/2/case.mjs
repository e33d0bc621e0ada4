// Servers refuse part of their requests, and most of them send second copies of some answers late, at the point where
// the next answer on the connection is expected.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Backend, HAS_TROUBLE, now, runCase, send, sleep } from '../lib/deployment.mjs'

/** Share of the requests that all servers refuse without running them (`srv_grey`, `shed all`). */
const SHED_RATIO = 0.55
/** Share of the answers that two of three servers send a second time (`garble`, `extra late`). */
const EXTRA_RATIO = 0.03
const INTERVAL_MS = 100
const PLAYED_MS = 106_000
const PROMISES = [408, 421, 429, 503]

function formatAnswer (status, reason, headers, body = '') {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  return `HTTP/1.1 ${status} ${reason}\r\n${lines}Content-Length: ${body.length}\r\n\r\n${body}`
}

class SheddingBackend extends Backend {
  sendsExtra = false
  extrasCount = 0
  shedCount = 0
  #lateAnswers = new WeakMap()

  shed (request, response, echo) {
    const late = this.#lateAnswers.get(request.socket)
    if (late !== undefined) {
      this.#lateAnswers.delete(request.socket)
      this.extrasCount += 1
      this.deployment.record.add(`${this.name} sends a second copy of its answer to ${late.attempt} where that to ${request.headers['x-attempt-id']} is expected`)
      request.socket.write(late.text)
    }
    if (Math.random() >= SHED_RATIO) return false
    this.shedCount += 1
    const headers = { ...echo, 'X-Not-Executed': '1' }
    this.#keepCopy(request, formatAnswer(503, 'Service Unavailable', headers))
    response.writeHead(503, { ...headers, 'Content-Length': 0 }).end()
    return true
  }

  answer (request, response, headers) {
    const body = `answer to ${request.headers['x-attempt-id']}`
    this.#keepCopy(request, formatAnswer(200, 'OK', headers, body))
    response.writeHead(200, { ...headers, 'Content-Length': body.length }).end(body)
  }

  #keepCopy (request, text) {
    if (!HAS_TROUBLE || !this.sendsExtra || Math.random() >= EXTRA_RATIO) return
    this.#lateAnswers.set(request.socket, { text, attempt: request.headers['x-attempt-id'] })
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async start => {
  const deployment = await start({
    machines: ['tellimus', 'arve'].flatMap(service => ['tallinn', 'tartu', 'parnu'].map(zone => [service, zone])),
    routes: {
      'r-book': { prefix: '/book/', route_type: 'non_idempotent', service: 'tellimus', max_attempts: 1 },
      'r-bill': { prefix: '/bill/', route_type: 'non_idempotent', service: 'arve', max_attempts: 1 }
    },
    createBackend: (deployment, machine) => Object.assign(new SheddingBackend(deployment, machine), { sendsExtra: machine.zone !== 'parnu', workMs: 160 })
  })
  const { record, machines, backends } = deployment
  const results = []
  const endAt = now() + PLAYED_MS
  for (let number = 0; now() < endAt; number++) {
    results.push(send(machines[Math.floor(number / 2) % machines.length], { path: `/${number % 2 === 0 ? 'book' : 'bill'}/${number}`, method: 'POST', id: `b${number.toString(16).padStart(15, '0')}` }))
    await sleep(INTERVAL_MS)
  }
  const answered = await Promise.all(results)
  let refusedCount = 0
  let twiceCount = 0
  for (const { id, status, sentAt } of answered) {
    const runs = backends.flatMap(backend => backend.runs.filter(({ attempt }) => attempt === id).map(({ at }) => `${backend.name} at ${(at / 1000).toFixed(3)} s`))
    const isRefused = PROMISES.includes(status) && runs.length > 0
    if (isRefused) refusedCount += 1
    if (runs.length > 1) twiceCount += 1
    if (isRefused || runs.length > 1) record.add(`${id}, sent at ${(sentAt / 1000).toFixed(3)} s: the client got ${status}; run by ${runs.join(', ')}`)
  }
  const counts = new Map()
  for (const { status } of answered) counts.set(status, (counts.get(status) ?? 0) + 1)
  record.add(`${answered.length} requests sent; by status: ${[...counts].map(([status, count]) => `${status}: ${count}`).join(', ')}; refused by servers ${backends.map(({ shedCount }) => shedCount).join(', ')}; second copies ${backends.map(({ extrasCount }) => extrasCount).join(', ')}`)
  return {
    isBroken: refusedCount + twiceCount > 0,
    text: `${refusedCount} requests were answered as not run though they ran; ${twiceCount} ran twice`
  }
})
