import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import { clearConfigurationDb, createConfigurationDb, setCurrent, type ConfigurationDb, type PartCredits } from './configurationDb.js'
import { isNewer } from './configurationDetector.js'
import type { Configuration, OfferResult, RouteRule } from './configurationTypes.js'

/**
 * Puts a configuration in force if it is newer than the current one.
 *
 * @example
 * offer(db, configuration, 0) // { kind: 'in_force', version: 7, replacedVersion: 0 }
 */
function offer (db: ConfigurationDb, offered: Configuration, nowMs: Millis): OfferResult {
  const currentVersion = db.current?.version ?? 0
  if (!isNewer(db, offered)) return { kind: 'not_newer', version: offered.version, currentVersion }
  setCurrent(db, offered, nowMs)
  return { kind: 'in_force', version: offered.version, replacedVersion: currentVersion }
}

/**
 * The rule of a host with the longest prefix of the path, or undefined.
 *
 * @example
 * matchRoute(db, 'shop.example', '/orders/7')?.name // 'orders'
 */
function matchRoute (db: ConfigurationDb, host: string, path: string): RouteRule | undefined {
  return db.rulesByHost.get(host)?.find(rule => path.startsWith(rule.pathPrefix))
}

/** Steps of the cycle that a node may be ahead at its start; weights are whole percents in practice. */
const START_STEPS_MAX_COUNT = 100

/** One step of smooth weighted round robin: the part with the greatest credit pays for all. */
function nextPart (credits: PartCredits, { parts }: RouteRule): string {
  let best = 0
  let totalWeight = 0
  for (let at = 0; at < parts.length; at++) {
    totalWeight += parts[at]!.weight
    credits[at]! += parts[at]!.weight
    if (credits[at]! > credits[best]!) best = at
  }
  credits[best]! -= totalWeight
  return parts[best]!.serviceName
}

/**
 * Chooses a service by the weights of a route. Smooth weighted round robin keeps
 * the share of each part even over short spans; a random start keeps the nodes
 * of a fleet from choosing the same part at the same moment.
 *
 * @example
 * choosePart(db, rule, Math.random) // 'depot-stock'
 */
function choosePart (db: ConfigurationDb, rule: RouteRule, random: RandomSource): string {
  const { parts } = rule
  if (parts.length === 1) return parts[0]!.serviceName
  let credits = db.credits.get(rule.name)
  if (credits === undefined || credits.length !== parts.length) {
    credits = parts.map(() => 0)
    db.credits.set(rule.name, credits)
    for (let step = Math.floor(random() * START_STEPS_MAX_COUNT); step > 0; step--) nextPart(credits, rule)
  }
  return nextPart(credits, rule)
}

/** The configuration family: the operator's declarations in force at this node. */
export const configurationDefinition = {
  createDb: createConfigurationDb,
  clear: clearConfigurationDb,
  offer,
  matchRoute,
  choosePart
}
