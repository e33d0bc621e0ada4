import { Left, Right, type Either } from 'purify-ts'
import { Step, StepError } from '../errors/errors.js'
import { documentsDefinition as documents } from '../core/documents/documentsDefinition.js'
import { documentValue } from '../testing/documentSamples.js'
import { until } from '../testing/valueServer.js'
import { SpreadPulls } from './spreadPulls.js'
import type { ValueAnswer } from './valueClient.js'

type Answer = Either<StepError, ValueAnswer>

const failed: Answer = Left(new StepError(Step.PeerMessage, 'peer', 'reset'))
const key = 'documents/delivery-booking'

function markOf (version: number, revision: number): { key: string, version: number, revision: number, hash: number } {
  return { key, version, revision, hash: 1 }
}

function openPulls (answer: (callAddress: string) => Promise<Answer>): {
  pulls: SpreadPulls, asked: string[], news: string[], errors: string[], version: () => number | undefined
} {
  const db = documents.createDb(documents.defaults)
  const asked: string[] = []
  const news: string[] = []
  const errors: string[] = []
  const pulls = new SpreadPulls({
    inFlightMaxCount: 4,
    missing: marks => documents.newerSummaries(db, marks),
    pull: callAddress => { asked.push(callAddress); return answer(callAddress) },
    offer: value => documents.offer(db, value, 0),
    onNews: found => { news.push(found) },
    onError: error => { errors.push(error.peer) }
  })
  return { pulls, asked, news, errors, version: () => documents.documentOf(db, 'delivery-booking')?.document.version }
}

describe('pulls from peers', () => {
  test('a failed source is followed by the next one, and what is held is not pulled again', async () => {
    const value = documentValue(7, 5)
    const opened = openPulls(async address => address === 'first' ? failed : Right({ kind: 'newer', value }))
    for (const address of ['first', 'second', 'third']) opened.pulls.want([markOf(7, 5)], address)
    await until(() => opened.pulls.pendingCount === 0)
    expect(opened).toMatchObject({ asked: ['first', 'second'], news: [key], errors: ['peer'] })
  })

  test('a later notice of an older version does not displace the newer one that is wanted', async () => {
    let release: () => void = () => {}
    const held = new Promise<void>(resolve => { release = resolve })
    const opened = openPulls(async address => {
      await held
      return address === 'new' ? Right({ kind: 'newer', value: documentValue(8, 5) }) : failed
    })
    opened.pulls.want([markOf(7, 4)], 'busy')
    opened.pulls.want([markOf(8, 5)], 'new')
    opened.pulls.want([markOf(7, 9)], 'old')
    release()
    await until(() => opened.pulls.pendingCount === 0)
    expect(opened.asked.slice(0, 2)).toEqual(['busy', 'new'])
    expect(opened.version()).toBe(8)
  })

  test('after the stop nothing is put in force', async () => {
    const opened = openPulls(async () => Right({ kind: 'newer', value: documentValue(7, 5) }))
    opened.pulls.want([markOf(7, 5)], 'first')
    opened.pulls.stop()
    await until(() => opened.pulls.pendingCount === 0)
    expect([opened.news, opened.version()]).toEqual([[], undefined])
  })
})
