import { Left, Right, type Either } from 'purify-ts'
import { Step, StepError } from '../errors/errors.js'
import { documentsDefinition as documents } from '../core/documents/documentsDefinition.js'
import { documentValue } from '../testing/documentSamples.js'
import { waitUntil } from '../testing/valueServer.js'
import { GossipPulls } from './gossipPulls.js'
import type { ValueAnswer } from './valueClient.js'

type Answer = Either<StepError, ValueAnswer>

const failed: Answer = Left(new StepError(Step.PeerMessage, 'peer', 'reset'))
const key = 'documents/delivery-booking'

function summaryOf (
  version: number, revision: number
): { key: string, version: number, revision: number, hash: number } {
  return { key, version, revision, hash: 1 }
}

function createPulls (answer: (callAddress: string) => Promise<Answer>): {
  pulls: GossipPulls, asked: string[], news: string[], errors: string[], version: () => number | undefined
} {
  const db = documents.createDb(documents.defaults)
  const asked: string[] = []
  const news: string[] = []
  const errors: string[] = []
  const pulls = new GossipPulls({
    inFlightMaxCount: 4,
    newerSummaries: marks => documents.newerSummaries(db, marks),
    pull: callAddress => { asked.push(callAddress); return answer(callAddress) },
    offer: value => documents.offerValue(db, value, 0),
    onAccepted: found => { news.push(found) },
    onError: error => { errors.push(error.peer) }
  })
  return { pulls, asked, news, errors, version: () => documents.documentOf(db, 'delivery-booking')?.document.version }
}

describe('reads from peers', () => {
  test('the next source is tried after a failed one, and a held value is not read again', async () => {
    const value = documentValue(7, 5)
    const opened = createPulls(async address => address === 'first' ? failed : Right({ kind: 'newer', value }))
    for (const address of ['first', 'second', 'third']) opened.pulls.requestNewer([summaryOf(7, 5)], address)
    await waitUntil(() => opened.pulls.pendingCount === 0)
    expect(opened).toMatchObject({ asked: ['first', 'second'], news: [key], errors: ['peer'] })
  })

  test('a later summary of an older version does not replace the newer one that is to be read', async () => {
    let release: () => void = () => {}
    const held = new Promise<void>(resolve => { release = resolve })
    const opened = createPulls(async address => {
      await held
      return address === 'new' ? Right({ kind: 'newer', value: documentValue(8, 5) }) : failed
    })
    opened.pulls.requestNewer([summaryOf(7, 4)], 'busy')
    opened.pulls.requestNewer([summaryOf(8, 5)], 'new')
    opened.pulls.requestNewer([summaryOf(7, 9)], 'old')
    release()
    await waitUntil(() => opened.pulls.pendingCount === 0)
    expect(opened.asked.slice(0, 2)).toEqual(['busy', 'new'])
    expect(opened.version()).toBe(8)
  })

  test('after stop no value is offered', async () => {
    const opened = createPulls(async () => Right({ kind: 'newer', value: documentValue(7, 5) }))
    opened.pulls.requestNewer([summaryOf(7, 5)], 'first')
    opened.pulls.stop()
    await waitUntil(() => opened.pulls.pendingCount === 0)
    expect([opened.news, opened.version()]).toEqual([[], undefined])
  })
})
