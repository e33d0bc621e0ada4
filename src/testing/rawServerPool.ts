import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { systemClock } from '../clock/clock.js'
import { ConnectionPool, type ConnectionPoolOptions } from '../node/connectionPool.js'

/**
 * A server of raw bytes for tests, and a pool of connections to it.
 *
 * @example
 * const pool = await new RawServerPool().start((socket, number) => socket.end(number === 0 ? 'HTTP/1.1 200 OK' : ''))
 */
export class RawServerPool {
  #server: Server | null = null
  #pool: ConnectionPool | null = null
  readonly #sockets = new Set<Socket>()

  /** `onRequest` gets the socket of each piece that is received, and its number on the connection from 0. */
  async start (
    onRequest: (socket: Socket, number: number) => void, options: Partial<ConnectionPoolOptions> = {}
  ): Promise<ConnectionPool> {
    const server = createServer(socket => {
      let number = 0
      this.#sockets.add(socket.on('error', () => {}))
      socket.on('data', () => onRequest(socket, number++))
    })
    this.#server = server
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    this.#pool = new ConnectionPool(`127.0.0.1:${port}`, { clock: systemClock, ...options })
    return this.#pool
  }

  async close (): Promise<void> {
    for (const socket of this.#sockets) socket.destroy()
    this.#server?.close()
    await this.#pool?.close()
  }
}
