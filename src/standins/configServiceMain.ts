import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { log } from '../log/log.js'
import { settingsOrExit } from '../settings/settings.js'
import { applyConfigControl, ConfigService, createConfigServer, ServingMode } from './configService.js'
import { addressSetting, countSetting, createControlServer, listenOn, stopOnSignal } from './httpTools.js'

const { settings } = settingsOrExit({
  program: 'configServiceMain',
  describe: 'Stand-in for the configuration service',
  specs: {
    address: addressSetting('Address for readers', '127.0.0.1:0'),
    controlAddress: addressSetting('Address for test controls', '127.0.0.1:0'),
    listLagMs: countSetting('Delay of published VM lists in ms', '0'),
    valuesFile: {
      describe: 'JSON file with the values to publish at start-up, as an object of strings by key',
      schema: z.string(),
      default: '',
      allowed: 'a path, or empty for none'
    }
  }
})

const service = new ConfigService()
service.listLagMs = settings.listLagMs
if (settings.valuesFile !== '') {
  const values = z.record(z.string(), z.string()).parse(JSON.parse(readFileSync(settings.valuesFile, 'utf8')))
  for (const [key, value] of Object.entries(values)) service.publish(key, value)
}

const server = createConfigServer(service)
const control = createControlServer({
  read: () => ({ mode: service.mode, calls_count: service.callsCount, calls_per_s: service.callsPerSecond() }),
  apply: value => {
    const applied = applyConfigControl(service, value)
    if (service.mode === ServingMode.Down) server.closeAllConnections()
    return applied
  }
})
const address = await listenOn(server, settings.address)
const controlAddress = await listenOn(control, settings.controlAddress)
log.info({ event: 'config_service_ready', address, control_address: controlAddress })
stopOnSignal(() => { server.close(); control.close() })
