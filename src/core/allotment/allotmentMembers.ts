import type { Millis } from '../../clock/clock.js'
import { rankByRendezvous } from '../hash.js'
import type { AllotmentDb } from './allotmentDb.js'
import { silenceMs } from './allotmentDetector.js'
import type { AllotmentMember } from './allotmentTypes.js'

/** Reports without an answer after which another coordinator is used. */
const UNANSWERED_MAX_COUNT = 3
/** How long a coordinator that did not answer is avoided. */
const AVOIDED_MS: Millis = 5_000

type IsUsable = (ip: string) => boolean

/** Sets the nodes of the fleet and the order in which those of a data centre become its coordinator. */
export function setMembers (db: AllotmentDb, members: Iterable<AllotmentMember>): void {
  const ipsByDataCentre = new Map<string, Set<string>>()
  for (const { ip, dataCentre } of members) {
    const ips = ipsByDataCentre.get(dataCentre)
    if (ips === undefined) ipsByDataCentre.set(dataCentre, new Set([ip]))
    else ips.add(ip)
  }
  const orders = [...ipsByDataCentre].map(([dataCentre, ips]): [string, string[]] => {
    return [dataCentre, rankByRendezvous(`allotment|${dataCentre}`, [...ips], ip => ip)]
  })
  db.orderByDataCentre = new Map(orders)
  db.nodesCount = Math.max(1, orders.reduce((sum, [, ips]) => sum + ips.length, 0))
  if (db.coordinator === null) return
  const listed = new Set(db.orderByDataCentre.get(db.own.dataCentre))
  for (const ip of db.coordinator.nodes.keys()) if (!listed.has(ip)) db.coordinator.nodes.delete(ip)
}

function firstUsable (db: AllotmentDb, ips: readonly string[], isUsable: IsUsable, nowMs: Millis): string | null {
  const usable = ips.filter(ip => ip === db.own.ip || isUsable(ip))
  return usable.find(ip => (db.avoidedUntilMs.get(ip) ?? -Infinity) <= nowMs) ?? usable[0] ?? null
}

/** The node that this one reports to: the first usable one of its data centre, possibly itself. Null without any. */
export function chooseCoordinator (db: AllotmentDb, isUsable: IsUsable, nowMs: Millis): string | null {
  return firstUsable(db, db.orderByDataCentre.get(db.own.dataCentre) ?? [], isUsable, nowMs)
}

/** Counts reports without an answer, and avoids a coordinator that gives none. */
export function recordUnanswered (db: AllotmentDb, coordinatorIp: string, nowMs: Millis): void {
  if (coordinatorIp !== db.reportedTo) db.unansweredCount = 0
  db.reportedTo = coordinatorIp
  if (coordinatorIp === db.own.ip) return
  db.unansweredCount += 1
  if (db.unansweredCount > UNANSWERED_MAX_COUNT) db.avoidedUntilMs.set(coordinatorIp, nowMs + AVOIDED_MS)
}

/**
 * Nodes that get the sums of this coordinator: the coordinator of each data centre as this node sees it, and those
 * that it has heard from, which their own data centres may have chosen instead.
 */
export function exchangeTargets (db: AllotmentDb, isUsable: IsUsable, nowMs: Millis): string[] {
  const targets = new Set<string>()
  for (const ips of db.orderByDataCentre.values()) {
    const ip = firstUsable(db, ips, isUsable, nowMs)
    if (ip !== null) targets.add(ip)
  }
  for (const [ip, { heardAtMs }] of db.coordinator?.others ?? []) {
    if (nowMs - heardAtMs <= silenceMs(db)) targets.add(ip)
  }
  targets.delete(db.own.ip)
  return [...targets]
}
