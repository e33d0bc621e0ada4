import { once } from 'node:events'
import { createServer, request as sendRequest } from 'node:http'
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { ManualClock } from '../clock/clock.js'
import { log } from '../log/log.js'
import type { CallServerTimes } from '../node/callServer.js'
import { NodeShell } from '../node/nodeShell.js'
import type { NodeSettings } from '../node/nodeSettings.js'
import { startValueServer, waitUntil } from './valueServer.js'
import type { ValueServer } from './valueServer.js'

export const SERVICE = 'depot-stock'
const DATA_CENTRE = 'tallinn'

const DOCUMENT = `service: ${SERVICE}
team: stock
version: 1
backend: { slots_count: 20, connections_count: 100 }
capacity_calls_per_s: 1000
data_centres: [{ name: ${DATA_CENTRE}, weight_ratio: 1 }]
retry_budget_count: 0
routes:
  - { name: read, method: GET, path_prefix: /stock, importance: high, idempotent: true, deadline_ms: 60000 }
  - { name: head, method: HEAD, path_prefix: /stock, importance: high, idempotent: true, deadline_ms: 60000 }
  - { name: count, method: POST, path_prefix: /stock, importance: normal, idempotent: true, deadline_ms: 60000 }
  - { name: order, method: POST, path_prefix: /orders, importance: vital, idempotent: false, deadline_ms: 60000 }
callers:
  - { name: dispatchers, promised_calls_per_s: 1000, max_importance: high }
default_caller: { promised_calls_per_s: 1000, max_importance: normal }
`

type Handler = (request: IncomingMessage, response: ServerResponse, body: Buffer) => void

/** HTTP backend server whose responses and health status are set by the test. */
export class TestBackend {
  #server: Server = this.#create()
  #address = ''
  readonly #sockets = new Set<Socket>()
  onCall: Handler = (_request, response) => { response.end('whole') }
  health = 'ready'
  /** Headers of the calls received so far, without health checks. */
  readonly receivedHeaders: IncomingHttpHeaders[] = []

  get address (): string {
    return this.#address
  }

  async start (): Promise<void> {
    const port = this.#address === '' ? 0 : Number(this.#address.split(':')[1])
    this.#server = this.#create()
    this.#server.listen(port, '127.0.0.2')
    await once(this.#server, 'listening')
    this.#address = `127.0.0.2:${(this.#server.address() as AddressInfo).port}`
  }

  /** Stops the server and resets all its connections, as happens when its process is killed. */
  async kill (): Promise<void> {
    const closed = once(this.#server, 'close')
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    await closed
  }

  #create (): Server {
    const server = createServer((request, response) => {
      if (request.url === '/health') {
        response.end(JSON.stringify({ status: this.health }))
        return
      }
      this.receivedHeaders.push(request.headers)
      const callId = request.headers['ragwortspur-call']
      if (callId !== undefined) response.setHeader('ragwortspur-call', callId)
      const chunks: Buffer[] = []
      request.on('data', (chunk: Buffer) => chunks.push(chunk))
      request.on('end', () => this.onCall(request, response, Buffer.concat(chunks)))
    })
    server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.on('error', () => {}).on('close', () => this.#sockets.delete(socket))
    })
    return server
  }
}

type ConnectionLimits = Partial<Pick<NodeSettings, 'connectionsMax' | 'backendConnectionsMax' | 'memoryMb'>>

/** Nodes with one backend server each. They use real loopback sockets and a clock that only the test advances. */
export class TestNodeCluster {
  readonly clock = new ManualClock(1_000)
  readonly nodes: NodeShell[] = []
  readonly backends: TestBackend[] = []
  readonly records: string[] = []
  #platform: ValueServer | null = null

  /** Starts the given number of nodes, each with its backend server, and waits until all of them serve calls. */
  async start (nodesCount: number, times: Partial<CallServerTimes> = {}, limits: ConnectionLimits = {}): Promise<void> {
    log.level = 'silent'
    this.#platform = await startValueServer({ pathPrefix: '/v1/values/', valueOf: () => undefined })
    for (let index = 0; index < nodesCount; index++) await this.#startNode(index, times, limits)
    this.publish()
    for (const node of this.nodes) await this.#waitUntilServing(node)
  }

  async stop (): Promise<void> {
    await Promise.all(this.nodes.splice(0).map(async node => await node.stop()))
    await Promise.all(this.backends.splice(0).map(async backend => await backend.kill()))
    await this.#platform?.stop()
  }

  /** Passes the catalogue, the document and a VM list of `listedNodes` to all nodes. */
  publish (revision = 1, listedNodes: readonly NodeShell[] = this.nodes): void {
    const vms = listedNodes.map(node => ({
      vm_id: `vm-${this.nodes.indexOf(node)}`,
      service: SERVICE,
      data_centre: DATA_CENTRE,
      call_address: node.callAddress,
      control_address: '127.0.0.1:9',
      state: 'live'
    }))
    const values = [
      { key: 'catalogue', revision: 1, text: JSON.stringify({ services: [SERVICE], data_centres: [DATA_CENTRE] }) },
      { key: `documents/${SERVICE}`, revision: 1, text: DOCUMENT },
      { key: `vms/${DATA_CENTRE}`, revision, text: JSON.stringify({ vms }) }
    ]
    for (const node of this.nodes) for (const value of values) node.emit({ kind: 'value_received', value })
  }

  async #startNode (index: number, times: Partial<CallServerTimes>, limits: ConnectionLimits): Promise<void> {
    const backend = new TestBackend()
    await backend.start()
    this.backends.push(backend)
    const node = new NodeShell({
      nodeId: `vm-${index}`,
      service: SERVICE,
      dataCentre: DATA_CENTRE,
      callAddress: '127.0.0.1:0',
      controlAddress: '127.0.0.1:0',
      operatorAddress: '127.0.0.1:0',
      backendAddress: backend.address,
      platformAddress: `127.0.0.1:${this.#platform?.port ?? 0}`,
      peers: [],
      control: 'on',
      without: [],
      connectionsMax: 100,
      backendConnectionsMax: 50,
      memoryMb: 1_024,
      stopTimeoutMs: 30_000,
      ...limits
    }, {
      clock: this.clock,
      times,
      records: { write: line => { this.records.push(line) }, close: async () => {} }
    })
    await node.start()
    this.nodes.push(node)
  }

  async #waitUntilServing (node: NodeShell): Promise<void> {
    while ((await call(node)).status !== 200) await new Promise(resolve => { setTimeout(resolve, 5) })
  }
}

export interface CallOptions {
  readonly method?: string
  readonly path?: string
  readonly headers?: Record<string, string>
  readonly body?: string | Buffer
  /** Local address that the connection is opened from. */
  readonly from?: string
  readonly signal?: AbortSignal
}

export interface TestAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly text: string
  readonly reason: string
}

/** Sends one call over a new connection and returns the whole response. */
export async function call (node: NodeShell, options: CallOptions = {}): Promise<TestAnswer> {
  const { method = 'GET', path = `/${SERVICE}/stock`, headers = {}, body, from = '127.0.0.1', signal } = options
  const [host, port] = node.callAddress.split(':')
  const request = sendRequest({
    host,
    port,
    method,
    path,
    localAddress: from,
    agent: false,
    signal,
    headers: { 'ragwortspur-caller': 'dispatchers', ...headers }
  })
  request.on('error', () => {})
  request.end(body)
  const [response] = await once(request, 'response') as [IncomingMessage]
  const chunks: Buffer[] = []
  for await (const chunk of response) chunks.push(chunk as Buffer)
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    text: Buffer.concat(chunks).toString(),
    reason: String(response.headers['ragwortspur-reason'] ?? '')
  }
}

export interface RawConnection {
  readonly socket: Socket
  /** Returns all that the node has sent so far. */
  read (): string
  /** Waits until the connection is closed and returns all that the node sent. */
  readUntilClosed (): Promise<string>
}

/** Opens a TCP connection to a node for sending raw bytes, such as malformed requests. */
export function openRawConnection (node: NodeShell, text = ''): RawConnection {
  const [host, port] = node.callAddress.split(':')
  const socket = connect({ host: host!, port: Number(port) })
  let received = ''
  let closed = false
  socket.on('data', data => { received += String(data) })
  socket.on('error', () => {}).on('close', () => { closed = true })
  socket.write(text)
  return {
    socket,
    read: () => received,
    readUntilClosed: async () => {
      await waitUntil(() => closed)
      return received
    }
  }
}
