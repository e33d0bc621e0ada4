import { randomBytes } from 'node:crypto'
import type { Millis } from '../clock/clock.js'
import { chainAdmissionDefinition } from '../core/chainAdmission/chainAdmissionDefinition.js'
import { configurationDefinition } from '../core/configuration/configurationDefinition.js'
import type { CallerLimits } from '../core/configuration/configurationTypes.js'
import { discoveryDefinition } from '../core/discovery/discoveryDefinition.js'
import { ServerState, type ListedServer, type ListEvent } from '../core/discovery/discoveryTypes.js'
import { placementDefinition } from '../core/placement/placementDefinition.js'
import { secondSendsDefinition } from '../core/secondSends/secondSendsDefinition.js'
import { slotsDefinition } from '../core/slots/slotsDefinition.js'
import { CallerServer } from '../http/callerServer.js'
import { ExchangePool } from '../http/exchangePool.js'
import { OwnAnswer } from './callerDialect.js'
import { CrashGuard } from './crashGuard.js'
import { EntryTask } from './entryTask.js'
import { Executor } from './executor.js'
import type { Hello } from './frames.js'
import type { MeshNodeOptions } from './meshNodeTypes.js'
import type { PlacedCall, PlacedHandle, PlacedListener } from './meshTypes.js'
import { NodeMetrics } from './nodeMetrics.js'
import { encodeNotice } from './notices.js'
import { PeerMesh } from './peerMesh.js'
import { PeerServer } from './peerServer.js'
import { PublishedTask } from './publishedTask.js'
import { createPageServer } from './pageServer.js'

/** Bounds until a configuration states them. */
const LIMITS_BEFORE_CONFIGURATION: CallerLimits = {
  headMaxBytes: 16_384, bodyMaxBytes: 1_048_576, headTimeoutMs: 5_000, idleTimeoutMs: 30_000
}
/** Load above that of the own data centre that makes a server elsewhere the better choice. */
const REMOTE_PENALTY_RATIO = 0.4
const BACKEND_CONNECT_TIMEOUT_MS: Millis = 1_000
const BACKEND_CONNECTIONS_BEFORE_CONFIGURATION_COUNT = 16
const BACKEND_IDLE_MAX_MS: Millis = 8_000
const ANSWER_MAX_BYTES = 64 * 1024 * 1024
const SWEEP_PERIOD_MS: Millis = 50
/** Descriptors kept for listening sockets, peers, the store and log output. */
const DESCRIPTORS_RESERVED_COUNT = 800
/** Least time a stopping node takes new requests: callers turn away after two missed checks a second apart. */
const STOP_SERVING_MS: Millis = 2_300
/** A stopping node without a request for this long has lost its callers. */
const STOP_QUIET_MS: Millis = 400
/** Part of the grace after which a stopping node takes no more connections. */
const STOP_ACCEPTING_RATIO = 0.75
/** Time kept for closing before the process is killed. */
const STOP_MARGIN_MS: Millis = 300

const FAULT_ANSWERS = {
  400: OwnAnswer.Malformed,
  408: OwnAnswer.HeadTimeout,
  413: OwnAnswer.BodyTooLarge,
  431: OwnAnswer.HeadTooLarge,
  503: OwnAnswer.NotRunRetryLater
} as const

/** One node: the tasks of a process beside a backend server, and the state they share. */
export class MeshNode {
  readonly #options: MeshNodeOptions
  readonly #hello: Hello
  readonly #configuration = configurationDefinition.createDb()
  readonly #discovery = discoveryDefinition.createDb()
  readonly #chainAdmission = chainAdmissionDefinition.createDb(chainAdmissionDefinition.defaults)
  readonly #slots = slotsDefinition.createDb(slotsDefinition.defaults)
  readonly #placement
  readonly #secondSends
  readonly #mesh: PeerMesh
  readonly #crashGuard: CrashGuard
  readonly #executor: Executor
  readonly #entry: EntryTask
  readonly #published: PublishedTask
  readonly #callers: CallerServer
  readonly #peers: PeerServer
  readonly #ready: CallerServer
  readonly #metricsServer: CallerServer | null
  readonly #metrics = new NodeMetrics()
  #sweepTimer: NodeJS.Timeout | null = null
  #isStopping = false
  #stopStartedAtMs: Millis = 0

  constructor (options: MeshNodeOptions) {
    this.#options = options
    const { settings, clock, random, log } = options
    this.#hello = {
      incarnation: randomBytes(8).toString('hex'),
      ip: settings.ip,
      dataCentre: settings.dataCentre,
      serviceName: settings.serviceName
    }
    this.#placement = placementDefinition.createDb({
      ownDataCentre: settings.dataCentre, ownIp: settings.ip, remotePenaltyRatio: REMOTE_PENALTY_RATIO
    })
    this.#secondSends = secondSendsDefinition.createDb(settings.secondSends, clock.monotonicMs())
    this.#mesh = new PeerMesh({
      ownIp: settings.ip,
      peerPort: settings.peerListen.port,
      clock,
      log,
      hello: this.#hello,
      onSilent: (ip, isSilent) => this.#eachServerAt(ip, server => {
        placementDefinition.setSilent(this.#placement, server, isSilent)
      }),
      onNotice: (text, fromIp) => this.#published.receive(text, fromIp),
      onUp: ip => this.#peerUp(ip)
    })
    this.#crashGuard = new CrashGuard({
      clock,
      log,
      onCrash: fingerprints => this.#sendToAll(encodeNotice({ method: 'crash_suspects', fingerprints }))
    })
    this.#executor = new Executor({
      clock,
      serviceName: settings.serviceName,
      pool: this.#backendPool(),
      dialect: options.backendDialect,
      slots: this.#slots,
      crashGuard: this.#crashGuard,
      log,
      metrics: this.#metrics
    })
    this.#entry = new EntryTask({
      clock,
      random,
      log,
      dialect: options.callerDialect,
      configuration: this.#configuration,
      discovery: this.#discovery,
      placement: this.#placement,
      secondSends: this.#secondSends,
      chainAdmission: this.#chainAdmission,
      metrics: this.#metrics,
      runningCall: requestId => this.#executor.running.get(requestId),
      place: (server, call, listener) => this.#place(server, call, listener)
    })
    this.#callers = this.#callerServer()
    this.#peers = new PeerServer({
      host: settings.peerListen.ip,
      port: settings.peerListen.port,
      clock,
      hello: this.#hello,
      place: (call, listener) => this.#executor.place(call, listener),
      report: () => this.#executor.report(),
      onNotice: (text, fromIp) => this.#published.receive(text, fromIp),
      onPeer: hello => {
        this.#mesh.reconnect(hello.ip)
        this.#published.greet(hello.ip)
      }
    })
    this.#ready = createPageServer({
      host: settings.readyListen.ip,
      port: settings.readyListen.port,
      clock,
      answer: path => {
        if (path !== settings.readyPath) return { statusCode: 404, text: '' }
        return { statusCode: this.isReady ? 200 : 503, text: '' }
      }
    })
    this.#metricsServer = settings.metricsListen === null
      ? null
      : createPageServer({
        host: settings.metricsListen.ip,
        port: settings.metricsListen.port,
        clock,
        answer: () => ({ statusCode: 200, text: this.#metrics.text() })
      })
    this.#addGauges()
    this.#published = new PublishedTask({
      clock,
      random,
      log,
      store: options.store,
      own: { ip: settings.ip, dataCentre: settings.dataCentre },
      configuration: this.#configuration,
      discovery: this.#discovery,
      // A node that has just connected has no link from here yet, so its own connection is used as well.
      sendTo: (ip, text) => {
        if (!this.#peers.notify(ip, text)) this.#mesh.sendTo(ip, text)
      },
      sendToAll: text => this.#sendToAll(text),
      onEvents: events => this.#takeEvents(events),
      onLeaving: ip => this.#eachServerAt(ip, server => placementDefinition.setLeaving(this.#placement, server, true)),
      onCrashSuspects: fingerprints => this.#crashGuard.accuse(fingerprints)
    })
  }

  async start (): Promise<void> {
    const { settings, log } = this.#options
    this.#published.start()
    await Promise.all([
      this.#callers.listen(), this.#peers.listen(), this.#ready.listen(), this.#metricsServer?.listen()
    ])
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_PERIOD_MS)
    log.event('started', {
      node: settings.nodeName,
      service: settings.serviceName,
      data_centre: settings.dataCentre,
      incarnation: this.#hello.incarnation
    })
  }

  /** Nodes whose backend server is not listed have no link from here, but they have one to this node. */
  #sendToAll (text: string): void {
    this.#mesh.sendToAll(text)
    this.#peers.notifyAll(text, ip => this.#mesh.hasOpenLink(ip))
  }

  /** Ends the node without cutting a request in hand. */
  stop (): void {
    if (this.#isStopping) return
    this.#isStopping = true
    this.#stopStartedAtMs = this.#options.clock.monotonicMs()
    this.#options.log.event('stopping', { open: this.#entry.openCount, running: this.#executor.open.size })
    this.#callers.beginStop()
    this.#executor.beginStop()
    this.#sendToAll(encodeNotice({ method: 'leaving' }))
    this.#eachServerAt(this.#options.settings.ip, server => {
      placementDefinition.setLeaving(this.#placement, server, true)
    })
  }

  #sweep (): void {
    this.#executor.sweep()
    this.#crashGuard.sweep()
    this.#published.sweep()
    this.#mesh.check()
    if (this.#isStopping) this.#continueStop()
  }

  #continueStop (): void {
    const { clock, settings, log, onStopped } = this.#options
    const nowMs = clock.monotonicMs()
    const elapsedMs = nowMs - this.#stopStartedAtMs
    const isBusy = this.#entry.openCount > 0 || this.#executor.open.size > 0
    const hasCallers = nowMs - this.#entry.lastReceivedAtMs < STOP_QUIET_MS
    if (elapsedMs < STOP_SERVING_MS) return
    if (hasCallers && elapsedMs < settings.stopGraceMs * STOP_ACCEPTING_RATIO) return
    this.#callers.close()
    if (isBusy && elapsedMs < settings.stopGraceMs - STOP_MARGIN_MS) return
    log.event('stopped', { after_ms: Math.round(elapsedMs), open: this.#entry.openCount })
    this.#peers.close()
    log.flush()
    onStopped()
  }

  /** Whether the node takes new work: it knows what to do with it and does not stop. */
  get isReady (): boolean {
    return !this.#isStopping && this.#configuration.current !== null && this.#discovery.revision >= 0
  }

  /** Backend servers that the node knows of. */
  get serversCount (): number {
    return this.#discovery.servers.size
  }

  /** Version of the configuration in force, or 0. */
  get configurationVersion (): number {
    return this.#configuration.current?.version ?? 0
  }

  /** Ends the node at once, as a crash does: open requests are cut. */
  abort (): void {
    if (this.#sweepTimer !== null) clearInterval(this.#sweepTimer)
    this.#published.stop()
    this.#mesh.close()
    this.#peers.abort()
    this.#executor.options.pool.closeAll()
    for (const server of [this.#callers, this.#ready, this.#metricsServer]) {
      server?.close()
      server?.destroyAll()
    }
  }

  #addGauges (): void {
    const { clock } = this.#options
    const gauges: Readonly<Record<string, () => number>> = {
      configuration_version: () => this.configurationVersion,
      list_revision: () => this.#discovery.revision,
      list_age_ms: () => Math.round(clock.monotonicMs() - this.#discovery.freshAtMs),
      servers_listed: () => this.#discovery.servers.size,
      peer_links: () => this.#mesh.linksCount,
      requests_open: () => this.#entry.openCount,
      caller_connections: () => this.#callers.connectionsCount,
      backend_running: () => this.#slots.runningCount,
      backend_queued: () => this.#slots.queue.length,
      backend_slots_used_limit: () => this.#executor.report().load.limitCount,
      resident_bytes: () => process.memoryUsage.rss()
    }
    for (const [name, read] of Object.entries(gauges)) this.#metrics.gauge(name, read)
  }

  #backendPool (): ExchangePool {
    const { settings, clock } = this.#options
    return new ExchangePool({
      host: settings.backend.ip,
      port: settings.backend.port,
      clock,
      connectTimeoutMs: BACKEND_CONNECT_TIMEOUT_MS,
      idleMaxMs: BACKEND_IDLE_MAX_MS,
      answerMaxBytes: ANSWER_MAX_BYTES,
      connectionsMaxCount: () => {
        return this.#configuration.current?.services.get(settings.serviceName)?.connectionsMaxCount ??
          BACKEND_CONNECTIONS_BEFORE_CONFIGURATION_COUNT
      }
    })
  }

  #callerServer (): CallerServer {
    const { settings, clock, callerDialect } = this.#options
    return new CallerServer({
      host: settings.callerListen.ip,
      port: settings.callerListen.port,
      clock,
      connectionsMaxCount: settings.descriptorsMaxCount - DESCRIPTORS_RESERVED_COUNT,
      bounds: () => this.#configuration.current?.limits ?? LIMITS_BEFORE_CONFIGURATION,
      onRequest: request => this.#entry.receive(request),
      faultAnswer: statusCode => callerDialect.ownAnswer(FAULT_ANSWERS[statusCode], 'malformed request', null)
    })
  }

  #place (server: ListedServer, call: PlacedCall, listener: PlacedListener): PlacedHandle {
    if (server.ip === this.#options.settings.ip) return this.#executor.place(call, listener)
    return this.#mesh.place(server.ip, call, listener)
  }

  /** A process of another node has greeted; a mark of its predecessor no longer holds. */
  #peerUp (ip: string): void {
    this.#eachServerAt(ip, server => placementDefinition.setLeaving(this.#placement, server, false))
    this.#published.greet(ip)
  }

  #eachServerAt (ip: string, apply: (server: ListedServer) => void): void {
    for (const server of this.#discovery.servers.values()) if (server.ip === ip) apply(server)
  }

  #takeEvents (events: readonly ListEvent[]): void {
    const { clock, log } = this.#options
    const nowMs = clock.monotonicMs()
    for (const { kind, server } of events) {
      log.event('server_listed', {
        change: kind,
        server: server.serverId,
        service: server.serviceName,
        ip: server.ip,
        state: server.state,
        revision: server.revision
      })
      if (kind === 'left' || kind === 'replaced') placementDefinition.forget(this.#placement, server.serverId)
      if (kind !== 'left' && server.warmingMs > 0) placementDefinition.warming(this.#placement, server, nowMs)
    }
    this.#followOwnServer(nowMs)
    secondSendsDefinition.setNodesCount(this.#secondSends, this.#discovery.servers.size)
    this.#mesh.keep(new Set([...this.#discovery.servers.values()].map(server => server.ip)))
  }

  /** Takes over what the list says of the own backend server. One that is not listed yet, or no more, gets no work. */
  #followOwnServer (nowMs: Millis): void {
    const { settings, log } = this.#options
    const server = discoveryDefinition.serverAt(this.#discovery, settings.ip, settings.backend.port)
    const isOwn = server !== undefined && server.serviceName === settings.serviceName
    const acceptsWork = isOwn && server.state === ServerState.Ready
    if (isOwn) {
      slotsDefinition.setSlots(this.#slots, server.slotsCount, nowMs)
      this.#executor.serverId = server.serverId
      if (this.#isStopping) placementDefinition.setLeaving(this.#placement, server, true)
    }
    if (acceptsWork === this.#slots.acceptsWork) return
    log.event('own_server', {
      accepts_work: acceptsWork, server: server?.serverId ?? 'none', revision: this.#discovery.revision
    })
    slotsDefinition.setAccepting(this.#slots, acceptsWork)
  }
}
