import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import { clearConfigurationDb, createConfigurationDb, setCurrent, type ConfigurationDb, type ServiceCredits } from './configurationDb.js'
import { isNewer } from './configurationDetector.js'
import type { Configuration, ActivationResult, RouteRule } from './configurationTypes.js'

/**
 * Puts a configuration in force if its version is greater than the current one.
 *
 * @example
 * activateIfNewer(db, configuration, 0) // { kind: 'in_force', version: 7, replacedVersion: 0 }
 */
function activateIfNewer (db: ConfigurationDb, offered: Configuration, nowMs: Millis): ActivationResult {
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
 * Largest random offset of a node in the round-robin cycle at its start. Weights
 * are whole percents in practice, so 100 steps cover a full cycle.
 */
const START_OFFSET_MAX_STEPS = 100

/**
 * One step of smooth weighted round robin: adds each service's weight to its
 * credit, chooses the service with the greatest credit and subtracts the sum of
 * all weights from it.
 */
function nextWeightedService (credits: ServiceCredits, { parts }: RouteRule): string {
  let bestIndex = 0
  let totalWeight = 0
  for (let index = 0; index < parts.length; index++) {
    totalWeight += parts[index]!.weight
    credits[index]! += parts[index]!.weight
    if (credits[index]! > credits[bestIndex]!) bestIndex = index
  }
  credits[bestIndex]! -= totalWeight
  return parts[bestIndex]!.serviceName
}

/**
 * Chooses a service by the weights of a route. Smooth weighted round robin keeps
 * each service close to its weight even over short sequences of requests. A random
 * initial offset prevents the nodes of a fleet from choosing the same service at
 * the same time.
 *
 * @example
 * chooseService(db, rule, Math.random) // 'depot-stock'
 */
function chooseService (db: ConfigurationDb, rule: RouteRule, random: RandomSource): string {
  const { parts } = rule
  if (parts.length === 1) return parts[0]!.serviceName
  let credits = db.creditsByRoute.get(rule.name)
  if (credits === undefined || credits.length !== parts.length) {
    credits = parts.map(() => 0)
    db.creditsByRoute.set(rule.name, credits)
    for (let step = Math.floor(random() * START_OFFSET_MAX_STEPS); step > 0; step--) nextWeightedService(credits, rule)
  }
  return nextWeightedService(credits, rule)
}

/** Configuration: the operators' routes, services and limits in force at this node. */
export const configurationDefinition = {
  createDb: createConfigurationDb,
  clear: clearConfigurationDb,
  activateIfNewer,
  matchRoute,
  chooseService
}
