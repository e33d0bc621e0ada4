import { replaceControlCharacters, tableLines } from '../report/reportTable.js'
import { Topic, type Finding, type FleetStatus } from './compareNodes.js'
import { assertNever } from '../errors/errors.js'

/** Maximum number of nodes listed with a finding; `--json` lists all. */
const NODES_MAX_COUNT = 10

function titleOf (topic: Topic): string {
  switch (topic) {
    case Topic.Documents: return 'Documents that differ'
    case Topic.RejectedEdits: return 'Rejected edits'
    case Topic.LeavingVms: return 'Leaving VMs'
    case Topic.Quarantined: return 'Quarantined requests'
    default: return assertNever(topic)
  }
}

function nodeRow (node: FleetStatus['nodes'][number]): Array<string | number> {
  const { gate, lease } = node
  const cutSuffix = gate.saturated ? ` cut ${gate.cutLevel}` : ''
  return [
    node.node_id, node.address, node.service, node.data_centre, node.state, node.backend_server,
    `${gate.inFlightCount}/${gate.limitCount} running, ${gate.queuedCount} queued${cutSuffix}`,
    lease === null ? 'none' : `list ${lease.listRevision}`, node.control_bytes_per_s
  ]
}

function findingLine ({ subject, detail, nodes, isShared }: Finding): string {
  const hiddenCount = nodes.length - NODES_MAX_COUNT
  const names = isShared ? 'all nodes' : nodes.slice(0, NODES_MAX_COUNT).join(', ') + (hiddenCount > 0 ? ` and ${hiddenCount} more` : '')
  return replaceControlCharacters(`  ${subject}, ${detail}: ${names}`).replaceAll('\n', '?')
}

function topicLines (topic: Topic, findings: readonly Finding[]): string[] {
  const shown = findings.filter(finding => finding.topic === topic && !(topic === Topic.Documents && finding.isShared))
  return shown.length === 0 ? [] : ['', titleOf(topic), ...shown.map(findingLine)]
}

/**
 * Renders one line for each node, then the findings. Documents that are the same at
 * all nodes are omitted.
 *
 * @example
 * process.stdout.write(statusText(compareNodes(asked)))
 */
export function statusText (fleet: FleetStatus): string {
  const headings = ['node', 'address', 'service', 'data centre', 'state', 'backend server', 'gate', 'lease', 'control B/s']
  const lines = [
    ...tableLines(headings, fleet.nodes.map(nodeRow)),
    ...Object.values(Topic).flatMap(topic => topicLines(topic, fleet.findings)),
    ...(fleet.unanswered.length === 0 ? [] : ['', 'Did not answer']),
    ...fleet.unanswered.map(({ address, reason }) => replaceControlCharacters(`  ${address}: ${reason}`).replaceAll('\n', '?')),
    '',
    `${fleet.nodes.length} nodes answered, ${fleet.unanswered.length} did not; ` +
    `${fleet.agrees ? 'all agree' : 'they do not all agree'}`
  ]
  return `${lines.join('\n')}\n`
}
