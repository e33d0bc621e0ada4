import type { Server } from 'node:http'
import { z } from 'zod'
import { assertNever } from '../errors/errors.js'
import { log } from '../log/log.js'
import { settingsOrExit } from '../settings/settings.js'
import { createHttpRelay } from './httpRelay.js'
import { addressSetting, createControlServer, listenOn, parseAddress, stopOnSignal } from './httpTools.js'
import { Relay } from './relay.js'

enum RelayKind {
  /** Relays TCP connections and UDP datagrams, with fault injection. */
  Bytes = 'bytes',
  /** Relays HTTP requests without faults: the baseline for the cost of one hop. */
  Http = 'http'
}

const { settings } = settingsOrExit({
  program: 'relayMain',
  describe: 'Relay with fault injection, or plain HTTP relay',
  specs: {
    address: addressSetting('Address to listen on', '127.0.0.1:0'),
    target: addressSetting('Address to relay to'),
    controlAddress: addressSetting('Address for test controls', '127.0.0.1:0'),
    mode: { describe: 'Kind of traffic to relay', schema: z.enum(RelayKind), default: RelayKind.Bytes, allowed: 'bytes or http' }
  }
})

async function startHttpRelay (): Promise<void> {
  const { server, pool } = createHttpRelay(settings.target)
  log.info({ event: 'relay_ready', address: await listenOn(server, settings.address) })
  stopOnSignal(async () => { server.close(); server.closeAllConnections(); await pool.destroy() })
}

async function startControlServer (relay: Relay): Promise<Server> {
  const control = createControlServer({
    read: () => ({ links_count: relay.linksCount }),
    apply: value => { relay.applyControl(value) }
  })
  const controlAddress = await listenOn(control, settings.controlAddress)
  log.info({ event: 'relay_control_ready', control_address: controlAddress })
  return control
}

async function startByteRelay (): Promise<void> {
  const relay = new Relay(parseAddress(settings.target))
  const address = await listenOn(relay.server, settings.address)
  const { host, port } = parseAddress(address)
  await new Promise<void>(resolve => relay.udpSocket.bind(port, host, resolve))
  const control = await startControlServer(relay)
  log.info({ event: 'relay_ready', address })
  stopOnSignal(() => { control.close(); relay.close() })
}

switch (settings.mode) {
  case RelayKind.Bytes:
    await startByteRelay()
    break
  case RelayKind.Http:
    await startHttpRelay()
    break
  default:
    assertNever(settings.mode)
}
