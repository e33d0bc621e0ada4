import type { ConfigurationDb } from './configurationDb.js'
import type { Configuration } from './configurationTypes.js'

/** Whether a configuration has a greater version than the one in force. */
export function isNewer (db: ConfigurationDb, offered: Configuration): boolean {
  return db.current === null || offered.version > db.current.version
}
