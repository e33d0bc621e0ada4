// CONFIG: entries of another writer, of a service that no config names, take the backends of a service out of use for good.
import { hasTrouble, request, runCase, sleep } from '../lib-2/world.mjs'

const WORK_MS = 60
const ROUNDS = 60

function handle (work, socket, backend) {
  backend.run(work)
  setTimeout(() => backend.reply(socket, work, 'done'), WORK_MS)
}

const stock = { service: 'depoo' }
const invoice = { service: 'arve', route_type: 'non_idempotent', timeout_ms: 1_200, target_latency_ms: 300 }

await runCase(import.meta.url, async (world, record) => {
  const services = ['depoo', 'depoo', 'depoo', 'arve', 'arve', 'arve']
  const zones = ['tallinn', 'tartu', 'parnu', 'tallinn', 'tartu', 'parnu']
  await world.start(services.map((service, at) => ({ service, zone: zones[at], handle })), { stock })
  await sleep(4_000)
  // The config that adds the route to arve.
  world.routes = { stock, invoice }
  world.putConfig(9)
  await sleep(5_000)

  /** Sends requests on the first route and on the one added later, from all machines in turn. */
  const measure = async label => {
    const served = { stock: 0, invoice: 0 }
    const counts = {}
    for (let at = 0; at < ROUNDS; at++) {
      const vm = world.vms[at % world.vms.length]
      const answers = await Promise.all([
        request(vm, { host: 'stock.example', path: `/stock/${at}` }),
        request(vm, { host: 'invoice.example', path: `/invoice/${at}`, method: 'POST', body: 'one household', timeoutMs: 1_200 })
      ])
      for (const [index, name] of ['stock', 'invoice'].entries()) {
        const { status, end } = answers[index]
        if (status === 200) served[name] += 1
        counts[`${name} ${status || end}`] = (counts[`${name} ${status || end}`] ?? 0) + 1
      }
      await sleep(150)
    }
    record.line(`${label}: sent ${ROUNDS} on each route; ${JSON.stringify(counts)}`)
    return served
  }

  const before = await measure('before')
  if (before.stock < ROUNDS * 0.9 || before.invoice < ROUNDS * 0.9) throw new Error('not all served before')
  if (hasTrouble) {
    for (const vm of world.vms.filter(({ service }) => service === 'arve')) {
      const key = `servers/monitor-${vm.name}`
      const entry = {
        address: `${vm.ip}:${vm.backendPort}`,
        info: { service: 'monitoring', version: 'v1', zone: vm.zone, slots: 1 },
        status: { state: 'ready', sequence: 1, cold_remaining_ms: 0 },
        born: Date.now()
      }
      world.store.put(key, JSON.stringify(entry))
      record.line(`another writer puts ${key}: ${JSON.stringify(entry)}`)
    }
  }
  await sleep(5_000)
  const after = await measure('from 5 s later on')
  await sleep(15_000)
  const later = await measure('from 30 s later on')
  const isBroken = [after, later].some(({ stock, invoice }) => invoice < stock / 4)
  return isBroken ? `served on the first route ${after.stock + later.stock}, on the one added later ${after.invoice + later.invoice} of ${2 * ROUNDS}` : ''
})
