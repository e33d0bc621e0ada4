import { BOOKING_TEXT, vmListValue } from '../../testing/documentSamples.js'
import type { PublishedValue } from '../documents/documentsTypes.js'
import { nodeCoreDefinition } from './nodeCoreDefinition.js'
import type { NodeCoreDb } from './nodeCoreDb.js'

const WALL_MS = 1_700_000_000_000
const VM_IDS = Array.from({ length: 12 }, (_, index) => `vm-${index}`)
const keyedDocument: PublishedValue = { key: 'documents/delivery-booking', revision: 1, text: BOOKING_TEXT }
const idempotentOnlyDocument: PublishedValue = { ...keyedDocument, text: BOOKING_TEXT.replaceAll('idempotent: false', 'idempotent: true') }

/** Number of lease requests that a node sends in its first second with the given service document. */
function leaseRequestCountOf (nodeId: string, document: PublishedValue): number {
  const time = (nowMs: number) => ({ nowMs, wallMs: WALL_MS + nowMs })
  const settings = {
    nodeId, incarnation: 'a', serviceName: 'delivery-booking', dataCentre: 'tartu', controlEnabled: true
  }
  const db: NodeCoreDb = nodeCoreDefinition.createDb(settings, {}, () => 0, time(0))
  for (const value of [document, vmListValue('tartu', 1, VM_IDS)]) {
    nodeCoreDefinition.handle(db, { kind: 'value_received', value }, time(0))
  }
  const commands = [20, 520, 1_020].flatMap(nowMs => nodeCoreDefinition.handle(db, { kind: 'tick' }, time(nowMs)))
  return commands.filter(command => command.kind === 'lease_request').length
}

describe('lease requests', () => {
  test('every node of a service with a non-idempotent route requests a lease; without one it refuses all keyed calls', () => {
    expect(VM_IDS.filter(vmId => leaseRequestCountOf(vmId, keyedDocument) === 0)).toEqual([])
  })

  test('in a service with idempotent routes only, just the voters request leases, so that their votes count after a restart', () => {
    expect(VM_IDS.filter(vmId => leaseRequestCountOf(vmId, idempotentOnlyDocument) > 0)).toHaveLength(9)
  })
})
