import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import type { ListedServer } from '../discovery/discoveryTypes.js'
import { getOrCreateView, type PlacementDb } from './placementDb.js'
import { expectedWaitMs, isEjected, warmCapacityCount } from './placementDetector.js'
import {
  AwayReason, type GroupLoad, type LoadReport, type ServerChoice, type ServerView, type ServiceLoad
} from './placementTypes.js'

/** Servers compared for one call in this node's data centre, and elsewhere. More would let many nodes meet at one. */
const HOME_SAMPLE_COUNT = 5
const AWAY_SAMPLE_COUNT = 2
/** Servers looked at for one sample; servers that decline work or failed are passed over. */
const TRIES_MAX_COUNT = 20
/** Exponent of the free share of a server. Above 1 the choice returns to even load sooner. */
const FREE_EXPONENT = 2
/** Free share below which the weight of a server falls more slowly, so that full servers are told apart as well. */
const FREE_FLOOR_RATIO = 0.05
/** Bounds of the pace in a choice, so that a server that states a wrong pace is not flooded or left out. */
const PACE_COUNTED_MIN_RATIO = 0.6
const PACE_COUNTED_MAX_RATIO = 5
/** Age at which a report has lost most of its weight, in slot times: the calls that it counted have ended. */
const REPORT_LIFE_SLOT_TIMES = 2
/** Calls by which the comparison of a node's own open calls is damped, since a node has few at each server. */
const OPEN_DAMPING_COUNT = 1.5
const GROUP_TIME_CONSTANT_MS: Millis = 200
const GROUP_WEIGHT_MIN_RATIO = 0.03
const GROUP_WEIGHT_MAX_RATIO = 0.4
const SLOT_TIME_WEIGHT_RATIO = 0.02
const SERVER_SLOT_TIME_WEIGHT_RATIO = 0.15
/**
 * Calls that take longer than the stated pace by more than this factor count against the statement. Kinds of calls
 * differ as well, so a smaller difference proves nothing.
 */
const PACE_TRUSTED_FACTOR = 2
/** Age of the last report up to which the measured time of calls counts. */
const MEASURED_LIFE_MS: Millis = 1_000
const SPREAD_WEIGHT_RATIO = 0.02
/** Slot time assumed before the first answer. */
const SLOT_TIME_FIRST_MS: Millis = 100
/** Least gain in time for which a call goes to another data centre. */
const AWAY_HYSTERESIS_MS: Millis = 2
/**
 * Without reports, the load of a group counts less from the first of these ages on, and at the second the group is
 * assumed to have room. Otherwise a group that was full would get no calls, and so no reports, for ever.
 */
const GROUP_FORGET_FROM_MS: Millis = 500
const GROUP_FORGET_TO_MS: Millis = 2_000
const GROUP_ASSUMED_RATIO = 0.7
/** Factor by which the servers elsewhere have to be faster before the pace alone is a reason to leave. */
const AWAY_PACE_FACTOR = 2
/** A service counts as one without pace if none of its servers has stated one for this long. */
const PACE_LIFETIME_MS: Millis = 10_000

/** Which servers a call excludes, for reasons that other modules know. */
export type ServerFilter = (server: ListedServer, view: ServerView) => boolean

/** Whether the servers of a service have lately stated a pace. */
export function isPaced (service: ServiceLoad | undefined, nowMs: Millis): service is ServiceLoad {
  return service !== undefined && nowMs - service.paceStatedAtMs < PACE_LIFETIME_MS
}

function createGroup (): GroupLoad {
  return { utilizationRatio: GROUP_ASSUMED_RATIO, paceRatio: 1, reportedAtMs: -Infinity }
}

/** Mean utilization of a group, less while no reports arrive. */
function groupUtilizationRatio ({ utilizationRatio, reportedAtMs }: GroupLoad, nowMs: Millis): number {
  const beyondMs = nowMs - reportedAtMs - GROUP_FORGET_FROM_MS
  const forgottenRatio = Math.min(1, Math.max(0, beyondMs / (GROUP_FORGET_TO_MS - GROUP_FORGET_FROM_MS)))
  return utilizationRatio + Math.min(0, GROUP_ASSUMED_RATIO - utilizationRatio) * forgottenRatio
}

function recordInGroup (group: GroupLoad, load: LoadReport, nowMs: Millis): void {
  const utilizationRatio = (load.runningCount + load.queuedCount) / Math.max(1, load.limitCount)
  const elapsedMs = nowMs - group.reportedAtMs
  const weight = Math.min(GROUP_WEIGHT_MAX_RATIO, Math.max(GROUP_WEIGHT_MIN_RATIO, elapsedMs / GROUP_TIME_CONSTANT_MS))
  group.utilizationRatio += (utilizationRatio - group.utilizationRatio) * weight
  group.paceRatio += ((load.paceRatio ?? 1) - group.paceRatio) * weight
  group.reportedAtMs = nowMs
}

/**
 * Adds a report to the averages of the server's service, which exist from the first report with a pace on.
 * `slotMs` is the time for which the reported call held its slot, 0 if it did not run.
 */
export function recordServiceLoad (
  db: PlacementDb, server: ListedServer, load: LoadReport, slotMs: Millis, nowMs: Millis
): void {
  const { serviceName } = server
  let service = db.services.get(serviceName)
  if (service === undefined) {
    if (load.paceRatio === null) return
    service = {
      serviceName,
      home: createGroup(),
      away: createGroup(),
      slotMs: SLOT_TIME_FIRST_MS,
      paceStatedAtMs: nowMs,
      servers: [],
      homeServers: [],
      awayServers: [],
      spreadRatio: 0
    }
    db.services.set(serviceName, service)
  }
  if (load.paceRatio !== null) service.paceStatedAtMs = nowMs
  recordInGroup(server.dataCentre === db.settings.ownDataCentre ? service.home : service.away, load, nowMs)
  if (slotMs <= 0) return
  const view = getOrCreateView(db, server)
  view.slotMs += (slotMs - view.slotMs) * (view.slotMs === 0 ? 1 : SERVER_SLOT_TIME_WEIGHT_RATIO)
  service.slotMs += (slotMs / (load.paceRatio ?? 1) - service.slotMs) * SLOT_TIME_WEIGHT_RATIO
}

function useServers (db: PlacementDb, service: ServiceLoad, servers: readonly ListedServer[]): void {
  if (service.servers === servers) return
  service.servers = servers
  service.homeServers = servers.filter(({ dataCentre }) => dataCentre === db.settings.ownDataCentre)
  service.awayServers = servers.filter(({ dataCentre }) => dataCentre !== db.settings.ownDataCentre)
}

/**
 * Utilization that is expected of a server. A report tends with its age towards the mean of its group; the mean counts
 * higher at a server at which more of this node's own calls are open than usual, since the other nodes' calls stay
 * there as well.
 */
function estimateUtilizationRatio (
  view: ServerView, capacityCount: number, meanRatio: number, slotMs: Millis, openMeanCount: number, nowMs: Millis
): number {
  const openRatio = (view.outstandingCount + OPEN_DAMPING_COUNT) / (openMeanCount + OPEN_DAMPING_COUNT)
  const tendsTo = meanRatio * openRatio
  const { report } = view
  // Calls that ended without a report, such as abandoned ones, no longer load the server.
  const sentRatio = Math.min(view.sentSinceReportCount, view.outstandingCount) / capacityCount
  if (report === null) return tendsTo + sentRatio + view.shedRatio
  const lifeMs = slotMs * REPORT_LIFE_SLOT_TIMES * (report.paceRatio ?? 1)
  const weight = Math.exp((view.reportedAtMs - nowMs) / lifeMs)
  const reported = (report.runningCount + report.queuedCount) / capacityCount
  const expected = tendsTo + (reported - tendsTo) * weight + sentRatio
  return Math.max(expected, view.outstandingCount / capacityCount) + view.shedRatio
}

/** Weight of the free share of a server; falls on steadily above full utilization, where calls wait. */
function freeWeight (utilizationRatio: number): number {
  const free = 1 - utilizationRatio
  const counted = free >= FREE_FLOOR_RATIO ? free : FREE_FLOOR_RATIO ** 2 / (2 * FREE_FLOOR_RATIO - free)
  return counted ** FREE_EXPONENT
}

/** Pace that counts in a choice: the stated one, or a part of the measured one if the calls take far longer. */
function countedPaceRatio (view: ServerView, service: ServiceLoad, nowMs: Millis): number {
  const isRecent = nowMs - view.reportedAtMs < MEASURED_LIFE_MS
  const measuredRatio = isRecent ? view.slotMs / (service.slotMs * PACE_TRUSTED_FACTOR) : 0
  const paceRatio = Math.max(view.report?.paceRatio ?? 1, measuredRatio)
  return Math.min(PACE_COUNTED_MAX_RATIO, Math.max(PACE_COUNTED_MIN_RATIO, paceRatio))
}

interface Candidate {
  readonly server: ListedServer
  readonly weight: number
  readonly utilizationRatio: number
}

/**
 * Draws up to `countMax` usable servers without repetition, with a bounded number of tries. The drawn ones move to the
 * front of the array, whose order has no meaning.
 */
function sample (
  db: PlacementDb, service: ServiceLoad, servers: ListedServer[], group: GroupLoad, countMax: number,
  accepts: ServerFilter, nowMs: Millis, random: RandomSource
): Candidate[] {
  const chosen: Array<{ server: ListedServer, view: ServerView }> = []
  const triesCount = Math.min(servers.length, TRIES_MAX_COUNT)
  let openCount = 0
  for (let at = 0; at < triesCount && chosen.length < countMax; at++) {
    const other = at + Math.floor(random() * (servers.length - at))
    const server = servers[other]!
    servers[other] = servers[at]!
    servers[at] = server
    const view = getOrCreateView(db, server)
    if (!accepts(server, view) || nowMs < view.limitedUntilMs || isEjected(view, nowMs)) continue
    openCount += view.outstandingCount
    chosen.push({ server, view })
  }
  const meanRatio = groupUtilizationRatio(group, nowMs)
  return chosen.map(({ server, view }) => {
    const capacityCount = warmCapacityCount(server, view, nowMs)
    const utilizationRatio = estimateUtilizationRatio(
      view, capacityCount, meanRatio, service.slotMs, openCount / chosen.length, nowMs
    )
    const weight = capacityCount * freeWeight(utilizationRatio) / countedPaceRatio(view, service, nowMs)
    return { server, weight, utilizationRatio }
  })
}

function draw (candidates: readonly Candidate[], random: RandomSource): ListedServer {
  let left = random() * candidates.reduce((sum, { weight }) => sum + weight, 0)
  for (const { server, weight } of candidates) {
    left -= weight
    if (left < 0) return server
  }
  return candidates.at(-1)!.server
}

function recordSpread (service: ServiceLoad, candidates: readonly Candidate[]): void {
  if (candidates.length < 2) return
  let least = Infinity
  let most = 0
  for (const { utilizationRatio } of candidates) {
    least = Math.min(least, utilizationRatio)
    most = Math.max(most, utilizationRatio)
  }
  service.spreadRatio += (most - least - service.spreadRatio) * SPREAD_WEIGHT_RATIO
}

/**
 * Share of their weight with which servers elsewhere take part in the draw: 0 while calls are expected to wait at home
 * for less than the network path and the hysteresis take, and towards 1 as the wait at home exceeds this. It has no
 * steps, so that the nodes of a data centre do not all turn at once.
 */
function awayShare (
  db: PlacementDb, service: ServiceLoad, home: readonly Candidate[], nowMs: Millis
): { readonly ratio: number, readonly reason: AwayReason } {
  const { slotMs } = service
  const homeSlotsCount = home.reduce((sum, { server }) => sum + server.slotsCount, 0)
  const awaySlotsCount = homeSlotsCount / home.length * Math.min(service.awayServers.length, HOME_SAMPLE_COUNT)
  const waitHomeMs = expectedWaitMs(
    groupUtilizationRatio(service.home, nowMs), homeSlotsCount, slotMs * service.home.paceRatio
  )
  const waitAwayMs = expectedWaitMs(
    groupUtilizationRatio(service.away, nowMs), awaySlotsCount, slotMs * service.away.paceRatio
  )
  const slowerMs = Math.max(0, service.home.paceRatio - AWAY_PACE_FACTOR * service.away.paceRatio) * slotMs
  const gainMs = waitHomeMs + slowerMs - waitAwayMs - db.settings.remotePathMs - AWAY_HYSTERESIS_MS
  const reason = slowerMs > waitHomeMs ? AwayReason.SlowAtHome : AwayReason.WaitAtHome
  return { ratio: gainMs <= 0 ? 0 : gainMs / (waitHomeMs + slowerMs), reason }
}

/**
 * Chooses a server in proportion to expected free capacity from a bounded random sample, or undefined if the sample has
 * no usable server. For services whose servers state a pace.
 */
export function chooseEvenly (
  db: PlacementDb, service: ServiceLoad, servers: readonly ListedServer[], accepts: ServerFilter, nowMs: Millis,
  random: RandomSource
): ServerChoice | undefined {
  useServers(db, service, servers)
  const { homeServers, awayServers, home, away } = service
  const atHome = sample(db, service, homeServers, home, HOME_SAMPLE_COUNT, accepts, nowMs, random)
  recordSpread(service, atHome)
  if (atHome.length === 0) {
    const elsewhere = sample(db, service, awayServers, away, HOME_SAMPLE_COUNT, accepts, nowMs, random)
    if (elsewhere.length === 0) return undefined
    recordSpread(service, elsewhere)
    return { server: draw(elsewhere, random), awayReason: AwayReason.NoServerAtHome }
  }
  const share = awayServers.length === 0 ? null : awayShare(db, service, atHome, nowMs)
  if (share === null || share.ratio === 0) return { server: draw(atHome, random), awayReason: null }
  const elsewhere = sample(db, service, awayServers, away, AWAY_SAMPLE_COUNT, accepts, nowMs, random)
  const server = draw([
    ...atHome, ...elsewhere.map(candidate => ({ ...candidate, weight: candidate.weight * share.ratio }))
  ], random)
  return { server, awayReason: server.dataCentre === db.settings.ownDataCentre ? null : share.reason }
}
