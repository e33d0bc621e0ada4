import { Left, Right } from 'purify-ts'
import { systemClock } from '../clock/clock.js'
import { watchWaitMs } from '../core/discovery/readSchedule.js'
import { NodeLog } from './nodeLog.js'
import { StoreFailureKind, type PlatformStore } from './platformStore.js'
import { StoreTask } from './storeTask.js'

const STATE = { era: 1, revision: 5, servers: [], configuration: null, configurationText: '', refused: [] }

interface RecordedReads {
  readonly log: Array<{ kind: 'all' | 'changes', atMs: number }>
  readonly task: StoreTask
}

function startTask (
  changes: () => StoreFailureKind | null, newestReadAtMs: () => number, readAfterMs = 500
): RecordedReads {
  const log: RecordedReads['log'] = []
  const startedAtMs = systemClock.monotonicMs()
  const recordRead = (kind: 'all' | 'changes'): void => {
    log.push({ kind, atMs: systemClock.monotonicMs() - startedAtMs })
  }
  const store: PlatformStore = {
    readAll: async () => {
      recordRead('all')
      return Right(STATE)
    },
    readChanges: async afterRevision => {
      recordRead('changes')
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
    newestReadAtMs,
    readAfterMs: () => readAfterMs,
    watchWaitMs: () => 500,
    revision: () => log.length === 0 ? -1 : 5,
    era: () => 1,
    proof: null,
    onConfiguration: () => {},
    onState: () => {},
    onChanges: () => {}
  })
  task.start()
  return { log, task }
}

async function delay (delayMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, delayMs))
}

describe('reads of the store', () => {
  // The missed changes may include a drain or a configuration that has to take effect soon.
  test.each([
    ['the store no longer has the requested changes', StoreFailureKind.HistoryGone],
    // The same changes were asked for again, with the same failure, until the store had forgotten them.
    ['the answer with the requested changes is too long or breaks off', StoreFailureKind.Incomplete]
  ])('a full read follows at once when %s', async (_name, kind) => {
    const { log, task } = startTask(() => kind, () => -Infinity)
    await delay(900)
    task.stop()
    const [, first, second] = log
    expect([first?.kind, second?.kind]).toEqual(['changes', 'all'])
    expect(second!.atMs - first!.atMs).toBeLessThan(150)
  })

  test('a node whose list is kept fresh by a peer does not read the store', async () => {
    const { log, task } = startTask(() => null, () => systemClock.monotonicMs())
    await delay(800)
    task.stop()
    expect(log.map(read => read.kind)).toEqual(['all'])
  })

  test('while nothing changes only one node reads, since its reads keep the list of the others fresh', async () => {
    let freshAtMs = -Infinity
    let revision = -1
    const readsCounts = [0, 0, 0]
    const tasks = [0, 750, 1_000].map((readAfterMs, reader) => new StoreTask({
      clock: systemClock,
      random: () => 0.5,
      log: new NodeLog({ clock: systemClock, write: () => true }),
      store: {
        readAll: async () => Right(STATE),
        readChanges: async (afterRevision, waitMs) => {
          readsCounts[reader]! += 1
          await delay(waitMs)
          return Right({ ...STATE, afterRevision, changes: [] })
        },
        decodeConfiguration: () => Left('none')
      },
      newestReadAtMs: () => freshAtMs,
      readAfterMs: () => readAfterMs,
      watchWaitMs: () => watchWaitMs(systemClock.monotonicMs() - freshAtMs, 3),
      revision: () => revision,
      era: () => 1,
      proof: null,
      onConfiguration: () => {},
      onState: (state, readAtMs) => {
        revision = state.revision
        freshAtMs = Math.max(freshAtMs, readAtMs)
      },
      onChanges: (_changes, readAtMs) => { freshAtMs = Math.max(freshAtMs, readAtMs) }
    }))
    for (const task of tasks) task.start()
    await delay(2_600)
    for (const task of tasks) task.stop()
    expect(readsCounts.slice(1)).toEqual([0, 0])
    expect(readsCounts[0]).toBeLessThanOrEqual(6)
  })

  test('reads of an unavailable store are retried with backoff', async () => {
    const { log, task } = startTask(() => StoreFailureKind.Unavailable, () => -Infinity, 0)
    await delay(1_500)
    task.stop()
    expect(log.length).toBeLessThan(10)
  })
})
