// A small deployment on loopback addresses for the cases of this review: the project's program as separate
// processes, a stand-in of the platform's store and its process supervision, and stand-ins of backend servers.
import { spawn } from 'node:child_process'
import { createServer as createHttpServer, request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
/** Whether the case causes its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'
export const EXIT_HELD = 0
export const EXIT_BROKEN = 1
export const EXIT_COULD_NOT_RUN = 2

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))
const startedAt = process.hrtime.bigint()
/** Milliseconds since the start of the script. */
export const now = () => Number(process.hrtime.bigint() - startedAt) / 1e6

/** Collects what was sent, answered and run, and writes it to `record.txt` of the case. */
export class Record {
  #lines = []
  constructor (directory) { this.path = join(directory, 'record.txt') }

  add (text) { this.#lines.push(`${(now() / 1000).toFixed(3).padStart(8)} s  ${text}`) }

  write () { writeFileSync(this.path, this.#lines.join('\n') + '\n') }
}

async function isFree (port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '0.0.0.0', () => server.close(() => resolve(true)))
  })
}

async function findPorts (count) {
  const ports = new Set()
  for (let tries = 0; ports.size < count; tries++) {
    if (tries > 500) throw new Error('no free ports')
    const port = 12_000 + Math.floor(Math.random() * 20_000)
    if (await isFree(port)) ports.add(port)
  }
  return [...ports]
}

/** The words of the run command in the deploy file. */
function runCommand () {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  const command = /^run = "(.*)"$/m.exec(text)
  if (command === null) throw new Error('the deploy file has no run command')
  return command[1].split(' ')
}

/** The platform's store as PROTOCOL.md describes it, as far as nodes read it. */
export class Store {
  #items = new Map()
  #events = []
  #revision = 10
  #watches = new Set()

  async listen (ip, port) {
    this.server = createHttpServer((request, response) => this.#handle(request, response))
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(port, ip, resolve))
  }

  put (key, value) {
    const revision = ++this.#revision
    const item = { key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision, created_at: revision, lease: 0 }
    this.#items.set(key, item)
    this.#add(item)
  }

  remove (key) {
    if (!this.#items.delete(key)) return
    this.#add({ key, revision: ++this.#revision, removed: true })
  }

  #add (event) {
    this.#events.push(event)
    for (const answer of [...this.#watches]) answer()
  }

  #handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const send = body => response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
    const prefix = url.searchParams.get('prefix') ?? ''
    if (url.pathname === '/ragwortspur/kv-range') {
      const after = url.searchParams.get('after') ?? ''
      const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
      items.sort((one, other) => one.key < other.key ? -1 : 1)
      send({ items, more_pages: false, as_of: this.#revision })
      return
    }
    if (url.pathname !== '/ragwortspur/kv-watch') {
      response.writeHead(404).end('{}')
      return
    }
    const after = Number(url.searchParams.get('after'))
    const find = () => this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
    const answer = () => {
      clearTimeout(timer)
      this.#watches.delete(answer)
      send({ events: find(), as_of: this.#revision })
    }
    const timer = setTimeout(answer, Number(url.searchParams.get('wait_ms')))
    this.#watches.add(answer)
    response.on('close', () => {
      clearTimeout(timer)
      this.#watches.delete(answer)
    })
    if (find().length > 0) answer()
  }
}

/** Bounds as in the settings of the small deployments. */
const GRACE_MS = 6_000
const BEAT_INTERVAL_MS = 1_500
/** Delay before the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 500

/** One machine: an address, the process of the system there and, as a rule, a backend server. */
export class Machine {
  #child = null
  /** Ends of the process that the platform did not ask for. */
  ownEnds = []
  output = ''
  /** Whether the platform starts the process again after it has ended. */
  restarts = true
  #isAskedToEnd = false

  constructor (deployment, number, service, zone) {
    Object.assign(this, { deployment, number, service, zone })
    this.ip = `${deployment.network}.${number}`
    this.name = `sidecar-${zone}-${number}`
    this.settingsPath = join(deployment.directory, `${this.name}.toml`)
    writeFileSync(this.settingsPath, this.#settingsText())
  }

  #settingsText () {
    const { ports, storeIp } = this.deployment
    return `[self]
node = "${this.name}"
role = "ragwortspur"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "${this.ip}"
zone = "${this.zone}"
region = "eesti"
counts_as_loss = false
first_start = true
app_addr = "${this.ip}:${ports.backend}"
service = "${this.service}"
[self.limits]
cpu_share = 0.54
cores = 2
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [${ports.peer}, ${ports.peer}]
seeds = []
[network.listen]
inbound = "${this.ip}:${ports.peer}"
outbound = "${this.ip}:${ports.caller}"
ready = "${this.ip}:${ports.ready}"
[network.zones]
tallinn = "eesti"
tartu = "eesti"
parnu = "eesti"
[platform]
discovery = "platform"
entry = "static"
beat_interval_ms = ${BEAT_INTERVAL_MS}
[platform.platform]
address = "${storeIp}:${ports.store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"]
[terms.tolerate]
machines = 2
zones = 1
regions = 0
[terms.bounds]
seed_lag_s = 3
reuse_after_s = 2
touch_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = ${GRACE_MS / 1000}
lost_ms = 200
config_ms = 2000
back_ms = 250
outer_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 49
recover_s = 15
`
  }

  get isRunning () { return this.#child !== null }
  get pid () { return this.#child?.pid }

  startProcess () {
    const [program, ...args] = runCommand()
    this.#isAskedToEnd = false
    const env = { PATH: process.env.PATH, HOME: process.env.HOME ?? '/', LANG: 'C.UTF-8', RAGWORTSPUR_NODE_FILE: this.settingsPath }
    const child = spawn(program === 'node' ? process.execPath : program, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    const collect = chunk => { this.output = (this.output + chunk).slice(-100_000) }
    child.stdout.on('data', collect)
    child.stderr.on('data', collect)
    child.on('exit', (code, signal) => {
      this.#child = null
      this.deployment.record.add(`process of ${this.name} ended: ${code === null ? signal : `code ${code}`}`)
      if (!this.#isAskedToEnd) this.ownEnds.push(now())
      if (this.restarts && !this.deployment.isClosed) setTimeout(() => { if (!this.deployment.isClosed) this.startProcess() }, RESTART_DELAY_MS)
    })
  }

  /** Sends a signal as the platform does: SIGTERM is followed by SIGKILL after the grace period. */
  signal (name) {
    this.#isAskedToEnd = true
    const child = this.#child
    this.deployment.record.add(`${name} to the process of ${this.name}`)
    child?.kill(name)
    if (name === 'SIGTERM') setTimeout(() => { if (this.#child === child) child?.kill('SIGKILL') }, GRACE_MS).unref()
  }

  killNow () { this.#child?.kill('SIGKILL') }

  /** One status check of the platform. */
  isReady () {
    return new Promise(resolve => {
      const request = httpRequest({ host: this.ip, port: this.deployment.ports.ready, path: '/ragwortspur/ready', timeout: 900 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
      request.end()
    })
  }
}

/** A deployment of the given machines, `[service, zone]` each, with the given routes. */
export class Deployment {
  machines = []
  backends = []
  isClosed = false

  static async start ({ directory, machines, routes, createBackend }) {
    const deployment = new Deployment()
    deployment.record = new Record(directory)
    deployment.directory = mkdtempSync(join(tmpdir(), 'ragwortspur-review-'))
    process.on('exit', () => deployment.close())
    for (const name of ['SIGINT', 'SIGTERM']) process.on(name, () => process.exit(EXIT_COULD_NOT_RUN))
    const octet = () => 16 + Math.floor(Math.random() * 200)
    deployment.network = `127.${octet()}.${octet()}`
    const [peer, caller, ready, backend, store] = await findPorts(5)
    deployment.ports = { peer, caller, ready, backend, store }
    deployment.storeIp = `${deployment.network}.200`
    deployment.store = new Store()
    await deployment.store.listen(deployment.storeIp, store)
    deployment.store.put('op/config', createConfiguration(routes))
    for (const [at, [service, zone]] of machines.entries()) {
      const machine = new Machine(deployment, at + 1, service, zone)
      deployment.machines.push(machine)
      const server = createBackend(deployment, machine)
      await server.listen()
      deployment.backends.push(server)
      server.register()
      machine.startProcess()
    }
    const endAt = now() + 20_000
    for (const machine of deployment.machines) {
      while (!(await machine.isReady())) {
        if (now() > endAt) throw new Error(`${machine.name} is not ready: ${machine.output.slice(-800)}`)
        await sleep(50)
      }
    }
    deployment.record.add('all machines are ready')
    return deployment
  }

  close () {
    if (this.isClosed) return
    this.isClosed = true
    for (const machine of this.machines) machine.killNow()
    rmSync(this.directory, { recursive: true, force: true })
  }
}

/** A configuration as the platform stores it, with the limits of the small deployments. */
function createConfiguration (routes) {
  const services = new Set(Object.values(routes).map(({ service }) => service))
  return {
    version: 'r7',
    routes: Object.fromEntries(Object.entries(routes).map(([name, route]) => [name, {
      hostname: 'mesh.example', target_latency_ms: 1_500, priority: 0, max_attempts: 2, timeout_ms: 5_000, ...route
    }])),
    services: Object.fromEntries([...services].map(name => [name, { health_path: '/health', max_connections: 1_252, protocol: 'h1', tls: false }])),
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
  }
}

let lastBorn = Date.now()
let lastId = 0

/** A sound backend server. Cases replace `answer` to make it faulty. */
export class Backend {
  #sockets = new Set()
  #sequence = 0
  runs = []
  workMs = 100

  constructor (deployment, { ip, service, zone, name }) {
    Object.assign(this, { deployment, ip, service, zone, machineName: name })
    this.id = `i-${(++lastId).toString(16).padStart(4, '0')}${Math.floor(Math.random() * 0xffffff).toString(16).padStart(6, '0')}`
    this.born = lastBorn = Math.max(Date.now(), lastBorn + 1)
    this.server = createHttpServer((request, response) => this.#handle(request, response))
    this.server.keepAliveTimeout = 10_000
    this.server.requestTimeout = 0
    this.server.on('connection', socket => {
      socket.setMaxListeners(0)
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => this.#sockets.delete(socket))
    })
  }

  get name () { return `${this.id} (${this.service})` }

  async listen () {
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(this.deployment.ports.backend, this.ip, resolve))
  }

  register () {
    this.deployment.store.put(`servers/${this.id}`, {
      address: `${this.ip}:${this.deployment.ports.backend}`,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: 192 },
      status: { state: 'ready', sequence: ++this.#sequence, cold_remaining_ms: 0 },
      born: this.born
    })
  }

  /** Ends like a crashed process. The store removes its entry after three status report intervals of silence. */
  crash () {
    this.server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    setTimeout(() => this.deployment.store.remove(`servers/${this.id}`), 3 * BEAT_INTERVAL_MS).unref()
  }

  #handle (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => this.#execute(request, response, Buffer.concat(chunks)))
    request.on('error', () => {})
    response.on('error', () => {})
  }

  async #execute (request, response, body) {
    const attempt = request.headers['x-attempt-id']
    const load = { 'X-Server-Load': `${this.runs.filter(run => run.endedAt === null).length},0,192` }
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': this.id, ...load }).end()
      return
    }
    const echo = { 'X-Attempt-Id': String(attempt), ...load }
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.id) {
      this.deployment.record.add(`${this.name} at ${this.ip} answers 421 to ${attempt}, which expects ${expected}`)
      response.writeHead(421, { ...echo, 'X-Instance-Id': this.id }).end()
      return
    }
    if (this.shed(request, response, echo)) return
    const run = { attempt, body, path: request.url, method: request.method, expected, at: now(), endedAt: null }
    this.runs.push(run)
    request.socket.once('close', () => { run.endedAt ??= now() })
    await sleep(this.workMs)
    if (request.socket.destroyed) return
    run.endedAt = now()
    this.answer(request, response, { ...echo, 'X-Response-Signature': `signed.${this.id}.${attempt}` }, body)
  }

  /** Whether it refuses a request without running it. */
  shed () { return false }

  answer (request, response, headers) {
    response.writeHead(200, headers).end(`answer of ${this.service} to ${request.headers['x-attempt-id']}`)
  }
}

/** Sends a request on a new connection to the node of a machine, and resolves to what the client got. */
export function send (machine, { path, method = 'GET', id, timeLimitMs = 5_000 }) {
  return new Promise(resolve => {
    const sentAt = now()
    const result = { id, path, machine: machine.name, status: 0, signature: '', body: '', isComplete: false, sentAt, endedAt: 0 }
    const end = () => {
      result.endedAt = now()
      resolve(result)
    }
    const request = httpRequest({
      host: machine.ip,
      port: machine.deployment.ports.caller,
      path,
      method,
      headers: { Host: 'mesh.example', 'X-Attempt-Id': id, 'X-Deadline-Ms': String(timeLimitMs) }
    }, response => {
      result.status = response.statusCode
      result.signature = response.headers['x-response-signature'] ?? ''
      response.on('data', chunk => { result.body += chunk })
      response.on('end', () => {
        result.isComplete = response.complete
        end()
      })
      response.on('error', end)
    })
    request.setTimeout(timeLimitMs, () => request.destroy())
    request.on('error', end)
    request.end()
  })
}

/** Runs a case, writes its record and exits with the code that its verdict has. */
export async function runCase (directory, play) {
  let deployment
  let code = EXIT_COULD_NOT_RUN
  try {
    const verdict = await play(async options => (deployment = await Deployment.start({ directory, ...options })))
    deployment.record.add(`verdict: ${verdict.isBroken ? 'the rule was broken' : 'the rule held'}: ${verdict.text}`)
    code = verdict.isBroken ? EXIT_BROKEN : EXIT_HELD
    console.log(verdict.text)
  } catch (error) {
    console.error(error)
    deployment?.record.add(`the case could not run: ${error.stack}`)
  }
  deployment?.close()
  deployment?.record.write()
  process.exit(code)
}
