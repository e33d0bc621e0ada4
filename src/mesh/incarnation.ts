import type { RandomSource } from '../core/coreTypes.js'
import type { Hello } from './frames.js'
import type { MeshNodeSettings } from './meshNodeTypes.js'

/**
 * Random id of this process, 64 bits in hexadecimal. V8 seeds its random numbers from the operating system; the
 * module `node:crypto` would take 7 ms to load at each start.
 */
export function createIncarnation (random: RandomSource): string {
  const half = (): string => Math.floor(random() * 2 ** 32).toString(16).padStart(8, '0')
  return half() + half()
}

/** What a process says of itself at the start of a connection. */
export function createHello ({ ip, dataCentre, serviceName }: MeshNodeSettings, random: RandomSource): Hello {
  return { incarnation: createIncarnation(random), ip, dataCentre, serviceName, acceptsParts: true }
}
