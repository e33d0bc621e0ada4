import type { Millis } from '../clock/clock.js'
import { chainAdmissionDefinition } from '../core/chainAdmission/chainAdmissionDefinition.js'
import { configurationDefinition } from '../core/configuration/configurationDefinition.js'
import { discoveryDefinition } from '../core/discovery/discoveryDefinition.js'
import { ServerState, type ListedServer, type ListEvent } from '../core/discovery/discoveryTypes.js'
import { identityDefinition } from '../core/identity/identityDefinition.js'
import { placementDefinition } from '../core/placement/placementDefinition.js'
import { fleetRetryBudgetDefinition } from '../core/fleetRetryBudget/fleetRetryBudgetDefinition.js'
import { slotsDefinition } from '../core/slots/slotsDefinition.js'
import type { CallerServer } from '../http/callerServer.js'
import { ConfigurationProofTask } from './configurationProofTask.js'
import { AllotmentTask } from './allotmentTask.js'
import { CrashGuard } from './crashGuard.js'
import { EntryTask } from './entryTask.js'
import { Executor } from './executor.js'
import type { Hello } from './frames.js'
import { GracefulStop, StopPhase } from './gracefulStop.js'
import { createHello } from './incarnation.js'
import { createForeignAnswerReporter, createLimitReporter, LimitedPeer, type LimitReporter } from './peerReports.js'
import type { MeshNodeOptions } from './meshNodeTypes.js'
import type { DispatchedCall, DispatchHandle, DispatchListener } from './meshTypes.js'
import { registerNodeGauges } from './nodeGauges.js'
import { NodeMetrics } from './nodeMetrics.js'
import { encodeNotice } from './notices.js'
import { PeerMesh } from './peerMesh.js'
import { PeerServer } from './peerServer.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { PublishedStateTask } from './publishedStateTask.js'
import { SpreadTask } from './spreadTask.js'
import { createBackendPool, createCallerServer, createMemoryAccount, createOperatorServers, SocketShares } from './nodeServers.js'

/** Added to the load of servers in other data centres, so that one is chosen only if it is less loaded by this much. */
const REMOTE_PENALTY_RATIO = 0.4
/** Round trip between data centres; one way takes 0.9 to 1.4 ms. */
const REMOTE_PATH_MS: Millis = 2.4
const SWEEP_PERIOD_MS: Millis = 50
/** The sidecar of one backend server: wires its tasks together and holds the state they share. */
export class MeshNode {
  readonly #options: MeshNodeOptions
  readonly #hello: Hello
  readonly #configuration = configurationDefinition.createDb()
  readonly #identity = identityDefinition.createDb()
  readonly #discovery
  readonly #chainAdmission = chainAdmissionDefinition.createDb(chainAdmissionDefinition.defaults)
  readonly #memory
  readonly #slots = slotsDefinition.createDb(slotsDefinition.defaults)
  readonly #placement
  readonly #fleetRetryBudget
  readonly #proof: ConfigurationProofTask | null
  readonly #spreadTask: SpreadTask
  readonly #peerMesh: PeerMesh
  readonly #allotmentTask: AllotmentTask
  readonly #crashGuard: CrashGuard
  readonly #executor: Executor
  readonly #entryTask: EntryTask
  readonly #publishedState: PublishedStateTask
  readonly #callerServer: CallerServer
  readonly #peerServer: PeerServer
  readonly #operatorServers: readonly CallerServer[]
  readonly #metrics = new NodeMetrics()
  readonly reportLimits: LimitReporter
  #sweepTimer: NodeJS.Timeout | null = null
  readonly #stop: GracefulStop

  constructor (options: MeshNodeOptions) {
    this.#options = options
    const { settings, clock, random, log } = options
    this.reportLimits = createLimitReporter(log, this.#metrics)
    this.#stop = new GracefulStop(clock, settings.stopGraceMs)
    this.#memory = createMemoryAccount(settings.memoryMb)
    const sockets = new SocketShares(settings, this.#configuration)
    this.#hello = createHello(settings, random)
    this.#discovery = discoveryDefinition.createDb({ heartbeatPeriodMs: settings.heartbeatPeriodMs })
    this.#placement = placementDefinition.createDb({
      ownDataCentre: settings.dataCentre,
      ownIp: settings.ip,
      remotePenaltyRatio: REMOTE_PENALTY_RATIO,
      remotePathMs: REMOTE_PATH_MS
    })
    this.#fleetRetryBudget = fleetRetryBudgetDefinition.createDb(settings.fleetRetryBudget, clock.monotonicMs())
    this.#proof = settings.revocation === null
      ? null
      : new ConfigurationProofTask({
        clock,
        random,
        log,
        boundMs: settings.revocation.boundMs,
        configurationVersion: () => this.configurationVersion,
        sendTo: (ip, text) => this.#sendTo(ip, text)
      })
    this.#spreadTask = new SpreadTask({
      own: { ip: settings.ip, dataCentre: settings.dataCentre },
      incarnation: this.#hello.incarnation,
      peerMesh: () => this.#peerMesh,
      peerServer: () => this.#peerServer,
      onNotice: (text, fromIp, hopsCount) => this.#publishedState.receiveNotice(text, fromIp, hopsCount)
    })
    this.#peerMesh = new PeerMesh({
      ownIp: settings.ip,
      peerPort: settings.peerListen.port,
      clock,
      log,
      hello: this.#hello,
      memory: this.#memory,
      onLimitExceeded: this.reportLimits(LimitedPeer.Node),
      onUnresponsive: (ip, isUnresponsive) => {
        const servers = this.#serversAt(ip)
        for (const server of servers) placementDefinition.setUnresponsive(this.#placement, server, isUnresponsive)
      },
      onNotice: (text, fromIp) => this.#publishedState.receiveNotice(text, fromIp, 1),
      onSpreadCopy: (copy, fromIp) => this.#spreadTask.receive(copy, fromIp),
      onConnected: (ip, isNewProcess) => this.#onPeerConnected(ip, isNewProcess)
    })
    this.#allotmentTask = new AllotmentTask({
      clock,
      random,
      own: { ip: settings.ip, dataCentre: settings.dataCentre },
      quota: settings.quota,
      metrics: this.#metrics,
      members: () => discoveryDefinition.usedServers(this.#discovery),
      isUsable: ip => this.#peerMesh.isUsable(ip),
      sendTo: (ip, text) => {
        if (!this.#peerServer.sendNotice(ip, text)) this.#peerMesh.connectAndSendNotice(ip, text)
      }
    })
    this.#crashGuard = new CrashGuard({
      clock,
      log,
      onCrash: fingerprints => this.#spreadTask.publish(encodeNotice({ method: 'crash_suspects', fingerprints }))
    })
    this.#executor = new Executor({
      clock,
      serviceName: settings.serviceName,
      pool: createBackendPool(settings, clock, sockets, {
        memory: this.#memory,
        onLimitExceeded: this.reportLimits(LimitedPeer.BackendServer),
        onForeignAnswer: createForeignAnswerReporter(log, this.#metrics)
      }),
      dialect: options.backendDialect,
      slots: this.#slots,
      fleetRetryBudget: this.#fleetRetryBudget,
      crashGuard: this.#crashGuard,
      log,
      metrics: this.#metrics,
      reportsRefusedSends: () => (this.#configuration.current?.workspaces.size ?? 0) > 0
    })
    this.#entryTask = new EntryTask({
      clock,
      random,
      log,
      dialect: options.callerDialect,
      configuration: this.#configuration,
      identity: this.#identity,
      discovery: this.#discovery,
      placement: this.#placement,
      fleetRetryBudget: this.#fleetRetryBudget,
      chainAdmission: this.#chainAdmission,
      proof: this.#proof,
      metrics: this.#metrics,
      allotment: this.#allotmentTask,
      mayAccept: timeoutMs => this.#stop.mayAccept(timeoutMs),
      answerByMs: () => this.#stop.answerByMs,
      runningCall: requestId => this.#executor.runningById.get(requestId),
      dispatch: (server, call, listener) => this.#dispatch(server, call, listener)
    })
    this.#peerServer = new PeerServer({
      host: settings.peerListen.ip,
      port: settings.peerListen.port,
      clock,
      hello: this.#hello,
      memory: this.#memory,
      connectionsMaxCount: sockets.peersMaxCount,
      onLimitExceeded: this.reportLimits(LimitedPeer.Node),
      dispatch: (call, listener) => this.#executor.submit(call, listener),
      createReport: () => this.#executor.createReport(),
      onNotice: (text, fromIp) => this.#publishedState.receiveNotice(text, fromIp, 1),
      onSpreadCopy: (copy, fromIp) => this.#spreadTask.receive(copy, fromIp),
      onPeerConnected: hello => {
        this.#peerMesh.connectWithoutDelay(hello.ip)
        this.#announceTo(hello.ip)
      }
    })
    this.#callerServer = createCallerServer(options, this.#configuration, {
      memory: this.#memory,
      connectionsMaxCount: () => {
        return sockets.callersMaxCount(this.#peerServer.connectionsCount + this.#peerMesh.openLinksCount)
      },
      onRequest: request => this.#entryTask.receive(request),
      onLimitExceeded: this.reportLimits(LimitedPeer.Caller)
    })
    this.#operatorServers = createOperatorServers(settings, {
      clock, memory: this.#memory, onLimitExceeded: this.reportLimits(LimitedPeer.Operator)
    }, () => this.isReady, () => this.#metrics.renderText())
    memoryAccountDefinition.addHolder(this.#memory, this.#executor.options.pool)
    registerNodeGauges(this.#metrics, {
      chainAdmission: this.#chainAdmission,
      clock,
      configuration: this.#configuration,
      discovery: this.#discovery,
      placement: this.#placement,
      slots: this.#slots,
      proofAgeMs: () => Math.round(this.#proof?.ageMs ?? NaN),
      openLinksCount: () => this.#peerMesh.openLinksCount,
      openRequestsCount: () => this.#entryTask.openCount,
      callerConnectionsCount: () => this.#callerServer.connectionsCount,
      memory: this.#memory
    })
    this.#publishedState = new PublishedStateTask({
      clock,
      random,
      log,
      store: options.store,
      ownLocation: { ip: settings.ip, dataCentre: settings.dataCentre },
      configuration: this.#configuration,
      discovery: this.#discovery,
      proof: this.#proof,
      sendTo: (ip, text) => this.#sendTo(ip, text),
      sendToAll: text => this.#spreadTask.publish(text),
      onConfiguration: ({ workspaces }) => {
        identityDefinition.setWorkspaces(this.#identity, workspaces)
        this.#allotmentTask.setWorkspaces(workspaces)
      },
      onAllotment: (notice, fromIp) => this.#allotmentTask.receiveNotice(notice, fromIp),
      onListEvents: events => this.#applyListEvents(events),
      onLeaving: ip => this.#markLeaving(ip),
      onStarted: ip => this.#clearLeaving(ip),
      onCrashSuspects: fingerprints => this.#crashGuard.recordCrash(fingerprints),
      onQuarantined: hints => this.#crashGuard.addHints(hints)
    })
  }

  async start (): Promise<void> {
    const { settings, log } = this.#options
    this.#publishedState.start()
    await Promise.all([this.#callerServer, this.#peerServer, ...this.#operatorServers].map(server => server.listen()))
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_PERIOD_MS)
    log.event('started', {
      node: settings.nodeName,
      service: settings.serviceName,
      data_centre: settings.dataCentre,
      incarnation: this.#hello.incarnation
    })
  }

  /** Starts a graceful stop, which lets open requests finish. */
  stop (): void {
    if (!this.#stop.begin()) return
    this.#options.log.event('stopping', { open: this.#entryTask.openCount, running: this.#executor.openExecutions.size })
    this.#callerServer.markStopping()
    this.#executor.stopAccepting()
    this.#spreadTask.publish(encodeNotice({ method: 'leaving', ip: this.#options.settings.ip }))
    this.#markLeaving(this.#options.settings.ip)
  }

  #sweep (): void {
    this.#executor.sweep()
    memoryAccountDefinition.sweep(this.#memory)
    this.#crashGuard.expireQuarantines()
    this.#publishedState.expireGraces()
    this.#proof?.sweep()
    this.#peerMesh.checkLiveness()
    if (this.#stop.isStopping) this.#continueStop()
  }

  /** Closes the caller server once callers have left, and ends the node once its calls are done or time runs out. */
  #continueStop (): void {
    const { log, onStopped } = this.#options
    const isBusy = this.#entryTask.openCount > 0 || this.#executor.openExecutions.size > 0 ||
      this.#callerServer.hasUnsentAnswers || this.#callerServer.isReceiving || this.#peerServer.hasUnsentResults
    const phase = this.#stop.phase(isBusy, this.#entryTask.lastReceivedAtMs)
    if (phase === StopPhase.Accepting) return
    this.#callerServer.close()
    if (phase === StopPhase.Closing) return
    log.event('stopped', { after_ms: Math.round(this.#stop.elapsedMs), open: this.#entryTask.openCount })
    this.#peerServer.close()
    this.#callerServer.resetUnsentAnswers()
    log.flush()
    onStopped()
  }

  /**
   * Whether the node is ready for requests: it has a configuration and a server list, and is not stopping. The first
   * read may be seconds old, so the list must have been confirmed by a later read or by a peer. Where strict revocation
   * is demanded, it must be able to accept keys, so that callers move to other VMs.
   */
  get isReady (): boolean {
    if (this.#proof?.isProven === false) return false
    return !this.#stop.isStopping && this.#configuration.current !== null && this.#discovery.newestReadAtMs > -Infinity
  }

  /** Number of backend servers that this node uses. */
  get serversCount (): number {
    return discoveryDefinition.usedServersCount(this.#discovery)
  }

  /** Version of the configuration in force, or 0. */
  get configurationVersion (): number {
    return this.#configuration.current?.version ?? 0
  }

  /** Ends the node at once without answering open requests, as a crash does. */
  abort (): void {
    if (this.#sweepTimer !== null) clearInterval(this.#sweepTimer)
    this.#publishedState.stop()
    this.#allotmentTask.stop()
    this.#peerMesh.close()
    this.#peerServer.abort()
    this.#executor.options.pool.closeAll()
    for (const server of [this.#callerServer, ...this.#operatorServers]) {
      server.close()
      server.destroyAllConnections()
    }
  }

  #dispatch (server: ListedServer, call: DispatchedCall, listener: DispatchListener): DispatchHandle {
    if (server.ip === this.#options.settings.ip) return this.#executor.submit(call, listener)
    return this.#peerMesh.dispatch(server.ip, call, listener)
  }

  /**
   * Handles a handshake on a link to another node. If that node's former process was stopping, all nodes are told
   * that it accepts work again: its parents in the trees notice the new process first.
   */
  #onPeerConnected (ip: string, isNewProcess: boolean): void {
    if (isNewProcess && this.#isMarkedLeaving(ip)) {
      this.#clearLeaving(ip)
      this.#spreadTask.publish(encodeNotice({ method: 'started', ip }))
    }
    this.#announceTo(ip)
  }

  /** Tells a node that has just connected what its process cannot know if it has just started. */
  #announceTo (ip: string): void {
    this.#publishedState.announceTo(ip)
    const hints = this.#crashGuard.listQuarantined()
    if (hints.length > 0) this.#sendTo(ip, encodeNotice({ method: 'quarantined', hints }))
  }

  /** Sends a notice. There may be no link to a node that has connected, so its incoming connection is preferred. */
  #sendTo (ip: string, text: string): void {
    if (!this.#peerServer.sendNotice(ip, text)) this.#peerMesh.sendNotice(ip, text)
  }

  #isMarkedLeaving (ip: string): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    return this.#serversAt(ip).some(server => placementDefinition.isMarkedLeaving(this.#placement, server, nowMs))
  }

  #markLeaving (ip: string): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const server of this.#serversAt(ip)) placementDefinition.markLeaving(this.#placement, server, nowMs)
  }

  #clearLeaving (ip: string): void {
    for (const server of this.#serversAt(ip)) placementDefinition.clearLeaving(this.#placement, server)
  }

  #serversAt (ip: string): ListedServer[] {
    return [...discoveryDefinition.usedServers(this.#discovery)].filter(server => server.ip === ip)
  }

  #applyListEvents (events: readonly ListEvent[]): void {
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
      if (kind === 'left' || kind === 'replaced') placementDefinition.removeServer(this.#placement, server.serverId)
      if (kind !== 'left' && server.warmingMs > 0) placementDefinition.markWarmingUp(this.#placement, server, nowMs)
    }
    this.#syncOwnServer(nowMs)
    fleetRetryBudgetDefinition.setNodesCount(this.#fleetRetryBudget, this.serversCount)
    this.#allotmentTask.markMembersStale()
    this.#spreadTask.syncMembers(discoveryDefinition.usedServers(this.#discovery))
  }

  /** Applies the list entry of this node's backend server. Without an entry it gets no calls. */
  #syncOwnServer (nowMs: Millis): void {
    const { settings, log } = this.#options
    const server = discoveryDefinition.serverAt(this.#discovery, settings.ip, settings.backend.port)
    const isOwn = server !== undefined && server.serviceName === settings.serviceName
    if (isOwn) {
      slotsDefinition.setSlotsCount(this.#slots, server.slotsCount, nowMs)
      this.#executor.setListedServer(server)
      if (this.#stop.isStopping) placementDefinition.markLeaving(this.#placement, server, nowMs)
    }
    const acceptsWork = isOwn && server.state === ServerState.Ready && this.#executor.acceptsCalls
    if (acceptsWork === this.#slots.acceptsWork) return
    log.event('own_server', {
      accepts_work: acceptsWork, server: server?.serverId ?? 'none', revision: this.#discovery.revision
    })
    slotsDefinition.setAcceptsWork(this.#slots, acceptsWork)
  }
}
