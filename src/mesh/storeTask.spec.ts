import { Left, Right } from 'purify-ts'
import { systemClock } from '../clock/clock.js'
import { watchWaitMs } from '../core/discovery/readPlan.js'
import { NodeLog } from './nodeLog.js'
import { StoreFailureKind, type PlatformStore } from './platformStore.js'
import { StoreTask } from './storeTask.js'

const STATE = { revision: 5, servers: [], configuration: null, configurationText: '', refused: [] }

interface Reads {
  readonly log: Array<{ kind: 'all' | 'changes', atMs: number }>
  readonly task: StoreTask
}

function open (changes: () => StoreFailureKind | null, freshAtMs: () => number, readAfterMs = 500): Reads {
  const log: Reads['log'] = []
  const startedAtMs = systemClock.monotonicMs()
  const note = (kind: 'all' | 'changes'): void => {
    log.push({ kind, atMs: systemClock.monotonicMs() - startedAtMs })
  }
  const store: PlatformStore = {
    readAll: async () => {
      note('all')
      return Right(STATE)
    },
    readChanges: async afterRevision => {
      note('changes')
      const kind = changes()
      if (kind !== null) return Left({ kind, detail: 'test' })
      return Right({ ...STATE, afterRevision, changes: [] })
    },
    decodeConfiguration: () => Left('none')
  }
  const task = new StoreTask({
    clock: systemClock,
    random: () => 0.5,
    log: new NodeLog({ clock: systemClock, write: () => true }),
    store,
    freshAtMs,
    readAfterMs: () => readAfterMs,
    watchWaitMs: () => 500,
    revision: () => log.length === 0 ? -1 : 5,
    onState: () => {},
    onChanges: () => {}
  })
  task.start()
  return { log, task }
}

async function pause (delayMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, delayMs))
}

describe('reads of the store', () => {
  test('a lost history is followed by a whole read at once, since what was lost may bind soon', async () => {
    const { log, task } = open(() => StoreFailureKind.HistoryGone, () => -Infinity)
    await pause(900)
    task.stop()
    const [, first, second] = log
    expect([first?.kind, second?.kind]).toEqual(['changes', 'all'])
    expect(second!.atMs - first!.atMs).toBeLessThan(150)
  })

  test('a node whose list is kept fresh by another one does not read', async () => {
    const { log, task } = open(() => null, () => systemClock.monotonicMs())
    await pause(800)
    task.stop()
    expect(log.map(read => read.kind)).toEqual(['all'])
  })

  test('while nothing changes one node alone reads, since its answers tell the others how fresh the list is', async () => {
    let freshAtMs = -Infinity
    const readsCounts = [0, 0, 0]
    const tasks = [0, 750, 1_000].map((readAfterMs, reader) => new StoreTask({
      clock: systemClock,
      random: () => 0.5,
      log: new NodeLog({ clock: systemClock, write: () => true }),
      store: {
        readAll: async () => Right(STATE),
        readChanges: async (afterRevision, waitMs) => {
          readsCounts[reader]! += 1
          await pause(waitMs)
          return Right({ ...STATE, afterRevision, changes: [] })
        },
        decodeConfiguration: () => Left('none')
      },
      freshAtMs: () => freshAtMs,
      readAfterMs: () => readAfterMs,
      watchWaitMs: () => watchWaitMs(systemClock.monotonicMs() - freshAtMs, 3),
      revision: () => freshAtMs === -Infinity ? -1 : 5,
      onState: (_state, readAtMs) => { freshAtMs = Math.max(freshAtMs, readAtMs) },
      onChanges: (_changes, readAtMs) => { freshAtMs = Math.max(freshAtMs, readAtMs) }
    }))
    for (const task of tasks) task.start()
    await pause(2_600)
    for (const task of tasks) task.stop()
    expect(readsCounts.slice(1)).toEqual([0, 0])
    expect(readsCounts[0]).toBeLessThanOrEqual(6)
  })

  test('a store that is away is asked again with growing pauses', async () => {
    const { log, task } = open(() => StoreFailureKind.Unavailable, () => -Infinity, 0)
    await pause(1_500)
    task.stop()
    expect(log.length).toBeLessThan(10)
  })
})
