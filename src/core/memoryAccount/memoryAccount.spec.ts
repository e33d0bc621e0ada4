import { memoryAccountDefinition, memoryLimitsOf } from './memoryAccountDefinition.js'
import { MemoryShare, type MemoryHolder, type MemoryReservation } from './memoryAccountTypes.js'

const LIMITS = { sideBytes: 100, connectionsBytes: 20 }

/** A holder whose entries are given up one by one, the stalled ones first. */
class TestHolder implements MemoryHolder {
  readonly share: MemoryShare
  entries: number[]
  stalledCount = 0

  constructor (share: MemoryShare, entries: number[] = []) {
    this.share = share
    this.entries = entries
  }

  get heldBytes (): number {
    return this.entries.reduce((sum, bytes) => sum + bytes, 0)
  }

  shed (): boolean {
    return this.entries.shift() !== undefined
  }

  shedStalled (): boolean {
    if (this.stalledCount === 0) return false
    this.stalledCount -= 1
    return this.shed()
  }
}

function createAccount (...holders: TestHolder[]): ReturnType<typeof memoryAccountDefinition.createDb> {
  const db = memoryAccountDefinition.createDb(LIMITS)
  for (const holder of holders) memoryAccountDefinition.addHolder(db, holder)
  return db
}

function createReservation (
  share: MemoryShare, bytes: number, holder: TestHolder
): MemoryReservation & { isGranted: boolean } {
  const reservation = {
    share,
    bytes,
    isGranted: false,
    onGranted: () => {
      reservation.isGranted = true
      holder.entries.push(bytes)
    }
  }
  return reservation
}

test('shares of one side are limited together, and the holder that was added first gives up first', () => {
  const requests = new TestHolder(MemoryShare.Requests, [30, 30])
  const calls = new TestHolder(MemoryShare.PeerCalls, [50])
  const db = createAccount(calls, requests)
  memoryAccountDefinition.enforce(db)
  expect([calls.heldBytes, requests.heldBytes]).toEqual([0, 60])
})

test('connections have a limit of their own, and take their part from the answers', () => {
  const connections = new TestHolder(MemoryShare.Connections, [10, 15])
  const answers = new TestHolder(MemoryShare.CallerAnswers, [40, 50])
  const db = createAccount(connections, answers)
  memoryAccountDefinition.enforce(db)
  expect([connections.heldBytes, answers.heldBytes]).toEqual([15, 50])
})

test('a limit that no holder can keep ends the search', () => {
  const calls = new TestHolder(MemoryShare.PeerCalls, [150])
  calls.shed = () => false
  memoryAccountDefinition.enforce(createAccount(calls))
  expect(calls.heldBytes).toBe(150)
})

test('a reservation waits until there is room, and a smaller one does not wait for it', () => {
  const answers = new TestHolder(MemoryShare.CallerAnswers, [60])
  const db = createAccount(answers)
  const [large, small] = [50, 30].map(bytes => createReservation(MemoryShare.CallerAnswers, bytes, answers))
  memoryAccountDefinition.reserve(db, large!)
  memoryAccountDefinition.reserve(db, small!)
  expect([large!.isGranted, small!.isGranted]).toEqual([false, true])
  answers.entries = []
  memoryAccountDefinition.sweep(db)
  expect([large!.isGranted, db.waiting.size]).toEqual([true, 0])
})

test('a reservation makes peers without progress lose what is held for them', () => {
  const answers = new TestHolder(MemoryShare.CallerAnswers, [60, 40])
  const db = createAccount(answers)
  const reservation = createReservation(MemoryShare.CallerAnswers, 50, answers)
  memoryAccountDefinition.reserve(db, reservation)
  expect(reservation.isGranted).toBe(false)
  answers.stalledCount = 1
  memoryAccountDefinition.sweep(db)
  expect([reservation.isGranted, answers.entries]).toEqual([true, [40, 50]])
})

// Two nodes that hold nothing but answers for each other would both wait.
test('answers of the own server leave room for those of other nodes, unless there is only one', () => {
  const own = new TestHolder(MemoryShare.ServerAnswers)
  const db = createAccount(own)
  const first = createReservation(MemoryShare.ServerAnswers, 90, own)
  memoryAccountDefinition.reserve(db, first)
  expect(first.isGranted).toBe(true)
  own.entries = [30]
  const second = createReservation(MemoryShare.ServerAnswers, 30, own)
  memoryAccountDefinition.reserve(db, second)
  expect(second.isGranted).toBe(false)
  const forCaller = createReservation(MemoryShare.CallerAnswers, 30, own)
  memoryAccountDefinition.reserve(db, forCaller)
  expect(forCaller.isGranted).toBe(true)
})

test.each([250, 350, 602])('the largest message of the users fits in %d MB, up and down', memoryMb => {
  const db = memoryAccountDefinition.createDb(memoryLimitsOf(memoryMb))
  expect(memoryAccountDefinition.canHold(db, 64 * 1024 * 1024)).toBe(true)
  expect(2 * db.limits.sideBytes).toBeLessThan(memoryMb * 1_000_000)
})
