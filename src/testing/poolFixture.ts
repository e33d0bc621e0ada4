import { createServer, type Server, type Socket } from 'node:net'
import { systemClock } from '../clock/clock.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { AnswerMatch, ExchangePool, type ExchangeRequest, type ExchangeResult } from '../http/exchangePool.js'
import type { MessageLimit } from '../http/messageLimits.js'
import type { MessageHead } from '../http/messageParser.js'
import { headerValue } from '../http/messageText.js'

const MIB = 1024 * 1024

/** Server that handles each connection with a function, and a pool of connections to it. */
export class PoolFixture {
  readonly limits: MessageLimit[] = []
  readonly foreignAnswers: AnswerMatch[] = []
  connectionsCount = 0
  connectionsMaxCount = 100
  /** Called for each connection that is accepted, before anything is read from it. */
  onConnection: (socket: Socket) => void = () => {}
  pool!: ExchangePool
  readonly memory = memoryAccountDefinition.createDb({ sideBytes: 12 * MIB, connectionsBytes: MIB })
  readonly #sockets = new Set<Socket>()
  readonly #server: Server

  constructor (onRequest: (socket: Socket, text: string, number: number) => void | Promise<void>) {
    this.#server = createServer({ allowHalfOpen: true }, socket => {
      this.connectionsCount += 1
      let number = 0
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('data', chunk => { void onRequest(socket, chunk.toString('latin1'), number++) })
      socket.on('end', () => socket.end())
      this.onConnection(socket)
    })
  }

  async start (): Promise<this> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    const { port } = this.#server.address() as { port: number }
    this.pool = new ExchangePool({
      host: '127.0.0.1',
      port,
      clock: systemClock,
      connectTimeoutMs: 500,
      idleMaxMs: 5_000,
      answerMaxBytes: 4 * MIB,
      memory: this.memory,
      connectionsMaxCount: () => this.connectionsMaxCount,
      onLimitExceeded: limit => { this.limits.push(limit) },
      onForeignAnswer: match => { this.foreignAnswers.push(match) }
    })
    memoryAccountDefinition.addHolder(this.memory, this.pool)
    return this
  }

  send (id = 'a', options: Partial<ExchangeRequest> = {}): Promise<ExchangeResult> {
    return new Promise(resolve => {
      this.pool.send({
        bytes: Buffer.from(`GET /${id} HTTP/1.1\r\n\r\n`),
        isHead: false,
        requestId: id,
        matchAnswer: (head: MessageHead) => {
          const echoedId = headerValue(head.headers, 'id')
          if (echoedId === undefined) return AnswerMatch.Unidentified
          return echoedId === id ? AnswerMatch.Own : AnswerMatch.OtherRequest
        },
        onResult: resolve,
        ...options
      })
    })
  }

  close (): void {
    this.pool.closeAll()
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }
}
