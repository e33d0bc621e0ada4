import type { WorkspaceRule } from '../configuration/configurationTypes.js'
import { clearIdentityDb, createIdentityDb, type IdentityDb } from './identityDb.js'
import { workspaceOf } from './identityDetector.js'
import type { IdentityRequest, IdentityResult } from './identityTypes.js'

const ANONYMOUS: IdentityResult = { kind: 'anonymous' }
const UNKNOWN: IdentityResult = { kind: 'unknown' }

/** Replaces the workspaces by those of a new configuration. */
function setWorkspaces (db: IdentityDb, workspaces: ReadonlyMap<string, WorkspaceRule>): void {
  const workspaceByKey = new Map<string, WorkspaceRule>()
  for (const workspace of workspaces.values()) for (const key of workspace.keys) workspaceByKey.set(key, workspace)
  db.needsKeys = workspaces.size > 0
  db.workspaceByKey = workspaceByKey
}

/**
 * Identifies who sent a request. A known key identifies its workspace on anonymous routes too; an unknown one there
 * is ignored.
 *
 * @example
 * identify(db, { key: 'edev3nax', allowsAnonymous: false, isSubCall: false }) // { kind: 'workspace', workspace }
 */
function identify (db: IdentityDb, { key, allowsAnonymous, isSubCall }: IdentityRequest): IdentityResult {
  if (!db.needsKeys || isSubCall) return ANONYMOUS
  const workspace = workspaceOf(db, key)
  if (workspace !== undefined) return { kind: 'workspace', workspace }
  return allowsAnonymous ? ANONYMOUS : UNKNOWN
}

/** The identity module: which workspace a request is from, by its key. */
export const identityDefinition = {
  createDb: createIdentityDb,
  clear: clearIdentityDb,
  setWorkspaces,
  identify
}
