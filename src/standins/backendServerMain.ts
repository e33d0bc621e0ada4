import { z } from 'zod'
import { log } from '../log/log.js'
import { settingsOrExit } from '../settings/settings.js'
import { BackendServer } from './backendServer.js'
import { backendConfigSchema, type BackendConfig } from './backendTypes.js'
import { addressSetting, createControlServer, listenOn, stopOnSignal } from './httpTools.js'

const configText: z.ZodType<BackendConfig> = z.string()
  .transform((text, context) => {
    try {
      return JSON.parse(text) as unknown
    } catch {
      context.addIssue({ code: 'custom', message: 'not valid JSON' })
      return z.NEVER
    }
  }).pipe(backendConfigSchema)

const { settings } = settingsOrExit({
  program: 'backendServerMain',
  describe: 'Stand-in for a backend server',
  specs: {
    address: addressSetting('Address for calls', '127.0.0.1:0'),
    controlAddress: addressSetting('Address for test controls', '127.0.0.1:0'),
    nodeAddress: {
      describe: 'Call address of the node on the same VM, for sub-calls',
      schema: z.string().regex(/^$|^[^:]+:\d{1,5}$/),
      default: '',
      allowed: 'ip:port, or empty for no sub-calls'
    },
    config: { describe: 'Service, slots and routes', schema: configText, allowed: 'JSON, see backendTypes.ts' }
  }
})

const backend = new BackendServer({
  config: settings.config,
  nodeAddress: settings.nodeAddress === '' ? undefined : settings.nodeAddress,
  onRunEvent: event => { log.info(event) }
})
const control = createControlServer({
  read: () => backend.state(),
  apply: value => { backend.applyControl(value) }
})
const address = await listenOn(backend.server, settings.address)
const controlAddress = await listenOn(control, settings.controlAddress)
log.info({ event: 'backend_ready', service: settings.config.service, address, control_address: controlAddress })
stopOnSignal(async () => { control.close(); await backend.close() })
