import { systemClock } from '../clock/clock.js'
import { Relay, RelayMode, RelayScope } from '../standins/relay.js'
import { LossReason, type PlacedCall, type PlacedHandle, type PlacedListener, type PlacedResult } from './meshTypes.js'
import { PeerLink } from './peerLink.js'
import { PeerServer } from './peerServer.js'

const HELLO = { ip: '127.0.0.1', dataCentre: 'tartu', serviceName: 'depot' }
const REPORT = { load: { runningCount: 1, queuedCount: 0, limitCount: 10, acceptsWork: true }, usage: [] }

function call (requestId: string): PlacedCall {
  return {
    serviceName: 'depot',
    serverId: 's1',
    requestId,
    method: 'POST',
    target: '/x',
    headerText: '',
    body: Buffer.from('body'),
    remainingMs: 5_000,
    waitMaxMs: 1_000,
    rank: 1,
    isIdempotent: false,
    lineage: { rootId: requestId, rootRoute: 'r', rootRank: 1, depth: 0, isRepeat: false }
  }
}

const ANSWER: PlacedResult = {
  kind: 'answered',
  statusCode: 200,
  statusText: 'OK',
  headerText: '',
  body: Buffer.from('done'),
  hasLength: true,
  servedMs: 1
}

/** A node that runs calls when it is told to, and a link to it through a relay that can be broken. */
class LinkWorld {
  readonly placed: Array<{ call: PlacedCall, listener: PlacedListener, isCancelled: boolean }> = []
  readonly ended: Array<{ id: string, result: PlacedResult }> = []
  readonly silences: boolean[] = []
  relay!: Relay
  server!: PeerServer
  link!: PeerLink
  #serverPort = 0
  #checkTimer: NodeJS.Timeout | null = null

  async start (): Promise<void> {
    await this.startServer('server-1')
    this.relay = new Relay({ host: '127.0.0.1', port: this.#serverPort })
    await new Promise<void>(resolve => this.relay.server.listen(0, '127.0.0.1', resolve))
    const { port } = this.relay.server.address() as { port: number }
    this.link = new PeerLink({
      ip: '127.0.0.1',
      port,
      clock: systemClock,
      hello: { ...HELLO, incarnation: 'client-1' },
      onSilent: isSilent => this.silences.push(isSilent),
      onNotice: () => {},
      onUp: () => {}
    })
    this.#checkTimer = setInterval(() => this.link.check(), 50)
  }

  async startServer (incarnation: string): Promise<void> {
    this.server = new PeerServer({
      host: '127.0.0.1',
      port: this.#serverPort,
      clock: systemClock,
      hello: { ...HELLO, incarnation },
      place: (placed, listener): PlacedHandle => {
        const entry = { call: placed, listener, isCancelled: false }
        this.placed.push(entry)
        return { cancel: () => { entry.isCancelled = true } }
      },
      report: () => REPORT,
      onNotice: () => {},
      onPeer: () => {}
    })
    this.#serverPort = await this.server.listen()
  }

  place (id: string): PlacedHandle {
    return this.link.place(call(id), {
      onResult: result => this.ended.push({ id, result }),
      onSilent: () => {}
    })
  }

  answer (at: number): void {
    this.placed[at]!.listener.onResult(ANSWER, REPORT)
  }

  async until (condition: () => boolean, timeoutMs = 3_000): Promise<void> {
    const endAtMs = performance.now() + timeoutMs
    while (!condition()) {
      if (performance.now() > endAtMs) throw new Error(`not in time: ${JSON.stringify(this.ended)}`)
      await new Promise(resolve => setTimeout(resolve, 5))
    }
  }

  close (): void {
    if (this.#checkTimer !== null) clearInterval(this.#checkTimer)
    this.link.close()
    this.server.abort()
    this.relay.close()
  }
}

let world: LinkWorld

beforeEach(async () => {
  world = new LinkWorld()
  await world.start()
})

afterEach(() => world.close())

describe('calls between two nodes', () => {
  test('a reset of the connection loses no running call and runs none twice', async () => {
    world.place('a')
    await world.until(() => world.placed.length === 1)
    world.relay.applyControl({ mode: RelayMode.Cut, scope: RelayScope.Existing })
    await new Promise(resolve => setTimeout(resolve, 100))
    world.answer(0)
    await world.until(() => world.ended.length === 1)
    expect(world.ended).toEqual([{ id: 'a', result: expect.objectContaining({ kind: 'answered', statusCode: 200 }) }])
    expect(world.placed).toHaveLength(1)
  })

  test('an answer that was lost with the connection is sent again', async () => {
    world.place('a')
    await world.until(() => world.placed.length === 1)
    world.relay.applyControl({ mode: RelayMode.Silence, scope: RelayScope.Existing })
    world.answer(0)
    await world.until(() => world.ended.length === 1)
    expect(world.ended[0]!.result.kind).toBe('answered')
    expect(world.silences).toEqual([true, false])
  })

  test('a call that never arrived is sent again, once', async () => {
    world.place('a')
    await world.until(() => world.placed.length === 1)
    world.relay.applyControl({ mode: RelayMode.Silence, scope: RelayScope.Existing })
    world.place('b')
    await world.until(() => world.placed.length === 2)
    world.answer(0)
    world.answer(1)
    await world.until(() => world.ended.length === 2)
    expect(world.placed.map(entry => entry.call.requestId)).toEqual(['a', 'b'])
  })

  test('calls at a process that was replaced end as unknown and are not sent to the next one', async () => {
    world.place('a')
    await world.until(() => world.placed.length === 1)
    world.server.abort()
    await world.startServer('server-2')
    await world.until(() => world.ended.length === 1)
    expect(world.ended[0]!.result).toEqual({ kind: 'unknown', reason: LossReason.PeerLost })
    expect(world.placed).toHaveLength(1)
  })

  test('a sender that was away for so long that its result was dropped hears unknown, not that it never arrived', async () => {
    world.place('a')
    await world.until(() => world.placed.length === 1)
    world.relay.applyControl({ mode: RelayMode.Silence, scope: RelayScope.All })
    world.answer(0)
    await new Promise(resolve => setTimeout(resolve, 2_500))
    world.relay.applyControl({ mode: RelayMode.Pass, scope: RelayScope.All })
    await world.until(() => world.ended.length === 1)
    expect(world.ended[0]!.result).toEqual({ kind: 'unknown', reason: LossReason.PeerLost })
    expect(world.placed).toHaveLength(1)
  }, 10_000)

  test('a call to a node that nobody runs is known not to have run', async () => {
    world.server.abort()
    world.place('a')
    await world.until(() => world.ended.length === 1)
    expect(world.ended[0]!.result).toMatchObject({ kind: 'not_run', reachedBackend: false })
  })

  test('a cancelled call is cancelled at the other node', async () => {
    const handle = world.place('a')
    await world.until(() => world.placed.length === 1)
    handle.cancel()
    await world.until(() => world.placed[0]!.isCancelled)
    expect(world.ended).toEqual([])
  })

  test('a sender that does not come back leaves no work behind', async () => {
    world.place('a')
    await world.until(() => world.placed.length === 1)
    world.relay.applyControl({ mode: RelayMode.Cut, scope: RelayScope.All })
    await world.until(() => world.placed[0]!.isCancelled)
    expect(world.ended).toEqual([])
  })
})
