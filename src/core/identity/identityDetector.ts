import type { WorkspaceRule } from '../configuration/configurationTypes.js'
import type { IdentityDb } from './identityDb.js'

/** The workspace that holds a key, or undefined. */
export function workspaceOf (db: IdentityDb, key: string | null): WorkspaceRule | undefined {
  return key === null || key === '' ? undefined : db.workspaceByKey.get(key)
}
