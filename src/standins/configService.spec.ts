import { ManualClock } from '../clock/clock.js'
import { applyConfigControl, ConfigService, createConfigServer, ServingMode } from './configService.js'
import { listenOn } from './httpTools.js'

describe('configuration service', () => {
  test('a stale service hides newer values, and an older one serves the version before', () => {
    const service = new ConfigService(new ManualClock())
    service.publish('catalogue', 'one')
    service.publish('catalogue', 'two')
    service.setMode(ServingMode.Stale)
    service.publish('catalogue', 'three')
    expect(service.versionOf('catalogue')).toEqual({ revision: 2, value: 'two' })
    service.setMode(ServingMode.Older)
    expect(service.versionOf('catalogue')).toEqual({ revision: 2, value: 'two' })
    service.setMode(ServingMode.Fresh)
    expect(service.versionOf('catalogue')).toEqual({ revision: 3, value: 'three' })
  })

  test('a value above 1 MB is refused', () => {
    expect(() => new ConfigService().publish('catalogue', 'x'.repeat(1024 * 1024 + 1))).toThrow(RangeError)
  })

  test('calls are counted for each second', () => {
    const clock = new ManualClock(0, 0)
    const service = new ConfigService(clock)
    service.countCall()
    service.countCall()
    clock.advanceMs(1000)
    service.countCall()
    expect(service.callsPerSecond()).toEqual([{ second: 0, calls_count: 2 }, { second: 1, calls_count: 1 }])
  })

  test('a waiting read ends with the published value and counts as one call', async () => {
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
