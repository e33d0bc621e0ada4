import { clearSpreadDb, createSpreadDb, recordSeen, setMembers, type SpreadDb } from './spreadDb.js'
import { isMember, isOwnMember } from './spreadDetector.js'
import type { SpreadId, SpreadReceipt, SpreadTarget, TreeNumber } from './spreadTypes.js'

const TREES: readonly TreeNumber[] = [0, 1]
/** Children of a node in a tree: three levels reach 258 nodes of a data centre. */
const CHILDREN_MAX_COUNT = 6

/** Whether a connection to the node works, as far as is known here. */
export type IsUsable = (ip: string) => boolean

/** A place in one of the trees of a data centre. */
interface TreePlace {
  readonly members: readonly string[]
  readonly tree: TreeNumber
  readonly position: number
}

/**
 * The second tree has the reverse order, so that the inner nodes of one tree are leaves of the other one
 * and the loss of a node interrupts one tree at most.
 */
function memberAt (members: readonly string[], tree: TreeNumber, position: number): string | undefined {
  return tree === 0 ? members[position] : members[members.length - 1 - position]
}

function positionInTree (db: SpreadDb, members: readonly string[], tree: TreeNumber, ip: string): number {
  const position = db.positionByIp.get(ip)!
  return tree === 0 ? position : members.length - 1 - position
}

/**
 * Adds a node to the targets. While its connection does not work, its children get the copy
 * instead, so that the nodes below it are not cut off; it is still tried itself.
 */
function addTarget (db: SpreadDb, place: TreePlace, isUsable: IsUsable, targets: SpreadTarget[]): void {
  const ip = memberAt(place.members, place.tree, place.position)
  if (ip === undefined) return
  const isOwn = ip === db.own.ip
  if (!isOwn) targets.push({ ip, tree: place.tree })
  if (isOwn || !isUsable(ip)) addChildren(db, place, isUsable, targets)
}

function addChildren (db: SpreadDb, place: TreePlace, isUsable: IsUsable, targets: SpreadTarget[]): void {
  const first = place.position * CHILDREN_MAX_COUNT + 1
  for (let position = first; position < first + CHILDREN_MAX_COUNT; position++) {
    addTarget(db, { ...place, position }, isUsable, targets)
  }
}

/**
 * Neighbours to which this node forwards a copy that it received along a tree.
 *
 * @example
 * forwardTargets(db, 0, ip => links.isOpen(ip)) // [{ ip: '10.1.0.7', tree: 0 }]
 */
function forwardTargets (db: SpreadDb, tree: TreeNumber, isUsable: IsUsable): SpreadTarget[] {
  const members = db.membersByDataCentre.get(db.own.dataCentre)
  const targets: SpreadTarget[] = []
  if (members === undefined || !isMember(db, db.own.ip)) return targets
  const position = positionInTree(db, members, tree, db.own.ip)
  addChildren(db, { members, tree, position }, isUsable, targets)
  return targets
}

/** Neighbours to which this node sends a notice of its own: the roots of both trees of each data centre. */
function publishTargets (db: SpreadDb, isUsable: IsUsable): SpreadTarget[] {
  const targets: SpreadTarget[] = []
  for (const members of db.membersByDataCentre.values()) {
    for (const tree of TREES) addTarget(db, { members, tree, position: 0 }, isUsable, targets)
  }
  return targets
}

/**
 * Nodes to which this node keeps connections for the spread: its children in both trees. A node that is in
 * no server list has no place in the trees; it connects to the roots of its data centre, which forward to it.
 */
function permanentNeighbours (db: SpreadDb): ReadonlySet<string> {
  if (isOwnMember(db)) {
    return new Set(TREES.flatMap(tree => forwardTargets(db, tree, () => true)).map(({ ip }) => ip))
  }
  const [anyMembers] = db.membersByDataCentre.values()
  const members = db.membersByDataCentre.get(db.own.dataCentre) ?? anyMembers ?? []
  return new Set(TREES.flatMap(tree => memberAt(members, tree, 0) ?? []))
}

/** The identity of the next notice of this node. */
function nextId (db: SpreadDb, origin: string): SpreadId {
  db.lastNumber += 1
  recordSeen(db, `${origin}:${db.lastNumber}`)
  return { origin, number: db.lastNumber }
}

/** Records a received copy and tells whether the notice has to be handled and forwarded. */
function recordReceipt (db: SpreadDb, { origin, number }: SpreadId, tree: TreeNumber): SpreadReceipt {
  return {
    isFirstCopy: recordSeen(db, `${origin}:${number}`),
    isFirstOnTree: recordSeen(db, `${origin}:${number}:${tree}`)
  }
}

/**
 * The spread module: brings notices to all nodes over few connections. Each data centre has two trees over its
 * nodes; a notice is sent to the roots of all trees and forwarded from parents to children.
 */
export const spreadDefinition = {
  createDb: createSpreadDb,
  clear: clearSpreadDb,
  setMembers,
  isMember,
  forwardTargets,
  publishTargets,
  permanentNeighbours,
  nextId,
  recordReceipt
}
