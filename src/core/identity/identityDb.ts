import type { WorkspaceRule } from '../configuration/configurationTypes.js'

/** State of the identity module: the workspaces of the configuration in force, by key. */
export interface IdentityDb {
  /** Whether the configuration has workspaces, so that requests need a key. */
  needsKeys: boolean
  workspaceByKey: ReadonlyMap<string, WorkspaceRule>
}

export function createIdentityDb (): IdentityDb {
  return { needsKeys: false, workspaceByKey: new Map() }
}

/** Resets the state to that of a node without a configuration. */
export function clearIdentityDb (db: IdentityDb): void {
  db.needsKeys = false
  db.workspaceByKey = new Map()
}
