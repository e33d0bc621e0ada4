import type { ConfigurationDb } from './configurationDb.js'
import type { Configuration } from './configurationTypes.js'

/** Whether a configuration is newer than the one in force; versions never go back. */
export function isNewer (db: ConfigurationDb, offered: Configuration): boolean {
  return db.current === null || offered.version > db.current.version
}
