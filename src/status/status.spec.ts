import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { compareNodes, Topic, type FleetStatus } from './compareNodes.js'
import { requestNodeStatuses } from './nodeStatus.js'
import { statusText } from './statusText.js'

/** Body of a `/status` answer, including fields that are not compared. */
function statusOf (nodeId: string, changes: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    node_id: nodeId,
    service: 'delivery-booking',
    data_centre: 'tartu',
    incarnation: 'a1',
    state: 'serving',
    backend_server: 'ready',
    open_calls_count: 3,
    gate: { inFlightCount: 3, queuedCount: 0, limitCount: 220, cutLevel: 255, saturated: false },
    documents: [
      { service: 'delivery-booking', version: 7, revision: 12, in_force_for_ms: 900 },
      { service: 'invoicing', version: 2, revision: 4, in_force_for_ms: 900 }
    ],
    rejected_documents: [],
    leaving_vms: [],
    quarantined: [],
    lease: { listRevision: 5, fromLabelMs: 0, untilLabelMs: 1_700_000_000_000 },
    control_bytes_per_s: 2_345,
    ...changes
  }
}

const fingerprint = { serviceName: 'delivery-booking', routeName: 'book', bodyHash: 0xbeef }
const servers: Server[] = []
let maxConcurrentCount = 0
let concurrentCount = 0

async function serve (respond: (response: ServerResponse) => void): Promise<string> {
  const server = createServer((_request, response) => {
    concurrentCount += 1
    maxConcurrentCount = Math.max(maxConcurrentCount, concurrentCount)
    response.on('close', () => { concurrentCount -= 1 })
    respond(response)
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  servers.push(server)
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

const serveAnswer = async (value: unknown): Promise<string> =>
  await serve(response => { response.end(typeof value === 'string' ? value : JSON.stringify(value)) })

/** Replaces each address by its index in the list, since the ports differ from run to run. */
async function fleetOf (addresses: readonly string[], timeoutMs = 20_000): Promise<FleetStatus> {
  const fleet = compareNodes(await requestNodeStatuses(addresses, { timeoutMs, atOnceCount: 32 }))
  const text = addresses.reduce((sofar, address, index) =>
    sofar.replaceAll(address, `host-${index}:9100`), JSON.stringify(fleet))
  return JSON.parse(text) as FleetStatus
}

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections()
    server.close()
  }
  maxConcurrentCount = 0
})

describe('status', () => {
  test('nodes that all report the same status agree', async () => {
    const fleet = await fleetOf([await serveAnswer(statusOf('vm-1')), await serveAnswer(statusOf('vm-2'))])
    expect(statusText(fleet)).toMatchSnapshot()
    expect(fleet.agrees).toBe(true)
  })

  test('differing versions, rejected edits, leaving VMs and quarantined requests are listed with their nodes', async () => {
    const documents = [{ service: 'delivery-booking', version: 8, revision: 13, in_force_for_ms: 1 }]
    const fault = { path: 'version', line: 3, reason: 'is 6; allowed is a number above 7' }
    const fleet = await fleetOf([
      await serveAnswer(statusOf('vm-1', {
        rejected_documents: [{ key: 'documents/invoicing', revision: 9, faults: [fault, fault] }]
      })),
      await serveAnswer(statusOf('vm-2', { documents, leaving_vms: ['vm-9'], lease: null })),
      await serveAnswer(statusOf('vm-3', {
        leaving_vms: ['vm-9'],
        quarantined: [{ fingerprint, untilMs: 5 }],
        state: 'draining',
        backend_server: 'down',
        gate: { inFlightCount: 220, queuedCount: 12, limitCount: 220, cutLevel: 96, saturated: true }
      }))
    ])
    expect(statusText(fleet)).toMatchSnapshot()
    expect(fleet).toMatchSnapshot()
  })

  test('findings of all nodes are listed but are no difference, also with different quarantine ends', async () => {
    const addresses = await Promise.all([5, 9].map(async untilMs =>
      await serveAnswer(statusOf('vm-1', { leaving_vms: ['vm-9'], quarantined: [{ fingerprint, untilMs }] }))))
    const fleet = await fleetOf(addresses)
    const leaving = fleet.findings.filter(finding => finding.topic === Topic.LeavingVms)
    expect([fleet.agrees, leaving.length]).toEqual([true, 1])
  })

  test('nodes that do not answer, or not with a status, are listed with the reason', async () => {
    const fleet = await fleetOf([
      await serveAnswer(statusOf('vm-1')), await serveAnswer('<html>'), await serveAnswer({ node_id: 'vm-2' }),
      await serve(response => { response.writeHead(503).end('{}') }), '127.0.0.1:1'
    ])
    expect(statusText(fleet)).toMatchSnapshot()
    expect(fleet.agrees).toBe(false)
  })

  test('a request to a node that never answers fails after the timeout', async () => {
    const fleet = await fleetOf([await serve(() => {})], 50)
    expect(fleet.unanswered).toMatchObject([{ reason: expect.stringContaining('50ms') }])
  })

  test('an answer above the size limit is aborted before it fills the memory', async () => {
    const fleet = await fleetOf([await serveAnswer(`"${'x'.repeat(20 * 2 ** 20)}"`)])
    expect(fleet.unanswered).toMatchObject([{ reason: 'the answer is larger than 16 MB' }])
  })

  test('at most 32 requests are open at the same time, and all nodes are requested', async () => {
    const text = JSON.stringify(statusOf('vm-1'))
    const open: ServerResponse[] = []
    const finishAll = (): void => { for (const response of open.splice(0)) response.end(text) }
    // Holds the answers until 32 requests, or the last of all requests, are open.
    let seenCount = 0
    const address = await serve(response => {
      seenCount += 1
      open.push(response)
      if (open.length === 32 || seenCount === 70) finishAll()
    })
    const asked = await requestNodeStatuses(
      Array.from({ length: 70 }, () => address), { timeoutMs: 20_000, atOnceCount: 32 }
    )
    expect([asked.filter(one => one.result.isRight()).length, maxConcurrentCount]).toEqual([70, 32])
  })
})
