import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { MemoryShare, type MemoryHolder } from '../core/memoryAccount/memoryAccountTypes.js'
import { joinBody } from '../http/messageBody.js'
import { systemClock } from '../clock/clock.js'
import { Relay, RelayMode, RelayScope } from '../standins/relay.js'
import { UnknownOutcomeReason, type DispatchedCall, type DispatchHandle, type DispatchListener, type DispatchResult } from './meshTypes.js'
import { PeerLink } from './peerLink.js'
import { PeerServer } from './peerServer.js'

const HELLO = { ip: '127.0.0.1', dataCentre: 'tartu', serviceName: 'depot', acceptsParts: true }
const LONG_BYTES = 3_000_000
const REPORT = {
  load: { runningCount: 1, queuedCount: 0, limitCount: 10, acceptsWork: true, paceRatio: null }, usage: [], arrivals: null, signals: { kind: 'none' as const }
}

function createCall (requestId: string): DispatchedCall {
  return {
    serviceName: 'depot',
    serverId: 's1',
    requestId,
    method: 'POST',
    target: '/x',
    headerText: '',
    body: Buffer.from('body'),
    remainingMs: 5_000,
    queueWaitMaxMs: 1_000,
    rank: 1,
    mayRepeat: false,
    knownLimitPerS: null,
    workspaceName: null,
    traceContext: { rootId: requestId, rootRoute: 'r', rootImportanceRank: 1, depth: 0, isRetry: false }
  }
}

const ANSWER: DispatchResult = {
  kind: 'answered',
  statusCode: 200,
  statusText: 'OK',
  headerText: '',
  body: Buffer.from('done'),
  hasLength: true,
  servedMs: 1
}

const MEMORY_LIMITS = { sideBytes: 2 * LONG_BYTES, connectionsBytes: LONG_BYTES }

/** A peer server whose calls end when the test says so, and a link to it through a relay that can inject faults. */
class PeerLinkHarness {
  readonly dispatched: Array<{ call: DispatchedCall, listener: DispatchListener, isCancelled: boolean }> = []
  readonly ended: Array<{ id: string, result: DispatchResult }> = []
  readonly unresponsiveChanges: boolean[] = []
  readonly linkMemory = memoryAccountDefinition.createDb(MEMORY_LIMITS)
  readonly serverMemory = memoryAccountDefinition.createDb(MEMORY_LIMITS)
  linkHeldBytes = 0
  /** False for nodes of older builds. */
  acceptsParts = true
  relay!: Relay
  server!: PeerServer
  link!: PeerLink
  #serverPort = 0
  #lastCallNumber = 0
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
      hello: { ...HELLO, acceptsParts: this.acceptsParts, incarnation: 'client-1' },
      memory: this.linkMemory,
      onHeldBytes: addedBytes => { this.linkHeldBytes += addedBytes },
      onLimitExceeded: () => {},
      onUnresponsive: isUnresponsive => this.unresponsiveChanges.push(isUnresponsive),
      nextCallNumber: () => ++this.#lastCallNumber,
      onNotice: () => {},
      onSpreadCopy: () => {},
      onConnected: () => {}
    })
    this.#checkTimer = setInterval(() => this.link.checkLiveness(), 50)
  }

  async startServer (incarnation: string): Promise<void> {
    this.server = new PeerServer({
      host: '127.0.0.1',
      port: this.#serverPort,
      clock: systemClock,
      hello: { ...HELLO, acceptsParts: this.acceptsParts, incarnation },
      memory: this.serverMemory,
      connectionsMaxCount: 10,
      onLimitExceeded: () => {},
      dispatch: (call, listener): DispatchHandle => {
        const entry = { call, listener, isCancelled: false }
        this.dispatched.push(entry)
        return { cancel: () => { entry.isCancelled = true } }
      },
      createReport: () => REPORT,
      onNotice: () => {},
      onSpreadCopy: () => {},
      onPeerConnected: () => {}
    })
    this.#serverPort = await this.server.listen()
  }

  dispatch (id: string, body?: Buffer): DispatchHandle {
    return this.link.dispatch({ ...createCall(id), ...(body === undefined ? {} : { body }) }, {
      onResult: result => this.ended.push({ id, result }),
      onUnresponsive: () => {}
    })
  }

  answerCall (index: number, result: DispatchResult = ANSWER): void {
    this.dispatched[index]!.listener.onResult(result, REPORT)
  }

  async until (condition: () => boolean, timeoutMs = 3_000): Promise<void> {
    const endAtMs = performance.now() + timeoutMs
    while (!condition()) {
      if (performance.now() > endAtMs) throw new Error(`condition not met in time, results so far: ${JSON.stringify(this.ended)}`)
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

let harness: PeerLinkHarness

beforeEach(async () => {
  harness = new PeerLinkHarness()
  await harness.start()
})

afterEach(() => harness.close())

describe('calls between two nodes', () => {
  test('a running call survives a connection reset and is not run twice', async () => {
    harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    harness.relay.applyControl({ mode: RelayMode.Cut, scope: RelayScope.Existing })
    await new Promise(resolve => setTimeout(resolve, 100))
    harness.answerCall(0)
    await harness.until(() => harness.ended.length === 1)
    expect(harness.ended).toEqual([{ id: 'a', result: expect.objectContaining({ kind: 'answered', statusCode: 200 }) }])
    expect(harness.dispatched).toHaveLength(1)
  })

  test('an answer lost with its connection is sent again on the next one', async () => {
    harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    harness.relay.applyControl({ mode: RelayMode.Silence, scope: RelayScope.Existing })
    harness.answerCall(0)
    await harness.until(() => harness.ended.length === 1)
    expect(harness.ended[0]!.result.kind).toBe('answered')
    expect(harness.unresponsiveChanges).toEqual([true, false])
  })

  test('a call that the peer never received is sent again exactly once', async () => {
    harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    harness.relay.applyControl({ mode: RelayMode.Silence, scope: RelayScope.Existing })
    harness.dispatch('b')
    await harness.until(() => harness.dispatched.length === 2)
    harness.answerCall(0)
    harness.answerCall(1)
    await harness.until(() => harness.ended.length === 2)
    expect(harness.dispatched.map(entry => entry.call.requestId)).toEqual(['a', 'b'])
  })

  test('calls to a restarted peer process end with an unknown outcome and are not sent to the new process', async () => {
    harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    harness.server.abort()
    await harness.startServer('server-2')
    await harness.until(() => harness.ended.length === 1)
    expect(harness.ended[0]!.result).toEqual({ kind: 'unknown', reason: UnknownOutcomeReason.PeerLost })
    expect(harness.dispatched).toHaveLength(1)
  })

  test('a call whose result expired during a long disconnect ends as unknown and not as never received', async () => {
    harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    harness.relay.applyControl({ mode: RelayMode.Silence, scope: RelayScope.All })
    harness.answerCall(0)
    await new Promise(resolve => setTimeout(resolve, 2_500))
    harness.relay.applyControl({ mode: RelayMode.Pass, scope: RelayScope.All })
    await harness.until(() => harness.ended.length === 1)
    expect(harness.ended[0]!.result).toEqual({ kind: 'unknown', reason: UnknownOutcomeReason.PeerLost })
    expect(harness.dispatched).toHaveLength(1)
  }, 10_000)

  test('a call to a node that does not run ends as not run', async () => {
    harness.server.abort()
    harness.dispatch('a')
    await harness.until(() => harness.ended.length === 1)
    expect(harness.ended[0]!.result).toMatchObject({ kind: 'not_run', reachedBackend: false })
  })

  test('cancelling a call cancels it at the peer', async () => {
    const handle = harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    handle.cancel()
    await harness.until(() => harness.dispatched[0]!.isCancelled)
    expect(harness.ended).toEqual([])
  })

  test('running calls of a peer that does not reconnect are cancelled', async () => {
    harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    harness.relay.applyControl({ mode: RelayMode.Cut, scope: RelayScope.All })
    await harness.until(() => harness.dispatched[0]!.isCancelled)
    expect(harness.ended).toEqual([])
  })
})

describe('long bodies', () => {
  /** Takes all memory of a side. */
  function createBlocker (share: MemoryShare): MemoryHolder & { heldBytes: number } {
    return { share, heldBytes: LONG_BYTES * 2, shed: () => false, shedStalled: () => false }
  }

  const LONG_BODY = Buffer.alloc(LONG_BYTES, 'long ')
  const LONG_ANSWER: DispatchResult = { ...ANSWER, body: LONG_BODY }

  function endedBodies (): Buffer[] {
    return harness.ended.map(({ result }) => Buffer.from(result.kind === 'answered' ? joinBody(result.body) : []))
  }

  test('arrive whole in both directions, and nothing stays held', async () => {
    harness.dispatch('a', LONG_BODY)
    await harness.until(() => harness.dispatched.length === 1)
    const { body, remainingMs } = harness.dispatched[0]!.call
    expect(LONG_BODY.equals(joinBody(body))).toBe(true)
    expect(remainingMs).toBeLessThanOrEqual(5_000)
    harness.answerCall(0, LONG_ANSWER)
    await harness.until(() => harness.ended.length === 1)
    expect(LONG_BODY.equals(endedBodies()[0]!)).toBe(true)
    expect(harness.linkHeldBytes).toBe(0)
    expect(memoryAccountDefinition.shareBytes(harness.serverMemory, MemoryShare.PeerCalls)).toBe(0)
  })

  test('wait until there is memory for them', async () => {
    const blocker = createBlocker(MemoryShare.CallerAnswers)
    memoryAccountDefinition.addHolder(harness.linkMemory, blocker)
    harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    harness.answerCall(0, LONG_ANSWER)
    await harness.until(() => harness.linkMemory.waiting.size === 1)
    blocker.heldBytes = 0
    memoryAccountDefinition.sweep(harness.linkMemory)
    await harness.until(() => harness.ended.length === 1)
    expect(endedBodies()[0]!.length).toBe(LONG_BYTES)
  })

  test('a cancelled call neither waits for memory nor stays held at the peer', async () => {
    const blocker = createBlocker(MemoryShare.CallerAnswers)
    memoryAccountDefinition.addHolder(harness.linkMemory, blocker)
    const handle = harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    harness.answerCall(0, LONG_ANSWER)
    await harness.until(() => harness.linkMemory.waiting.size === 1)
    handle.cancel()
    expect(harness.linkMemory.waiting.size).toBe(0)
    const heldBytes = (): number => memoryAccountDefinition.shareBytes(harness.serverMemory, MemoryShare.ServerAnswers)
    await harness.until(() => heldBytes() === 0)
  })

  test('a call whose body finds no memory at the peer has not run', async () => {
    const blocker = createBlocker(MemoryShare.PeerCalls)
    memoryAccountDefinition.addHolder(harness.serverMemory, blocker)
    harness.dispatch('a', LONG_BODY)
    await harness.until(() => harness.ended.length === 1)
    expect(harness.ended[0]!.result).toMatchObject({ kind: 'not_run', reason: 'memory_full' })
    expect(harness.dispatched).toEqual([])
  })

  test('an answer that is too long for this node has an unknown outcome', async () => {
    harness.dispatch('a')
    await harness.until(() => harness.dispatched.length === 1)
    harness.answerCall(0, { ...ANSWER, body: Buffer.alloc(LONG_BYTES * 2 + 1) })
    await harness.until(() => harness.ended.length === 1)
    expect(harness.ended[0]!.result).toMatchObject({ kind: 'unknown', reason: 'answer_too_long' })
  })

  test('arrive whole and once after the connection broke in the middle', async () => {
    harness.dispatch('a', LONG_BODY)
    harness.relay.applyControl({ mode: RelayMode.Cut, scope: RelayScope.Existing })
    await harness.until(() => harness.dispatched.length === 1)
    harness.answerCall(0, LONG_ANSWER)
    setImmediate(() => harness.relay.applyControl({ mode: RelayMode.Cut, scope: RelayScope.Existing }))
    await harness.until(() => harness.ended.length === 1)
    expect(LONG_BODY.equals(endedBodies()[0]!)).toBe(true)
    expect(harness.dispatched.length).toBe(1)
    expect(harness.linkHeldBytes).toBe(0)
  })

  test('travel in whole frames between nodes of older builds', async () => {
    harness.close()
    harness = new PeerLinkHarness()
    harness.acceptsParts = false
    await harness.start()
    harness.dispatch('a', LONG_BODY)
    await harness.until(() => harness.dispatched.length === 1)
    expect(LONG_BODY.equals(joinBody(harness.dispatched[0]!.call.body))).toBe(true)
    harness.answerCall(0, LONG_ANSWER)
    await harness.until(() => harness.ended.length === 1)
    expect(LONG_BODY.equals(endedBodies()[0]!)).toBe(true)
    expect(harness.linkHeldBytes).toBe(0)
  })
})
