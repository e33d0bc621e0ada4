import { ManualClock } from '../clock/clock.js'
import { answerText } from './answerText.js'
import { Caller } from './caller.js'
import { loadPlanSchema } from './loadPlan.js'
import { classifyAnswer, SendResult, type SendEnd, type SendSpec } from './sendCall.js'

const plan = loadPlanSchema.parse({
  targets: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'],
  resends_count: 2,
  resend_pause_ms: 0,
  streams: [{
    name: 'book',
    caller: 'members',
    service: 'delivery-booking',
    method: 'POST',
    path: '/bookings',
    importance: 'vital',
    keyed: true,
    rate_per_s: 100,
    deadline_ms: 500
  }],
  phases: [{ name: 'calm', duration_ms: 10_000, factor: 1 }, { name: 'over', duration_ms: 10_000, factor: 10 }]
})

class RecordingSender {
  readonly targetsCount = 3
  readonly sends: Array<{ targetIndex: number, spec: SendSpec, onEnd: (end: SendEnd) => void }> = []

  send (targetIndex: number, spec: SendSpec, onEnd: (end: SendEnd) => void): void {
    this.sends.push({ targetIndex, spec, onEnd })
  }
}

async function waitForSends (sender: RecordingSender, count: number): Promise<void> {
  while (sender.sends.length < count) await new Promise(resolve => setTimeout(resolve, 0))
}

describe('caller', () => {
  test('arrivals follow the rate of each phase and do not wait for answers', () => {
    const clock = new ManualClock()
    const sender = new RecordingSender()
    const caller = new Caller(plan, sender, clock)
    caller.start()
    clock.advanceMs(10_000)
    caller.openDueRoots()
    const calmCount = sender.sends.length
    clock.advanceMs(10_000)
    expect(caller.openDueRoots()).toBe(false)
    expect(calmCount).toBeGreaterThan(900)
    expect(calmCount).toBeLessThan(1100)
    expect(sender.sends.length - calmCount).toBeGreaterThan(9700)
    expect(sender.sends.length - calmCount).toBeLessThan(10_300)
  })

  test('a refused root request is resent to other nodes with the same root id and idempotency key and ends as refused', async () => {
    const clock = new ManualClock()
    const sender = new RecordingSender()
    const phases = [{ name: 'calm', duration_ms: 10_000, factor: 1, stream_factors: {} }]
    const caller = new Caller({ ...plan, phases }, sender, clock)
    caller.start()
    while (sender.sends.length === 0) {
      clock.advanceMs(1)
      caller.openDueRoots()
    }
    for (let count = 1; count <= 3; count += 1) {
      await waitForSends(sender, count)
      sender.sends[count - 1]?.onEnd({ result: SendResult.NotRun, reason: 'overload' })
    }
    const [first, second, third] = sender.sends
    expect([first, second, third].map(send => send?.spec.attempt)).toEqual([1, 2, 3])
    expect(new Set(sender.sends.map(send => `${send.spec.rootId} ${send.spec.key}`)).size).toBe(1)
    expect(second?.targetIndex).not.toBe(first?.targetIndex)
    const report = caller.reportCollector.buildReport(0)
    expect(report.streams[0]).toMatchObject({
      offered_count: 1, sends_count: 3, refused_count: 1, reasons: { overload: 1 }
    })
    expect(report.not_run_keys).toEqual([`delivery-booking ${first?.spec.key}`])
  })

  test.each([
    ['a complete answer to this call', 200, {}, 'r1', SendResult.Whole],
    ['the answer to another root request', 200, {}, 'r2', SendResult.Wrong],
    ['a refusal by the node', 503, { 'ragwortspur-outcome': 'not_run' }, 'r1', SendResult.NotRun],
    ['an unknown outcome', 502, { 'ragwortspur-outcome': 'unknown' }, 'r1', SendResult.Unknown],
    ['a failure of the backend server', 500, { 'ragwortspur-outcome': 'done' }, 'r1', SendResult.Failed],
    ['a refusal by the backend server', 503, { 'ragwortspur-backend-status': 'shed' }, 'r1', SendResult.NotRun]
  ])('%s is classified', (_name, status, headers, answeredRoot, result) => {
    const [stream] = plan.streams
    if (stream === undefined) throw new Error('no stream')
    const spec = { stream, rootId: 'r1', key: undefined, attempt: 1, timeoutMs: 1 }
    const text = answerText({ rootId: answeredRoot, serviceName: 'delivery-booking', runNumber: 1 })
    expect(classifyAnswer(status, headers, text, spec).result).toBe(result)
  })
})
