import { randomBytes } from 'node:crypto'
import type { Clock, Millis } from '../clock/clock.js'
import { configurationDefinition } from '../core/configuration/configurationDefinition.js'
import type { CallerLimits, Configuration } from '../core/configuration/configurationTypes.js'
import type { RandomSource } from '../core/coreTypes.js'
import { discoveryDefinition } from '../core/discovery/discoveryDefinition.js'
import { ServerState, type ListedServer, type ListEvent } from '../core/discovery/discoveryTypes.js'
import { placementDefinition } from '../core/placement/placementDefinition.js'
import { secondSendsDefinition } from '../core/secondSends/secondSendsDefinition.js'
import type { SecondSendsSettings } from '../core/secondSends/secondSendsTypes.js'
import { slotsDefinition } from '../core/slots/slotsDefinition.js'
import { CallerServer } from '../http/callerServer.js'
import { ExchangePool } from '../http/exchangePool.js'
import type { BackendDialect } from './backendDialect.js'
import { OwnAnswer, type CallerDialect } from './callerDialect.js'
import { EntryTask } from './entryTask.js'
import { Executor } from './executor.js'
import type { Hello } from './frames.js'
import type { PlacedCall, PlacedHandle, PlacedListener } from './meshTypes.js'
import type { NodeLog } from './nodeLog.js'
import { PeerLink } from './peerLink.js'
import { PeerServer } from './peerServer.js'
import type { PlatformStore, PublishedChanges, PublishedState } from './platformStore.js'
import { createReadyServer } from './readyServer.js'
import { StoreTask } from './storeTask.js'

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
/** Descriptors kept for listening sockets, the store and log output. */
const DESCRIPTORS_RESERVED_COUNT = 300

export interface Endpoint {
  readonly ip: string
  readonly port: number
}

/** Where a node runs and what it talks to. */
export interface MeshNodeSettings {
  readonly nodeName: string
  readonly ip: string
  readonly dataCentre: string
  readonly serviceName: string
  readonly backend: Endpoint
  readonly peerListen: Endpoint
  readonly callerListen: Endpoint
  readonly readyListen: Endpoint
  readonly readyPath: string
  readonly descriptorsMaxCount: number
  readonly stopGraceMs: Millis
  readonly secondSends: SecondSendsSettings
}

export interface MeshNodeOptions {
  readonly settings: MeshNodeSettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: NodeLog
  readonly store: PlatformStore
  readonly callerDialect: CallerDialect
  readonly backendDialect: BackendDialect
  readonly onStopped: () => void
}

/** One node: the tasks of a process beside a backend server, and the state they share. */
export class MeshNode {
  readonly #options: MeshNodeOptions
  readonly #hello: Hello
  readonly #configuration = configurationDefinition.createDb()
  readonly #discovery = discoveryDefinition.createDb()
  readonly #placement
  readonly #secondSends
  readonly #slots = slotsDefinition.createDb(slotsDefinition.defaults)
  readonly #links = new Map<string, PeerLink>()
  readonly #executor: Executor
  readonly #entry: EntryTask
  readonly #callers: CallerServer
  readonly #peers: PeerServer
  readonly #ready: CallerServer
  readonly #storeTask: StoreTask
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
    const pool = new ExchangePool({
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
    this.#executor = new Executor({
      clock, serviceName: settings.serviceName, pool, dialect: options.backendDialect, slots: this.#slots, log
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
      place: (server, call, listener) => this.#place(server, call, listener)
    })
    this.#callers = new CallerServer({
      host: settings.callerListen.ip,
      port: settings.callerListen.port,
      clock,
      connectionsMaxCount: settings.descriptorsMaxCount - DESCRIPTORS_RESERVED_COUNT,
      bounds: () => this.#configuration.current?.limits ?? LIMITS_BEFORE_CONFIGURATION,
      onRequest: request => this.#entry.receive(request),
      faultAnswer: statusCode => options.callerDialect.ownAnswer(FAULT_ANSWERS[statusCode], 'malformed request', null)
    })
    this.#peers = new PeerServer({
      host: settings.peerListen.ip,
      port: settings.peerListen.port,
      clock,
      hello: this.#hello,
      place: (call, listener) => this.#executor.place(call, listener),
      load: () => this.#executor.load(),
      onNotice: () => {},
      onPeer: () => {}
    })
    this.#ready = createReadyServer({
      host: settings.readyListen.ip,
      port: settings.readyListen.port,
      clock,
      path: settings.readyPath,
      isReady: () => this.#isReady()
    })
    this.#storeTask = new StoreTask({
      clock,
      random,
      log,
      store: options.store,
      onState: (state, readAtMs) => this.#takeState(state, readAtMs),
      onChanges: (changes, readAtMs) => this.#takeChanges(changes, readAtMs)
    })
  }

  async start (): Promise<void> {
    const { settings, log } = this.#options
    this.#storeTask.start()
    await Promise.all([this.#callers.listen(), this.#peers.listen(), this.#ready.listen()])
    setInterval(() => this.#executor.sweep(), SWEEP_PERIOD_MS)
    log.event('started', {
      node: settings.nodeName,
      service: settings.serviceName,
      data_centre: settings.dataCentre,
      incarnation: this.#hello.incarnation
    })
  }

  /** Ends the node without cutting a request in hand. */
  stop (): void {
    if (this.#isStopping) return
    this.#isStopping = true
    this.#stopStartedAtMs = this.#options.clock.monotonicMs()
    this.#options.log.event('stopping', { open: this.#entry.openCount, running: this.#executor.open.size })
    this.#callers.beginStop()
    setInterval(() => this.#continueStop(), SWEEP_PERIOD_MS)
  }

  #continueStop (): void {
    const { clock, settings, log, onStopped } = this.#options
    const elapsedMs = clock.monotonicMs() - this.#stopStartedAtMs
    if (elapsedMs < STOP_SERVING_MS) return
    const isIdle = this.#entry.openCount === 0 && this.#executor.open.size === 0
    if (!isIdle && elapsedMs < settings.stopGraceMs - STOP_MARGIN_MS) return
    log.event('stopped', { after_ms: Math.round(elapsedMs), open: this.#entry.openCount })
    this.#callers.close()
    this.#peers.close()
    log.flush()
    onStopped()
  }

  #isReady (): boolean {
    return !this.#isStopping && this.#configuration.current !== null && this.#discovery.revision >= 0
  }

  #place (server: ListedServer, call: PlacedCall, listener: PlacedListener): PlacedHandle {
    if (server.ip === this.#options.settings.ip) return this.#executor.place(call, listener)
    return this.#linkTo(server.ip).place(call, listener)
  }

  #linkTo (ip: string): PeerLink {
    let link = this.#links.get(ip)
    if (link === undefined) {
      link = new PeerLink({
        ip,
        port: this.#options.settings.peerListen.port,
        clock: this.#options.clock,
        hello: this.#hello,
        onSilent: isSilent => this.#setSilent(ip, isSilent),
        onNotice: () => {},
        onUp: () => {}
      })
      this.#links.set(ip, link)
    }
    return link
  }

  #setSilent (ip: string, isSilent: boolean): void {
    this.#options.log.event(isSilent ? 'peer_lost' : 'peer_regained', { peer: ip })
    for (const server of this.#discovery.servers.values()) {
      if (server.ip === ip) placementDefinition.setSilent(this.#placement, server, isSilent)
    }
  }

  #takeState (state: PublishedState, readAtMs: Millis): void {
    this.#takeConfiguration(state.configuration)
    this.#takeEvents(discoveryDefinition.takeSnapshot(this.#discovery, state, readAtMs))
  }

  #takeChanges (changes: PublishedChanges, readAtMs: Millis): void {
    this.#takeConfiguration(changes.configuration)
    this.#takeEvents(discoveryDefinition.takeChanges(this.#discovery, changes.changes, changes.revision, readAtMs))
  }

  #takeConfiguration (configuration: Configuration | null): void {
    if (configuration === null) return
    const result = configurationDefinition.offer(this.#configuration, configuration, this.#options.clock.monotonicMs())
    if (result.kind === 'in_force') {
      this.#options.log.event('configuration_in_force', {
        version: result.version, replaced: result.replacedVersion, routes: configuration.routes.length
      })
    }
  }

  #takeEvents (events: readonly ListEvent[]): void {
    if (events.length === 0) return
    const nowMs = this.#options.clock.monotonicMs()
    for (const { kind, server } of events) {
      this.#options.log.event('server_listed', {
        change: kind, server: server.serverId, service: server.serviceName, ip: server.ip, revision: server.revision
      })
      if (kind === 'left' || kind === 'replaced') placementDefinition.forget(this.#placement, server.serverId)
      if (kind !== 'left' && server.warmingMs > 0) placementDefinition.warming(this.#placement, server, nowMs)
    }
    secondSendsDefinition.setNodesCount(this.#secondSends, this.#discovery.servers.size)
    this.#followOwnServer()
  }

  #followOwnServer (): void {
    const { settings, clock } = this.#options
    for (const server of this.#discovery.servers.values()) {
      if (server.ip !== settings.ip || server.serviceName !== settings.serviceName) continue
      slotsDefinition.setSlots(this.#slots, server.slotsCount, clock.monotonicMs())
      slotsDefinition.setAccepting(this.#slots, server.state === ServerState.Ready)
    }
  }
}

/** How long a stopping node takes new requests: callers turn away after two missed checks a second apart. */
const STOP_SERVING_MS: Millis = 3_000
/** Time kept for closing before the process is killed. */
const STOP_MARGIN_MS: Millis = 300

const FAULT_ANSWERS = {
  400: OwnAnswer.Malformed,
  408: OwnAnswer.HeadTimeout,
  413: OwnAnswer.BodyTooLarge,
  431: OwnAnswer.HeadTooLarge,
  503: OwnAnswer.NotRunRetryLater
} as const
