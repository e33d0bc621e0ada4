import { z } from 'zod'
import { Mechanism } from './mechanisms.js'
import type { ProgramSpec, SettingSpecs, SettingsOf } from '../settings/settings.js'

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/
const address = z.string().regex(ADDRESS)
const name = z.string().regex(/^[A-Za-z0-9._-]{1,64}$/)
const addressAllowed = 'ip:port, such as 10.0.0.1:8080'
const nameAllowed = '1 to 64 letters, digits, dots, hyphens or underscores'

function listOf (text: string): string[] {
  return text.split(',').filter(part => part !== '')
}

/** Settings of `ragwortspur-node`. */
export const nodeProgram = {
  program: 'ragwortspur-node',
  describe: 'overload control beside one backend server',
  specs: {
    nodeId: { describe: 'Id of the VM in the published list', schema: name, allowed: nameAllowed },
    service: { describe: 'Service of the backend server', schema: name, allowed: nameAllowed },
    dataCentre: { describe: 'Own data centre', schema: z.string().min(1).max(64), allowed: 'a name' },
    callAddress: { describe: 'Where calls arrive (TCP)', schema: address, allowed: addressAllowed },
    controlAddress: { describe: 'Where messages of other nodes arrive (UDP)', schema: address, allowed: addressAllowed },
    operatorAddress: { describe: 'Where operators read status and metrics', schema: address, allowed: addressAllowed },
    backendAddress: { describe: 'The backend server on this VM', schema: address, allowed: addressAllowed },
    platformAddress: { describe: 'The configuration service', schema: address, allowed: addressAllowed },
    peers: {
      describe: 'Call addresses of nodes to learn from at start, separated by commas',
      schema: z.string().transform(listOf).pipe(z.array(address)),
      default: '',
      allowed: `list of ${addressAllowed}, or empty`
    },
    control: {
      describe: 'Overload control; off passes all calls on, for comparisons',
      schema: z.enum(['on', 'off']),
      default: 'on',
      allowed: 'on or off'
    },
    without: {
      describe: 'Mechanisms that are switched off, separated by commas, for comparisons',
      schema: z.string().transform(listOf).pipe(z.array(z.enum(Mechanism))),
      default: '',
      allowed: `list of ${Object.values(Mechanism).join(', ')}, or empty`
    },
    connectionsMax: {
      describe: 'Connections that callers may open to this node',
      schema: z.coerce.number().int().min(1).max(100_000),
      default: '4000',
      allowed: '1 to 100000'
    },
    backendConnectionsMax: {
      describe: 'Connections that the node may open to its backend server',
      schema: z.coerce.number().int().min(1).max(10_000),
      default: '400',
      allowed: '1 to 10000'
    },
    stopTimeoutMs: {
      describe: 'Longest time in ms that a planned stop waits for open calls',
      schema: z.coerce.number().int().min(0).max(600_000),
      default: '30000',
      allowed: '0 to 600000'
    }
  }
} satisfies ProgramSpec<SettingSpecs>

export type NodeSettings = SettingsOf<typeof nodeProgram.specs>

/** Host and port of an `ip:port` text. */
export function splitAddress (text: string): { readonly host: string, readonly port: number } {
  const match = ADDRESS.exec(text)
  if (match === null) throw new TypeError(`not an address: ${text}`)
  return { host: (match[1] ?? '').replace(/^\[|\]$/g, ''), port: Number(match[2]) }
}
