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
import { log } from '../log/log.js'
import { BackendLink } from './backendLink.js'
import { CallServer } from './callServer.js'
import type { CallServerTimes } from './callServer.js'
import { readCall } from './callReader.js'
import type { SenderView } from './callReader.js'
import { CallTask } from './callTask.js'
import { ControlTask } from './controlTask.js'
import { settingsWithout } from './mechanisms.js'
import { splitAddress } from './nodeSettings.js'
import type { NodeSettings } from './nodeSettings.js'
import { OperatorServer } from './operatorServer.js'
import { createOperatorView } from './operatorView.js'
import { RecordWriter } from './recordWriter.js'
import type { RecordSink } from './recordWriter.js'
import { faultAnswer, Reply } from './reply.js'

const TICK_PERIOD_MS = 20
const VALUES_PATH = '/ragwortspur/values/'

export interface NodeShellOptions {
  readonly clock?: Clock
  /** Time bounds of the caller side. */
  readonly times?: Partial<CallServerTimes>
  /** Takes the records of calls; standard output by default. */
  readonly records?: RecordSink
}

/** Key in the path of a pull, or undefined when it is not encoded properly. */
function keyOf (url: URL): string | undefined {
  try {
    return decodeURIComponent(url.pathname.slice(VALUES_PATH.length))
  } catch {
    return undefined
  }
}

/**
 * One node: the core and the tasks that carry out its commands. Each task owns
 * its sockets and hands events to the core through `emit`.
 */
export class NodeShell {
  readonly #settings: NodeSettings
  readonly #clock: Clock
  readonly #db: NodeCoreDb
  readonly #backend: BackendLink
  readonly #calls: CallTask
  readonly #control: ControlTask
  readonly #callServer: CallServer
  readonly #operatorServer: OperatorServer
  readonly #records: RecordSink
  readonly #senders: SenderView
  #tickTimer: NodeJS.Timeout | null = null
  #stopped: Promise<void> | null = null
  #ready = false
  #onStopped: () => void = () => {}

  constructor (settings: NodeSettings, options: NodeShellOptions = {}) {
    this.#settings = settings
    this.#clock = options.clock ?? systemClock
    this.#records = options.records ?? new RecordWriter()
    this.#db = nodeCoreDefinition.createDb({
      nodeId: settings.nodeId,
      incarnation: randomUUID().slice(0, 8),
      serviceName: settings.service,
      dataCentre: settings.dataCentre,
      controlEnabled: settings.control === 'on'
    }, settingsWithout(settings.without), Math.random, this.#time())
    this.#backend = new BackendLink({
      address: settings.backendAddress,
      clock: this.#clock,
      connectionsMaxCount: settings.backendConnectionsMax,
      onStatus: status => this.emit({ kind: 'backend_seen', status }),
      onCrash: () => this.emit({ kind: 'backend_crashed' })
    })
    this.#calls = new CallTask({ clock: this.#clock, backend: this.#backend, emit: event => this.emit(event) })
    this.#control = new ControlTask({ settings, db: this.#db, clock: this.#clock, emit: event => this.emit(event) })
    this.#senders = this.#createSenderView()
    this.#callServer = new CallServer({
      ...options.times,
      ...splitAddress(settings.callAddress),
      connectionsMaxCount: settings.connectionsMax,
      onCall: (message, body, reply) => this.#receive(message, body, reply),
      onOwnPath: (message, response) => this.#answerOwnPath(message, response)
    })
    const view = createOperatorView({ db: this.#db, clock: this.#clock, traffic: () => this.#control.traffic() })
    const { host, port } = splitAddress(settings.operatorAddress)
    this.#operatorServer = new OperatorServer(host, port, view)
  }

  /** Where calls arrive, with the port that the system chose when the setting has port 0. */
  get callAddress (): string {
    return `${splitAddress(this.#settings.callAddress).host}:${this.#callServer.port}`
  }

  async start (): Promise<void> {
    await this.#control.start()
    await this.#operatorServer.listen()
    await this.#callServer.listen()
    this.#backend.start()
    this.#tickTimer = setInterval(() => this.emit({ kind: 'tick' }), TICK_PERIOD_MS)
    log.info({ event: 'node_started', node: this.#settings.nodeId, call_address: this.#settings.callAddress })
  }

  /** Hands an event to the core and carries out what it decides. */
  emit (event: NodeEvent): NodeCommand[] {
    const commands = nodeCoreDefinition.handle(this.#db, event, this.#time())
    for (const command of commands) this.#run(command)
    if (!this.#ready && nodeCoreDefinition.isReady(this.#db, this.#clock.wallMs())) this.#noteReady()
    return commands
  }

  /** Refuses new calls, waits for open ones, then closes all sockets. Further calls wait for the same end. */
  stop (): Promise<void> {
    this.#stopped ??= this.#stop()
    return this.#stopped
  }

  async #stop (): Promise<void> {
    log.info({ event: 'node_stopping', open_calls_count: this.#calls.openCount })
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
    await Promise.all([this.#calls.stop(), this.#backend.stop(), this.#control.stop(), this.#operatorServer.close()])
    await this.#records.close()
    log.info({ event: 'node_stopped' })
  }

  #time (): { nowMs: number, wallMs: number } {
    return { nowMs: this.#clock.monotonicMs(), wallMs: this.#clock.wallMs() }
  }

  #noteReady (): void {
    this.#ready = true
    log.info({ event: 'node_ready', node: this.#settings.nodeId, service: this.#settings.service })
  }

  #createSenderView (): SenderView {
    const backendHost = splitAddress(this.#settings.backendAddress).host
    return {
      isPeer: (nodeId, remoteIp) => {
        const entry = membershipDefinition.entryOf(this.#db.modules.membership, nodeId)
        return entry !== undefined && splitAddress(entry.callAddress).host === remoteIp
      },
      isBackendServer: remoteIp => remoteIp === backendHost
    }
  }

  #receive (message: IncomingMessage, body: Uint8Array | null, reply: Reply): void {
    readCall(message, body, this.#senders, this.#settings.service).caseOf({
      Left: reason => reply.send(faultAnswer(reason)),
      Right: call => this.#open(call, message, body, reply)
    })
  }

  #open (call: IncomingCall, message: IncomingMessage, body: Uint8Array | null, reply: Reply): void {
    if (this.#calls.has(call.callId) || getCall(this.#db, call.callId) !== undefined) {
      reply.drop()
      return
    }
    this.#calls.open(call, message, body, reply)
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
    const key = keyOf(url)
    if (key === undefined) {
      new Reply(response).send(faultAnswer(Reason.MalformedCall))
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

  #run (command: NodeCommand): void {
    switch (command.kind) {
      case 'dispatch':
      case 'forward':
        void this.#calls.send(command)
        return
      case 'answer': return this.#calls.answer(command.callId, command.answer)
      case 'drop': return this.#calls.drop(command.callId)
      case 'abort_send': return this.#calls.abort(command.callId)
      case 'retry_later':
        setTimeout(() => this.emit({ kind: 'retry_due', callId: command.callId }), command.delayMs)
        return
      case 'record': return this.#records.write(command.line)
      case 'log':
        log.info({ event: command.event, ...command.fields })
        return
      case 'stopped': return this.#onStopped()
      case 'value_offered':
        if (command.result.kind === 'stored') this.#calls.keepOnly(this.#listedAddresses())
        return this.#control.run(command)
      case 'lease_request':
      case 'lease_vote':
      case 'quarantine_hint':
      case 'draining_notice':
        return this.#control.run(command)
      default: return assertNever(command)
    }
  }
}
