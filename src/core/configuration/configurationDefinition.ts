import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import { clearConfigurationDb, createConfigurationDb, setCurrent, type ConfigurationDb } from './configurationDb.js'
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
  const totalWeight = parts.reduce((sum, part) => sum + part.weight, 0)
  let credits = db.credits.get(rule.name)
  if (credits === undefined || credits.length !== parts.length) {
    const phase = random()
    credits = parts.map(part => (phase - 0.5) * part.weight)
    db.credits.set(rule.name, credits)
  }
  let best = 0
  for (let at = 0; at < parts.length; at++) {
    credits[at]! += parts[at]!.weight
    if (credits[at]! > credits[best]!) best = at
  }
  credits[best]! -= totalWeight
  return parts[best]!.serviceName
}

/** The configuration family: the operator's declarations in force at this node. */
export const configurationDefinition = {
  createDb: createConfigurationDb,
  clear: clearConfigurationDb,
  offer,
  matchRoute,
  choosePart
}
