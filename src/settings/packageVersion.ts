import { readFileSync } from 'node:fs'

/** Possible folders of package.json relative to this module: source, build and bundle differ in depth. */
const FOLDERS = ['../', '../../', '../../../']

/** Version of the package, or `unknown` if package.json is not found. */
export function packageVersion (): string {
  for (const folder of FOLDERS) {
    try {
      const text = readFileSync(new URL(`${folder}package.json`, import.meta.url), 'utf8')
      return (JSON.parse(text) as { version: string }).version
    } catch { /* Not in this folder; try the next one. */ }
  }
  return 'unknown'
}
