import { z } from 'zod'
import { Mechanism } from './mechanisms.js'
import type { ProgramSpec, SettingSpecs, SettingsOf } from '../settings/settings.js'

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/
const addressSchema = z.string().regex(ADDRESS)
const nameSchema = z.string().regex(/^[A-Za-z0-9._-]{1,64}$/)
const addressFormat = 'ip:port, such as 10.0.0.1:8080'
const nameFormat = '1 to 64 letters, digits, dots, hyphens or underscores'

function splitList (text: string): string[] {
  return text.split(',').filter(part => part !== '')
}

/** Settings of `ragwortspur-node`. */
export const nodeProgram = {
  program: 'ragwortspur-node',
  describe: 'Overload control for one backend server',
  specs: {
    nodeId: { describe: 'Id of this VM in the published VM list', schema: nameSchema, allowed: nameFormat },
    service: { describe: 'Name of the service that the backend server runs', schema: nameSchema, allowed: nameFormat },
    dataCentre: { describe: 'Data centre of this VM', schema: z.string().min(1).max(64), allowed: 'a name' },
    callAddress: { describe: 'Address that accepts calls (TCP)', schema: addressSchema, allowed: addressFormat },
    controlAddress: { describe: 'Address for messages between nodes (UDP)', schema: addressSchema, allowed: addressFormat },
    operatorAddress: { describe: 'Address that serves status and metrics', schema: addressSchema, allowed: addressFormat },
    backendAddress: { describe: 'Address of the backend server', schema: addressSchema, allowed: addressFormat },
    platformAddress: { describe: 'Address of the configuration service', schema: addressSchema, allowed: addressFormat },
    peers: {
      describe: 'Call addresses of nodes from which published values are read at start, separated by commas',
      schema: z.string().transform(splitList).pipe(z.array(addressSchema)),
      default: '',
      allowed: `list of ${addressFormat}, or empty`
    },
    control: {
      describe: 'Overload control; off forwards all calls, as a baseline for measurements',
      schema: z.enum(['on', 'off']),
      default: 'on',
      allowed: 'on or off'
    },
    without: {
      describe: 'Mechanisms to switch off for measurements, separated by commas',
      schema: z.string().transform(splitList).pipe(z.array(z.enum(Mechanism))),
      default: '',
      allowed: `list of ${Object.values(Mechanism).join(', ')}, or empty`
    },
    connectionsMax: {
      describe: 'Maximum number of connections from callers',
      schema: z.coerce.number().int().min(1).max(100_000),
      default: '4000',
      allowed: '1 to 100000'
    },
    backendConnectionsMax: {
      describe: 'Maximum number of connections to the backend server',
      schema: z.coerce.number().int().min(1).max(10_000),
      default: '400',
      allowed: '1 to 10000'
    },
    memoryMb: {
      describe: 'Memory that the process may use, in MB; what callers make it hold is kept within it',
      schema: z.coerce.number().int().min(150).max(1_000_000),
      default: '1024',
      allowed: '150 to 1000000'
    },
    stopTimeoutMs: {
      describe: 'Longest time in ms that a graceful stop waits for open calls',
      schema: z.coerce.number().int().min(0).max(600_000),
      default: '30000',
      allowed: '0 to 600000'
    }
  }
} satisfies ProgramSpec<SettingSpecs>

export type NodeSettings = SettingsOf<typeof nodeProgram.specs>

/** Splits `ip:port` into host and port. Throws a TypeError if the text has another form. */
export function parseAddress (text: string): { readonly host: string, readonly port: number } {
  const match = ADDRESS.exec(text)
  if (match === null) throw new TypeError(`"${text}" is not an address of the form ip:port`)
  return { host: (match[1] ?? '').replace(/^\[|\]$/g, ''), port: Number(match[2]) }
}
