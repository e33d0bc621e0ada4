import { readFileSync } from 'node:fs'

/** Folders above this module in which package.json may lie: the source, its build and the bundle differ in depth. */
const FOLDERS = ['../', '../../', '../../../']

/** Version of the package, or `unknown` where package.json is not at hand. */
export function packageVersion (): string {
  for (const folder of FOLDERS) {
    try {
      const text = readFileSync(new URL(`${folder}package.json`, import.meta.url), 'utf8')
      return (JSON.parse(text) as { version: string }).version
    } catch { /* The next folder may have it. */ }
  }
  return 'unknown'
}
