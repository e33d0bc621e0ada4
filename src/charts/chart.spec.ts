import { loadStateChart } from './chart.js'

describe('state charts', () => {
  test('a queued call may be dispatched, refused or cancelled', () => {
    const chart = loadStateChart('call')
    const after = ['DISPATCH', 'REFUSE', 'CANCEL'].map(event => chart.next('queued', event))
    expect(after).toEqual(['dispatched', 'closed', 'closed'])
  })

  test('a closed call accepts no event, so a late answer cannot reach a caller', () => {
    const chart = loadStateChart('call')
    expect(chart.next('closed', 'ANSWER')).toBeUndefined()
  })

  test.each(['call', 'node', 'backendServer'])('each state of %s is reachable', name => {
    const chart = loadStateChart(name)
    const seen = new Set([chart.initial])
    const events = ['QUEUE', 'DISPATCH', 'FORWARD', 'REFUSE', 'CANCEL', 'ANSWER', 'FAIL', 'LEARNED', 'STOP', 'IDLE',
      'READY', 'WARMING', 'DRAINING', 'DOWN']
    for (const state of seen) {
      for (const event of events) seen.add(chart.next(state, event) ?? state)
    }
    expect([...seen].sort()).toMatchSnapshot()
  })
})
