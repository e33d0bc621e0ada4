// A backend server crashes for good and its address goes to one of another service, while the node beside it still runs.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Backend, HAS_TROUBLE, now, runCase, send, sleep } from '../lib/deployment.mjs'

/** Later than `reuse_after_s` (2 s) and before the store drops the old entry (4.5 s). */
const REUSED_AFTER_MS = 3_010
/** When the platform stops the node: once the store has dropped the entry of its server. */
const STOPPED_AFTER_MS = 4_500
/** Clients leave a node after two status checks without a 200. */
const CLIENTS_LEFT_AFTER_MS = 2_000
const INTERVAL_MS = 5
const PLAYED_MS = 10_000

await runCase(dirname(fileURLToPath(import.meta.url)), async start => {
  const deployment = await start({
    machines: [
      ['tellimus', 'tallinn'], ['tellimus', 'tartu'], ['tellimus', 'parnu'],
      ['depoo', 'tallinn'], ['depoo', 'tallinn'], ['depoo', 'tallinn'], ['depoo', 'tartu']
    ],
    routes: {
      'r-book': { prefix: '/book/', route_type: 'non_idempotent', service: 'tellimus' },
      'r-look': { prefix: '/look/', route_type: 'idempotent', service: 'depoo', priority: 2 }
    },
    createBackend: (deployment, machine) => new Backend(deployment, machine)
  })
  const { record } = deployment
  let clients = deployment.machines
  const results = []
  const endAt = now() + PLAYED_MS
  const replace = async () => {
    const old = deployment.backends[0]
    record.add(`${old.name} at ${old.ip} crashes for good`)
    old.crash()
    await sleep(REUSED_AFTER_MS)
    const next = new Backend(deployment, { ...deployment.machines[0], service: 'depoo' })
    deployment.backends.push(next)
    next.register()
    record.add(`${next.name} is in the store`)
    await next.listen()
    record.add(`${next.name} starts at ${next.ip}`)
    await sleep(STOPPED_AFTER_MS - REUSED_AFTER_MS)
    deployment.machines[0].restarts = false
    deployment.machines[0].signal('SIGTERM')
    await sleep(CLIENTS_LEFT_AFTER_MS)
    clients = deployment.machines.slice(1)
  }
  if (HAS_TROUBLE) setTimeout(() => replace(), 2_000)
  for (let number = 0; now() < endAt; number++) {
    const machine = clients[number % clients.length]
    const id = `b${number.toString(16).padStart(15, '0')}`
    results.push(send(machine, { path: `/book/${number}`, method: 'POST', id }))
    await sleep(INTERVAL_MS)
  }
  const answered = await Promise.all(results)
  const wrong = deployment.backends.filter(({ service }) => service === 'depoo')
    .flatMap(backend => backend.runs.filter(({ path }) => path.startsWith('/book/')).map(run => ({ backend, ...run })))
  for (const result of answered) {
    const run = wrong.find(({ attempt }) => attempt === result.id)
    if (run !== undefined) record.add(`sent at ${(run.at / 1000).toFixed(3)} s: ${result.id} POST ${result.path} at ${result.machine}; run by ${run.backend.name}, X-Expected-Instance ${run.expected}; the client got ${result.status}, signature ${result.signature}`)
  }
  const counts = new Map()
  for (const { status } of answered) counts.set(status, (counts.get(status) ?? 0) + 1)
  record.add(`${answered.length} bookings sent; by status: ${[...counts].map(([status, count]) => `${status}: ${count}`).join(', ')}`)
  const foreign = answered.filter(({ id, status }) => status === 200 && wrong.some(({ attempt }) => attempt === id)).length
  return {
    isBroken: wrong.length > 0,
    text: `${wrong.length} bookings for tellimus were run by a server of depoo; ${foreign} clients got its answer as a success`
  }
})
