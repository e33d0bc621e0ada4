import type { Millis } from '../../clock/clock.js'
import type { Configuration, RouteRule } from './configurationTypes.js'

/** Running credit of each part of a divided route. */
export type PartCredits = number[]

export interface ConfigurationDb {
  current: Configuration | null
  inForceSinceMs: Millis
  /** Rules of each host, the longest prefix first. */
  rulesByHost: Map<string, RouteRule[]>
  readonly credits: Map<string, PartCredits>
}

/** Makes the state of a node that knows no configuration yet. */
export function createConfigurationDb (): ConfigurationDb {
  return { current: null, inForceSinceMs: 0, rulesByHost: new Map(), credits: new Map() }
}

/** Empties the state. */
export function clearConfigurationDb (db: ConfigurationDb): void {
  db.current = null
  db.inForceSinceMs = 0
  db.rulesByHost = new Map()
  db.credits.clear()
}

/** Replaces the configuration and its lookup table. */
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
  for (const name of db.credits.keys()) {
    if (!configuration.routes.some(rule => rule.name === name)) db.credits.delete(name)
  }
}
