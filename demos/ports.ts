import { createServer, type Server } from 'node:net'

/** The range ends below the ephemeral ports that operating systems commonly use for outgoing connections. */
const LOWEST_PORT = 10_000
const HIGHEST_PORT = 32_000

async function tryListen (port: number): Promise<Server | undefined> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => { resolve(undefined) })
    server.listen(port, '127.0.0.1', () => { resolve(server) })
  })
}

/**
 * Finds distinct free TCP ports on 127.0.0.1. The ports are chosen in advance
 * because the addresses of processes are published before the processes start.
 *
 * @example
 * const [callPort, operatorPort] = await findFreePorts(2)
 */
export async function findFreePorts (count: number): Promise<number[]> {
  const servers = new Map<number, Server>()
  let port = LOWEST_PORT + Math.floor(Math.random() * (HIGHEST_PORT - LOWEST_PORT))
  while (servers.size < count) {
    const server = await tryListen(port)
    if (server !== undefined) servers.set(port, server)
    port = port + 1 > HIGHEST_PORT ? LOWEST_PORT : port + 1
  }
  await Promise.all([...servers.values()].map(async server => { await new Promise(resolve => server.close(resolve)) }))
  return [...servers.keys()]
}
