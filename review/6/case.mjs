// CONFIG: a few large entries of another writer keep all machines from reading the store, so an older config goes on.
import { randomBytes } from 'node:crypto'
import { hasTrouble, nowMs, request, runCase, sleep } from '../lib-2/world.mjs'

const CONFIG_MS = 2_000
const WORK_MS = 160
/** Bytes of one entry that can't be read; `value_bytes` is 1,048,576. */
const ENTRY_BYTES = 1_000_000
const ENTRIES = 16
const SENDING_MS = 26_000

function handle (booking, socket, backend) {
  backend.run(booking)
  setTimeout(() => backend.reply(socket, booking, 'booked'), WORK_MS)
}

const booking = { service: 'tellimus', route_type: 'non_idempotent', priority: 0 }

/** Sends bookings at all machines in turn and returns them with when they were sent. */
async function sendBookings (world, forMs) {
  const untilMs = nowMs() + forMs
  const answers = []
  for (let at = 0; nowMs() < untilMs; at++) {
    const vm = world.vms[at % world.vms.length]
    const sentMs = nowMs()
    answers.push(request(vm, { host: 'booking.example', path: `/booking/${at}`, method: 'POST', body: 'one cottage', timeoutMs: 2_000 })
      .then(answer => ({ ...answer, sentMs, vm: vm.name })))
    await sleep(50)
  }
  return Promise.all(answers)
}

await runCase(import.meta.url, async (world, record) => {
  const services = ['tellimus', 'tellimus', 'tellimus', 'graafik', 'graafik', 'graafik']
  const zones = ['tallinn', 'tartu', 'parnu', 'tallinn', 'tartu', 'parnu']
  await world.start(services.map((service, at) => ({ service, zone: zones[at], handle })), { booking })
  // The machines are in touch.
  await sleep(5_000)
  const sending = sendBookings(world, SENDING_MS)
  await sleep(1_000)
  if (hasTrouble) {
    for (let at = 1; at <= ENTRIES; at++) {
      world.store.put(`servers/export-${at}`, randomBytes(ENTRY_BYTES))
      record.line(`another writer puts servers/export-${at}: ${ENTRY_BYTES} bytes that can't be read`)
      await sleep(20)
    }
  }
  await sleep(1_000)
  world.routes = { booking: { ...booking, service: 'graafik' } }
  world.putConfig(9)
  const confirmedMs = nowMs()
  record.line('the store has confirmed r9, which moves the route from tellimus to graafik')
  const answers = await sending
  const serviceById = new Map(world.vms.flatMap(({ backend }) => backend.runs.map(({ id }) => [id, backend.service])))
  const later = answers.filter(({ sentMs }) => sentMs > confirmedMs + CONFIG_MS)
  const stale = later.filter(({ id }) => serviceById.get(id) === 'tellimus')
  const lastMs = Math.max(0, ...stale.map(({ sentMs }) => sentMs - confirmedMs))
  const count = (list, test) => list.filter(test).length
  record.line(`bookings sent later than ${CONFIG_MS} ms after that: ${later.length}; run by graafik ${count(later, ({ id }) => serviceById.get(id) === 'graafik')}, ` +
    `by tellimus ${stale.length}, not run ${count(later, ({ id }) => !serviceById.has(id))}; the last by tellimus was sent ${Math.round(lastMs)} ms after`)
  for (const { name } of world.vms) record.line(`  sent at ${name}: ${count(later, ({ vm }) => vm === name)}, run by tellimus ${count(stale, ({ vm }) => vm === name)}`)
  for (const { id, vm, sentMs, status } of [...stale.slice(0, 10), ...stale.slice(-5)]) {
    record.line(`  ${id} sent at ${vm} ${Math.round(sentMs - confirmedMs)} ms after, run by ${serviceById.get(id)}, answered ${status}`)
  }
  for (const { name, output } of world.vms) {
    const lines = output.split('\n').filter(line => /event=(store_lost|store_regained)/.test(line))
    record.line(`  ${name}: answers of the store above the limit ${output.split('event=message_limit_exceeded peer=store').length - 1}; ${lines.join('; ') || 'the store was not lost'}`)
  }
  return stale.length > 0 ? `${stale.length} bookings were run by the service that r9 took them from, up to ${Math.round(lastMs)} ms after its confirmation` : ''
})
