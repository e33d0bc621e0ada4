// A small deployment for the cases of the second review: the program of the deploy file as separate processes, a store,
// backend servers and clients as stand-ins, all on loopback addresses.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Relay } from './relay.mjs'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))
export const nowMs = () => performance.now()

/** Whether the disruption takes place. With TROUBLE=0 the script does the same without it. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
export class Record {
  #path
  #startMs = nowMs()
  constructor (caseUrl) {
    this.#path = join(dirname(fileURLToPath(caseUrl)), 'record.txt')
    writeFileSync(this.#path, `TROUBLE=${hasTrouble ? 1 : 0}\n`)
  }

  line (text) {
    appendFileSync(this.#path, `${((nowMs() - this.#startMs) / 1000).toFixed(3)} ${text}\n`)
  }
}

function canListen (ip, port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })
}

/** Ports below those for outgoing connections that are free at all the addresses. */
async function findFreePorts (ips, count) {
  const ports = new Set()
  for (let tries = 0; ports.size < count; tries++) {
    if (tries > 500) throw new Error('no free ports')
    const port = 12_000 + Math.floor(Math.random() * 18_000)
    const free = await Promise.all(ips.map(ip => canListen(ip, port)))
    if (free.every(Boolean)) ports.add(port)
  }
  return [...ports]
}

/** `beat_interval_ms` of the settings. */
const BEAT_INTERVAL_MS = 1_500
/** `history_s` of the settings. */
const HISTORY_MS = 20_000
/** A page of a range has "at most about 500 items or 1 MB". */
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000

/** The platform's store: keys, ranges and watches, with the messages of PROTOCOL.md. */
export class Store {
  items = new Map()
  revision = 1
  /** Changes up to this revision are no longer in the history. */
  #forgottenRevision = 0
  /** Changes what happens to a request: 'serve', or 'silent' for an outage. */
  mode = 'serve'
  #history = []
  #watches = new Set()
  #server = createHttpServer((request, response) => this.#handle(request, response))

  listen (ip, port) {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, ip, resolve)
    })
  }

  put (key, value) { return this.#change({ key, value: Buffer.from(value), revision: ++this.revision }) }
  remove (key) { return this.#change({ key, removed: true, revision: ++this.revision }) }

  #change (change) {
    if (change.removed) this.items.delete(change.key)
    else this.items.set(change.key, change)
    this.#history.push({ ...change, atMs: nowMs() })
    for (const answer of [...this.#watches]) answer()
    return change.revision
  }

  #forgetOldChanges () {
    while (this.#history.length > 0 && nowMs() - this.#history[0].atMs > HISTORY_MS) {
      this.#forgottenRevision = this.#history.shift().revision
    }
  }

  #encode ({ key, value, revision, removed }) {
    return removed
      ? { key, revision, removed: true }
      : { key, value: value.toString('base64'), revision, created_at: revision, lease: 0 }
  }

  #handle (request, response) {
    if (this.mode === 'silent') return
    const { pathname, searchParams: query } = new URL(request.url, 'http://store')
    const prefix = query.get('prefix') ?? ''
    const send = (status, body) => {
      if (this.mode !== 'silent') response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
    }
    if (pathname === '/ragwortspur/kv-range') {
      const keys = [...this.items.keys()].sort().filter(key => key.startsWith(prefix) && key > (query.get('after') ?? ''))
      const items = []
      for (let bytes = 0; items.length < Math.min(PAGE_ITEMS, keys.length); bytes += items.at(-1).value.length) {
        if (bytes >= PAGE_BYTES) break
        items.push(this.#encode(this.items.get(keys[items.length])))
      }
      return send(200, { items, more_pages: keys.length > items.length, as_of: this.revision })
    }
    if (pathname !== '/ragwortspur/kv-watch') return send(404, {})
    const after = Number(query.get('after'))
    this.#forgetOldChanges()
    if (after < this.#forgottenRevision) return send(410, {})
    const events = () => this.#history.filter(change => change.revision > after && change.key.startsWith(prefix))
    let timer = null
    const answer = () => {
      clearTimeout(timer)
      this.#watches.delete(answer)
      send(200, { events: events().map(change => this.#encode(change)), as_of: this.revision })
    }
    if (events().length > 0) return answer()
    timer = setTimeout(answer, Number(query.get('wait_ms')))
    this.#watches.add(answer)
    response.on('close', () => { clearTimeout(timer); this.#watches.delete(answer) })
  }

  close () { this.#server.close(); this.#server.closeAllConnections() }
}

/** Reads HTTP/1.1 requests from a socket: heads, and bodies with a length. Calls back with each whole request. */
function readRequests (socket, onRequest) {
  let bytes = Buffer.alloc(0)
  socket.on('data', chunk => {
    bytes = Buffer.concat([bytes, chunk])
    for (;;) {
      const end = bytes.indexOf('\r\n\r\n')
      if (end < 0) return
      const [line, ...fields] = bytes.toString('latin1', 0, end).split('\r\n')
      const headers = Object.fromEntries(fields.map(field => {
        const at = field.indexOf(':')
        return [field.slice(0, at).toLowerCase(), field.slice(at + 1).trim()]
      }))
      const length = Number(headers['content-length'] ?? 0)
      if (bytes.length < end + 4 + length) return
      const body = bytes.subarray(end + 4, end + 4 + length)
      bytes = bytes.subarray(end + 4 + length)
      const [method, path] = line.split(' ')
      onRequest({ method, path, headers, body, id: headers['x-attempt-id'] ?? '' })
    }
  })
}

/** Head and body of a backend server's answer with a length. */
export function answerText (status, { id, serverId, slots, extra = '' }, body) {
  const signature = status < 300 ? `X-Response-Signature: sig.${serverId}.${id}\r\n` : ''
  return `HTTP/1.1 ${status} ${status < 300 ? 'OK' : 'Answer'}\r\nX-Attempt-Id: ${id}\r\n${signature}` +
    `X-Server-Load: 1,0,${slots}\r\n${extra}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** A backend server. `handle(request, socket, backend)` answers the requests that are for this instance. */
export class Backend {
  sockets = new Set()
  /** Requests that it has begun to run: id, path and when. */
  runs = []
  #server = null

  constructor (plan) { Object.assign(this, plan) }

  listen () {
    this.#server = createServer(socket => {
      this.sockets.add(socket)
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => this.sockets.delete(socket))
      readRequests(socket, request => this.#onRequest(request, socket))
    })
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.port, this.ip, resolve)
    })
  }

  #onRequest (request, socket) {
    const { 'x-expected-instance': expected } = request.headers
    if (expected !== undefined && expected !== this.serverId) {
      socket.write(`HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: ${request.id}\r\nX-Instance-Id: ${this.serverId}\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    this.handle(request, socket, this)
  }

  /** Notes that a request has begun to run. */
  run (request) {
    this.runs.push({ id: request.id, path: request.path, atMs: nowMs() })
  }

  reply (socket, request, body, status = 200, extra = '') {
    if (!socket.destroyed) socket.write(answerText(status, { id: request.id, serverId: this.serverId, slots: this.slots, extra }, body))
  }

  /** The process ends: connections are reset, and its port has no listener. */
  crash () {
    this.#server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  close () { this.crash() }
}

/** A machine: a backend server and the node beside it. */
class Vm {
  node = null
  output = ''
  exits = []
  constructor (plan) { Object.assign(this, plan) }
}

const settingsText = ({ name, ip, zone, service, ports, backendPort }, { listenIp = ip } = {}) => `
[self]
node = "${name}"
role = "ragwortspur"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "${ip}"
zone = "${zone}"
region = "eesti"
counts_as_loss = false
first_start = true
app_addr = "${ip}:${backendPort}"
service = "${service}"
[self.limits]
cpu_share = 0.54
cores = 2
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [7620,7635]
seeds = []
[network.listen]
inbound = "${listenIp}:${ports.inbound}"
outbound = "${listenIp}:${ports.outbound}"
ready = "${listenIp}:${ports.ready}"
[platform]
discovery = "platform"
entry = "static"
beat_interval_ms = 1500
[platform.platform]
address = "${ports.storeIp}:${ports.store}"
form = "read"
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
[terms.bounds]
seed_lag_s = 3
reuse_after_s = 2
touch_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
lost_ms = 200
config_ms = 2000
back_ms = 250
outer_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 49
recover_s = 15
`

/** A deployment. Each plan of a VM: service, zone, handle and, if the node shall listen elsewhere, listenIp. */
export class World {
  vms = []
  store = new Store()
  #folder = mkdtempSync(join(tmpdir(), 'ragwortspur-review-'))
  #isClosing = false
  #bornMs = Date.now() - 60_000
  #beatTimer = null
  relays = []

  constructor (record) { this.record = record }

  /** With `hasRelays` the nodes reach each other and their backend servers through relays, so that connections can go silent. */
  async start (plans, routes, { limits = {}, hasRelays = false } = {}) {
    const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
    const ips = plans.map((_, at) => `${net}.${at + 1}`)
    const storeIp = `${net}.250`
    const listenIps = hasRelays ? plans.map((_, at) => `${net}.${at + 101}`) : ips
    const [inbound, outbound, ready, backendPort, store] = await findFreePorts([...new Set([...ips, ...listenIps, storeIp])], 5)
    this.ports = { inbound, outbound, ready, store, storeIp }
    await this.store.listen(storeIp, store)
    const services = [...new Set(plans.map(({ service }) => service))]
    this.routes = routes
    this.services = services
    this.limits = limits
    this.putConfig(7)
    for (const [at, plan] of plans.entries()) {
      const vm = new Vm({ name: `sidecar-${plan.zone ?? 'tallinn'}-${at + 1}`, zone: 'tallinn', slots: 64, serverId: `i-${at + 1}a`, ...plan, ip: ips[at], listenIp: listenIps[at], ports: this.ports, backendPort })
      vm.bornMs = this.#bornMs + at
      vm.sequence = 1
      vm.backend = new Backend({ ip: vm.listenIp, port: backendPort, serverId: vm.serverId, slots: vm.slots, service: vm.service, handle: plan.handle })
      await vm.backend.listen()
      this.vms.push(vm)
      if (hasRelays) {
        const relay = new Relay({ ip: vm.ip, targetIp: vm.listenIp, port: inbound })
        const backendRelay = new Relay({ ip: vm.ip, targetIp: vm.listenIp, port: backendPort })
        await Promise.all([relay.listen(), backendRelay.listen()])
        this.relays.push(relay, backendRelay)
      }
      this.putEntry(vm)
    }
    this.#beatTimer = setInterval(() => { for (const vm of this.vms) if (!vm.isDown) this.putEntry(vm) }, BEAT_INTERVAL_MS)
    for (const vm of this.vms) this.startNode(vm)
    await this.waitReady()
  }

  /** Writes the config: routes by name with hostname, prefix, kind and service. */
  putConfig (version) {
    const routes = Object.fromEntries(Object.entries(this.routes).map(([name, route]) => [name, {
      hostname: `${name}.example`,
      prefix: `/${name}/`,
      route_type: 'idempotent',
      timeout_ms: 5000,
      target_latency_ms: 1500,
      priority: 2,
      max_attempts: 2,
      ...route
    }]))
    const services = Object.fromEntries(this.services.map(name => [name, { health_path: '/health', max_connections: 1252, protocol: 'h1', tls: false }]))
    this.store.put('op/config', JSON.stringify({
      version: `r${version}`,
      routes,
      services,
      limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_ms: 3000, idle_timeout_ms: 15000, ...this.limits }
    }))
  }

  /** A backend server writes its entry, as it does in each beat. */
  putEntry (vm) {
    this.store.put(`servers/${vm.serverId}`, JSON.stringify({
      address: `${vm.ip}:${vm.backendPort}`,
      info: { service: vm.service, version: 'v1', zone: vm.zone, slots: vm.slots },
      status: { state: 'ready', sequence: vm.sequence++, cold_remaining_ms: 0 },
      born: vm.bornMs
    }))
  }

  startNode (vm) {
    const path = join(this.#folder, `${vm.name}.toml`)
    writeFileSync(path, settingsText(vm, vm))
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(run[0], run.slice(1), { cwd: ROOT, env: { PATH, HOME, LANG, RAGWORTSPUR_NODE_FILE: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    vm.node = child
    const keep = chunk => { vm.output = (vm.output + chunk).slice(-400_000) }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.on('exit', (code, signal) => {
      vm.exits.push({ code, signal })
      if (!this.#isClosing) this.record.line(`process ${vm.name} ended: code=${code} signal=${signal}`)
    })
  }

  /** All open connections between the machines, and to backend servers, go silent for good. */
  silence () { for (const relay of this.relays) relay.silence() }

  async waitReady (vms = this.vms, withinMs = 20_000) {
    const untilMs = nowMs() + withinMs
    for (const vm of vms) {
      while (!(await isReady(vm.listenIp ?? vm.ip, this.ports.ready))) {
        if (nowMs() > untilMs) throw new Error(`${vm.name} is not ready: ${vm.output.slice(-2000)}`)
        await sleep(100)
      }
    }
    this.record.line(`ready: ${vms.map(({ name }) => name).join(' ')}`)
  }

  async close () {
    this.#isClosing = true
    clearInterval(this.#beatTimer)
    await Promise.all(this.vms.map(({ node }) => new Promise(resolve => {
      if (node === null || node.exitCode !== null || node.signalCode !== null) return resolve()
      node.once('exit', resolve)
      node.kill('SIGKILL')
    })))
    for (const { backend } of this.vms) backend.close()
    for (const relay of this.relays) relay.close()
    this.store.close()
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

function isReady (ip, port) {
  return new Promise(resolve => {
    const socket = connect({ host: ip, port })
    socket.setTimeout(1000, () => socket.destroy())
    let text = ''
    socket.on('connect', () => socket.write('GET /ragwortspur/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n'))
    socket.on('data', chunk => { text += chunk })
    socket.on('error', () => resolve(false))
    socket.on('close', () => resolve(text.startsWith('HTTP/1.1 200')))
  })
}

let lastId = 0
/** An id for one attempt of a client. */
export const newId = () => `${process.pid.toString(16)}${(++lastId).toString(16).padStart(8, '0')}`

/**
 * A client that sends one request on a connection of its own and reads the answer as HTTP/1.1 says: a body with a length,
 * or one that ends with the connection. `end` is 'whole', 'cut' (fewer bytes than announced), 'reset' or 'none'.
 */
export function request (vm, { host, path, method = 'GET', id = newId(), timeoutMs = 5000, body = '', pace = null }) {
  return new Promise(resolve => {
    const socket = connect({ host: vm.listenIp ?? vm.ip, port: vm.ports.outbound })
    const startedMs = nowMs()
    let head = null
    let headBytes = Buffer.alloc(0)
    let bodyBytes = 0
    let hasReset = false
    let isDone = false
    const done = end => {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      socket.destroy()
      resolve({ id, end, status: head?.status ?? 0, headers: head?.headers ?? {}, bodyBytes, text: head?.text ?? '', tookMs: nowMs() - startedMs })
    }
    const timer = setTimeout(() => done('late'), timeoutMs + 1000)
    socket.on('connect', () => {
      const length = body === '' && method === 'GET' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`
      socket.write(`${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: ${timeoutMs}\r\n${length}\r\n${body}`)
    })
    socket.on('data', chunk => {
      if (head === null) {
        headBytes = Buffer.concat([headBytes, chunk])
        const end = headBytes.indexOf('\r\n\r\n')
        if (end < 0) return
        const [line, ...fields] = headBytes.toString('latin1', 0, end).split('\r\n')
        const headers = Object.fromEntries(fields.map(field => {
          const at = field.indexOf(':')
          return [field.slice(0, at).toLowerCase(), field.slice(at + 1).trim()]
        }))
        head = { status: Number(line.split(' ')[1]), headers, text: headBytes.toString('latin1', end + 4).slice(0, 200) }
        chunk = headBytes.subarray(end + 4)
      }
      bodyBytes += chunk.length
      const { 'content-length': length } = head.headers
      if (length !== undefined && bodyBytes >= Number(length)) return done('whole')
      // A slow reader takes a rest after each piece.
      if (pace !== null) {
        socket.pause()
        setTimeout(() => socket.resume(), pace(chunk.length))
      }
    })
    socket.on('error', () => { hasReset = true })
    socket.on('end', () => {
      if (head === null) done('none')
      else done(head.headers['content-length'] === undefined ? 'whole' : 'cut')
    })
    socket.on('close', () => done(hasReset ? 'reset' : head === null ? 'none' : 'cut'))
  })
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
export async function runCase (caseUrl, play) {
  const record = new Record(caseUrl)
  const world = new World(record)
  const limit = setTimeout(() => {
    record.line('the case took too long')
    world.close().finally(() => process.exit(2))
  }, 110_000)
  let code = 2
  try {
    const broken = await play(world, record)
    code = broken ? 1 : 0
    record.line(broken ? `BROKEN: ${broken}` : 'the rule held')
  } catch (error) {
    record.line(`the case could not run: ${error.stack}`)
  }
  clearTimeout(limit)
  await world.close()
  process.exit(code)
}
