import { ManualClock } from '../clock/clock.js'
import { applyConfigControl, ConfigService, createConfigServer, ServingMode } from './configService.js'
import { listenOn } from './httpTools.js'

describe('configuration service', () => {
  test('stale mode hides newer values, and older mode serves the previous version', () => {
    const service = new ConfigService(new ManualClock())
    service.publish('catalogue', 'one')
    service.publish('catalogue', 'two')
    service.setMode(ServingMode.Stale)
    service.publish('catalogue', 'three')
    expect(service.visibleVersion('catalogue')).toEqual({ revision: 2, value: 'two' })
    service.setMode(ServingMode.Older)
    expect(service.visibleVersion('catalogue')).toEqual({ revision: 2, value: 'two' })
    service.setMode(ServingMode.Fresh)
    expect(service.visibleVersion('catalogue')).toEqual({ revision: 3, value: 'three' })
  })

  test('a value above 1 MB is refused', () => {
    expect(() => new ConfigService().publish('catalogue', 'x'.repeat(1024 * 1024 + 1))).toThrow(RangeError)
  })

  test('read requests are counted per second', () => {
    const clock = new ManualClock(0, 0)
    const service = new ConfigService(clock)
    service.countCall()
    service.countCall()
    clock.advanceMs(1000)
    service.countCall()
    expect(service.callsPerSecond()).toEqual([{ second: 0, calls_count: 2 }, { second: 1, calls_count: 1 }])
  })

  test('a long-polling read returns the published value and counts as one request', async () => {
    const service = new ConfigService()
    const server = createConfigServer(service)
    const url = `http://${await listenOn(server, '127.0.0.1:0')}/v1/values/documents/invoicing`
    const none = await fetch(`${url}?after=0&wait_ms=0`)
    expect(none.status).toBe(204)
    const waiting = fetch(`${url}?after=0&wait_ms=60000`)
    while (service.callsCount < 2) await new Promise(resolve => setImmediate(resolve))
    applyConfigControl(service, { publish: { key: 'documents/invoicing', value: 'v' } })
    expect(await (await waiting).json()).toEqual({ key: 'documents/invoicing', revision: 1, value: 'v' })
    expect(service.callsCount).toBe(2)
    applyConfigControl(service, { mode: 'down' })
    await expect(fetch(url)).rejects.toThrow()
    server.closeAllConnections()
    server.close()
  })
})
