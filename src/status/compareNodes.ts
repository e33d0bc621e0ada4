import type { NodeAnswer, NodeStatus } from './nodeStatus.js'

/** Parts of the node status that are compared. */
export enum Topic {
  Documents = 'documents',
  RejectedEdits = 'rejected_edits',
  LeavingVms = 'leaving_vms',
  Quarantined = 'quarantined'
}

/** An observation, such as a document version in use, and the nodes that reported it. */
export interface Finding {
  readonly topic: Topic
  /** What the finding is about, such as a service. */
  readonly subject: string
  readonly detail: string
  readonly nodes: readonly string[]
  /** Whether all nodes that answered reported it. */
  readonly isShared: boolean
}

/** Status of all requested nodes and how they differ. */
export interface FleetStatus {
  readonly nodes: ReadonlyArray<NodeStatus & { readonly address: string }>
  readonly unanswered: ReadonlyArray<{ readonly address: string, readonly reason: string }>
  readonly findings: readonly Finding[]
  readonly agrees: boolean
}

interface NodeFinding { readonly topic: Topic, readonly subject: string, readonly detail: string }

const NOT_HELD = 'not held'

function findingsOfNode (status: NodeStatus, services: ReadonlySet<string>): NodeFinding[] {
  const held = new Map(status.documents.map(document => [document.service, document]))
  const documents = [...services].map(service => {
    const document = held.get(service)
    const detail = document === undefined ? NOT_HELD : `version ${document.version} (revision ${document.revision})`
    return { topic: Topic.Documents, subject: service, detail }
  })
  const rejected = status.rejected_documents.map(({ key, revision, faults }) => {
    const [fault] = faults
    const firstFaultText = fault === undefined ? '' : `: line ${fault.line ?? 1}: ${fault.path}: ${fault.reason}`
    const otherFaultsText = faults.length > 1 ? `; ${faults.length - 1} more faults` : ''
    return { topic: Topic.RejectedEdits, subject: key, detail: `revision ${revision}${firstFaultText}${otherFaultsText}` }
  })
  const leaving = status.leaving_vms.map(vm => ({ topic: Topic.LeavingVms, subject: vm, detail: 'leaving' }))
  // `untilMs` is not compared: it depends on how long the quarantine hint took to reach the node.
  const quarantined = status.quarantined.map(({ fingerprint }) => (
    {
      topic: Topic.Quarantined,
      subject: `${fingerprint.serviceName} ${fingerprint.routeName}`,
      detail: `body hash ${fingerprint.bodyHash.toString(16).padStart(8, '0')}`
    }))
  return [...documents, ...rejected, ...leaving, ...quarantined]
}

function mergeFindings (nodes: FleetStatus['nodes']): Finding[] {
  const services = new Set(nodes.flatMap(node => node.documents.map(document => document.service)).sort())
  const findingsByKey = new Map<string, NodeFinding & { readonly nodes: Set<string> }>()
  for (const node of nodes) {
    for (const nodeFinding of findingsOfNode(node, services)) {
      const key = JSON.stringify(nodeFinding)
      const known = findingsByKey.get(key) ?? { ...nodeFinding, nodes: new Set<string>() }
      known.nodes.add(uniqueNodeName(node))
      findingsByKey.set(key, known)
    }
  }
  const names = new Set(nodes.map(uniqueNodeName))
  const topics = Object.values(Topic)
  return [...findingsByKey.values()]
    .map(finding => ({ ...finding, nodes: [...finding.nodes], isShared: finding.nodes.size === names.size }))
    .sort((a, b) => topics.indexOf(a.topic) - topics.indexOf(b.topic) ||
      (a.subject === b.subject ? b.nodes.length - a.nodes.length : a.subject < b.subject ? -1 : 1))
}

/** Includes the address, so that two nodes started with the same id remain distinct. */
function uniqueNodeName ({ node_id: nodeId, address }: FleetStatus['nodes'][number]): string {
  return `${nodeId}@${address}`
}

/**
 * Compares the statuses of nodes. They agree if all nodes answered and each finding
 * was reported by all of them.
 *
 * @example
 * compareNodes(await requestNodeStatuses(addresses, options)).agrees
 */
export function compareNodes (answers: readonly NodeAnswer[]): FleetStatus {
  const nodes = answers.flatMap(({ address, result }) => result.map(status => [{ address, ...status }]).orDefault([]))
  const unanswered = answers.flatMap(({ address, result }) =>
    result.swap().map(reason => [{ address, reason }]).orDefault([]))
  const findings = mergeFindings(nodes)
  const agrees = unanswered.length === 0 && findings.every(finding => finding.isShared)
  return { nodes, unanswered, findings, agrees }
}
