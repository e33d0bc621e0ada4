import type { Millis } from '../../clock/clock.js'
import type { Configuration, RouteRule } from './configurationTypes.js'

/** Current weight of each service of a route in smooth weighted round robin. */
export type ServiceCredits = number[]

/** State of the configuration module. */
export interface ConfigurationDb {
  current: Configuration | null
  inForceSinceMs: Millis
  /** Rules of each host, sorted by path prefix from the longest to the shortest. */
  rulesByHost: Map<string, RouteRule[]>
  /** Round-robin state by route name, for routes with several services. */
  readonly creditsByRoute: Map<string, ServiceCredits>
}

/** Creates the state of a node that has no configuration yet. */
export function createConfigurationDb (): ConfigurationDb {
  return { current: null, inForceSinceMs: 0, rulesByHost: new Map(), creditsByRoute: new Map() }
}

/** Resets the state to that of a node without a configuration. */
export function clearConfigurationDb (db: ConfigurationDb): void {
  db.current = null
  db.inForceSinceMs = 0
  db.rulesByHost = new Map()
  db.creditsByRoute.clear()
}

/** Replaces the configuration and its lookup table, and drops the round-robin state of removed routes. */
export function setCurrent (db: ConfigurationDb, configuration: Configuration, nowMs: Millis): void {
  const rulesByHost = new Map<string, RouteRule[]>()
  for (const rule of configuration.routes) {
    const rules = rulesByHost.get(rule.host)
    if (rules === undefined) rulesByHost.set(rule.host, [rule])
    else rules.push(rule)
  }
  for (const rules of rulesByHost.values()) rules.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  db.current = configuration
  db.inForceSinceMs = nowMs
  db.rulesByHost = rulesByHost
  for (const name of db.creditsByRoute.keys()) {
    if (!configuration.routes.some(rule => rule.name === name)) db.creditsByRoute.delete(name)
  }
}
