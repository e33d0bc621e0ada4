import type { IncomingMessage, ServerResponse } from 'node:http'
import { randomUUID } from 'node:crypto'
import { systemClock } from '../clock/clock.js'
import type { Clock } from '../clock/clock.js'
import { documentsDefinition } from '../core/documents/documentsDefinition.js'
import { membershipDefinition } from '../core/membership/membershipDefinition.js'
import { getCall } from '../core/nodeCore/nodeCoreDb.js'
import type { NodeCoreDb } from '../core/nodeCore/nodeCoreDb.js'
import { nodeCoreDefinition } from '../core/nodeCore/nodeCoreDefinition.js'
import type { IncomingCall, NodeCommand, NodeEvent } from '../core/nodeCore/nodeCoreTypes.js'
import { Reason } from '../core/coreTypes.js'
import { assertNever } from '../errors/errors.js'
import { createMemoryAccount } from '../http/bufferCollection.js'
import { NodeHoldings } from './holdings.js'
import { log } from '../log/log.js'
import { BackendLink } from './backendLink.js'
import { CallServer } from './callServer.js'
import type { CallServerTimes } from './callServer.js'
import { readCall } from './callReader.js'
import type { SenderView } from './callReader.js'
import { CallTask } from './callTask.js'
import { ControlTask } from './controlTask.js'
import { settingsWithoutMechanisms } from './mechanisms.js'
import { parseAddress } from './nodeSettings.js'
import type { NodeSettings } from './nodeSettings.js'
import { OperatorServer } from './operatorServer.js'
import { createOperatorView } from './operatorView.js'
import { RecordWriter } from './recordWriter.js'
import type { RecordSink } from './recordWriter.js'
import { refusalAnswer, Reply } from './reply.js'

const TICK_PERIOD_MS = 20
/** The program and its heap, with the young generation that Node.js has without flags. */
const PROCESS_MB = 140
const VALUES_PATH = '/ragwortspur/values/'

export interface NodeShellOptions {
  readonly clock?: Clock
  /** Timeouts of the server for callers. */
  readonly times?: Partial<CallServerTimes>
  /** Receives the call records; standard output by default. */
  readonly records?: RecordSink
}

/** Key in the path of a request for a value, or undefined when its percent-encoding is invalid. */
function valueKeyFromUrl (url: URL): string | undefined {
  try {
    return decodeURIComponent(url.pathname.slice(VALUES_PATH.length))
  } catch {
    return undefined
  }
}

/**
 * One node: runs the core, which does no I/O, and the tasks that carry out its
 * commands. Each task owns its sockets and passes events to the core through
 * `emit`.
 */
export class NodeShell {
  readonly #settings: NodeSettings
  readonly #clock: Clock
  readonly #db: NodeCoreDb
  readonly #backendLink: BackendLink
  readonly #callTask: CallTask
  readonly #controlTask: ControlTask
  readonly #callServer: CallServer
  readonly #operatorServer: OperatorServer
  readonly #recordSink: RecordSink
  readonly #senderView: SenderView
  #tickTimer: NodeJS.Timeout | null = null
  #stopped: Promise<void> | null = null
  #ready = false
  #onStopped: () => void = () => {}

  constructor (settings: NodeSettings, options: NodeShellOptions = {}) {
    this.#settings = settings
    this.#clock = options.clock ?? systemClock
    this.#recordSink = options.records ?? new RecordWriter()
    this.#db = nodeCoreDefinition.createDb({
      nodeId: settings.nodeId,
      incarnation: randomUUID().slice(0, 8),
      serviceName: settings.service,
      dataCentre: settings.dataCentre,
      controlEnabled: settings.control === 'on'
    }, settingsWithoutMechanisms(settings.without), Math.random, this.#readClocks())
    const memory = createMemoryAccount(settings.memoryMb, PROCESS_MB)
    const holdings = new NodeHoldings(memory, this.#clock)
    this.#backendLink = new BackendLink({
      holdings,
      address: settings.backendAddress,
      clock: this.#clock,
      connectionsMaxCount: settings.backendConnectionsMax,
      onStatus: status => this.emit({ kind: 'backend_seen', status }),
      onCrash: () => this.emit({ kind: 'backend_crashed' })
    })
    this.#callTask = new CallTask({
      clock: this.#clock, backend: this.#backendLink, holdings, emit: event => this.emit(event)
    })
    this.#controlTask = new ControlTask({ settings, db: this.#db, clock: this.#clock, emit: event => this.emit(event) })
    this.#senderView = this.#createSenderView()
    this.#callServer = new CallServer({
      ...options.times,
      ...parseAddress(settings.callAddress),
      connectionsMaxCount: settings.connectionsMax,
      clock: this.#clock,
      holdings,
      onCall: (message, body, reply) => this.#receiveCall(message, body, reply),
      onOwnPath: (message, response) => this.#answerOwnPath(message, response)
    })
    const view = createOperatorView({
      db: this.#db, clock: this.#clock, getTraffic: () => this.#controlTask.traffic(), limits: holdings.limits
    })
    const { host, port } = parseAddress(settings.operatorAddress)
    this.#operatorServer = new OperatorServer(host, port, view, this.#clock, holdings.limits)
  }

  /** Address on which calls are accepted; a port 0 in the setting is replaced by the port in use. */
  get callAddress (): string {
    return `${parseAddress(this.#settings.callAddress).host}:${this.#callServer.port}`
  }

  async start (): Promise<void> {
    await this.#controlTask.start()
    await this.#operatorServer.listen()
    await this.#callServer.listen()
    this.#backendLink.start()
    this.#tickTimer = setInterval(() => this.emit({ kind: 'tick' }), TICK_PERIOD_MS)
    log.info({ event: 'node_started', node: this.#settings.nodeId, call_address: this.#settings.callAddress })
  }

  /** Passes an event to the core and runs the commands that it returns. */
  emit (event: NodeEvent): NodeCommand[] {
    const commands = nodeCoreDefinition.handle(this.#db, event, this.#readClocks())
    for (const command of commands) this.#runCommand(command)
    if (!this.#ready && nodeCoreDefinition.isReady(this.#db, this.#clock.wallMs())) this.#markReady()
    return commands
  }

  /** Refuses new calls, waits for open ones, then closes all sockets. Repeated calls return the same promise. */
  stop (): Promise<void> {
    this.#stopped ??= this.#stop()
    return this.#stopped
  }

  async #stop (): Promise<void> {
    log.info({ event: 'node_stopping', open_calls_count: this.#callTask.openCallsCount })
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, this.#settings.stopTimeoutMs)
      this.#onStopped = () => {
        clearTimeout(timer)
        resolve()
      }
      this.emit({ kind: 'stop_requested' })
    })
    if (this.#tickTimer !== null) clearInterval(this.#tickTimer)
    await this.#callServer.close()
    await Promise.all([
      this.#callTask.stop(), this.#backendLink.stop(), this.#controlTask.stop(), this.#operatorServer.close()
    ])
    await this.#recordSink.close()
    log.info({ event: 'node_stopped' })
  }

  #readClocks (): { nowMs: number, wallMs: number } {
    return { nowMs: this.#clock.monotonicMs(), wallMs: this.#clock.wallMs() }
  }

  #markReady (): void {
    this.#ready = true
    log.info({ event: 'node_ready', node: this.#settings.nodeId, service: this.#settings.service })
  }

  #createSenderView (): SenderView {
    const backendHost = parseAddress(this.#settings.backendAddress).host
    return {
      isPeer: (nodeId, remoteIp) => {
        const entry = membershipDefinition.entryOf(this.#db.modules.membership, nodeId)
        return entry !== undefined && parseAddress(entry.callAddress).host === remoteIp
      },
      isBackendServer: remoteIp => remoteIp === backendHost
    }
  }

  #receiveCall (message: IncomingMessage, body: Uint8Array | null, reply: Reply): void {
    readCall(message, body, this.#senderView, this.#settings.service).caseOf({
      Left: reason => reply.send(refusalAnswer(reason)),
      Right: call => this.#openCall(call, message, body, reply)
    })
  }

  #openCall (call: IncomingCall, message: IncomingMessage, body: Uint8Array | null, reply: Reply): void {
    if (this.#callTask.hasCall(call.callId) || getCall(this.#db, call.callId) !== undefined) {
      reply.closeWithoutAnswer()
      return
    }
    this.#callTask.registerCall(call, message, body, reply)
    this.emit({ kind: 'call_received', call })
  }

  #answerOwnPath (message: IncomingMessage, response: ServerResponse): boolean {
    const url = message.url ?? ''
    if (url.startsWith('/ragwortspur/ping')) {
      const callId = message.headers['ragwortspur-call']
      response.writeHead(204, typeof callId === 'string' ? { 'ragwortspur-call': callId } : {}).end()
      return true
    }
    if (!url.startsWith(VALUES_PATH)) return false
    this.#answerValue(new URL(url, 'http://node'), response)
    return true
  }

  #answerValue (url: URL, response: ServerResponse): void {
    const key = valueKeyFromUrl(url)
    if (key === undefined) {
      new Reply(response).send(refusalAnswer(Reason.MalformedCall))
      return
    }
    const value = documentsDefinition.valueOf(this.#db.modules.documents, key)
    if (value === undefined || value.revision <= Number(url.searchParams.get('after') ?? 0)) {
      response.writeHead(204).end()
      return
    }
    const body = JSON.stringify({ key: value.key, revision: value.revision, value: value.text })
    response.writeHead(200, { 'content-type': 'application/json' }).end(body)
  }

  #listedAddresses (): Set<string> {
    const lists = membershipDefinition.lists(this.#db.modules.membership)
    return new Set(lists.flatMap(list => list.entries.map(entry => entry.callAddress)))
  }

  #runCommand (command: NodeCommand): void {
    switch (command.kind) {
      case 'dispatch':
      case 'forward':
        void this.#callTask.sendCall(command)
        return
      case 'answer': return this.#callTask.answerCall(command.callId, command.answer)
      case 'drop': return this.#callTask.dropCall(command.callId)
      case 'abort_send': return this.#callTask.cancelSend(command.callId)
      case 'retry_later':
        setTimeout(() => this.emit({ kind: 'retry_due', callId: command.callId }), command.delayMs)
        return
      case 'record': return this.#recordSink.write(command.line)
      case 'log':
        log.info({ event: command.event, ...command.fields })
        return
      case 'stopped': return this.#onStopped()
      case 'value_offered':
        if (command.result.kind === 'stored') this.#callTask.closeUnlistedPools(this.#listedAddresses())
        return this.#controlTask.runCommand(command)
      case 'lease_request':
      case 'lease_vote':
      case 'quarantine_hint':
      case 'draining_notice':
        return this.#controlTask.runCommand(command)
      default: return assertNever(command)
    }
  }
}
