import { hash32 } from '../core/hash.js'

/** Content of an answer of the stand-in backend server. */
export interface AnswerContent {
  readonly rootId: string
  readonly serviceName: string
  /** Random number that the backend server draws for each run. */
  readonly runNumber: number
}

export type AnswerCheck =
  /** The text is complete and belongs to the call. */
  | { readonly kind: 'own' }
  /** The text is damaged or incomplete. */
  | { readonly kind: 'partial' }
  /** The text is complete but belongs to another call. */
  | { readonly kind: 'foreign' }

function answerDigest ({ rootId, serviceName, runNumber }: AnswerContent): number {
  return hash32(`${rootId}|${serviceName}|${runNumber}`)
}

/**
 * Serialises an answer as JSON with a digest of its fields.
 *
 * @example
 * answerText({ rootId: 'r1', serviceName: 'depot-stock', runNumber: 5 })
 */
export function answerText (content: AnswerContent): string {
  return JSON.stringify({
    root: content.rootId, service: content.serviceName, number: content.runNumber, digest: answerDigest(content)
  })
}

/**
 * Checks whether a text is a complete answer to a call of this root request to this service.
 *
 * @example
 * checkAnswer(answerText(content), content.rootId, content.serviceName) // { kind: 'own' }
 */
export function checkAnswer (text: string, rootId: string, serviceName: string): AnswerCheck {
  let parsed: Record<string, unknown>
  try {
    parsed = JSON.parse(text) as Record<string, unknown>
  } catch {
    return { kind: 'partial' }
  }
  const content = {
    rootId: String(parsed['root']), serviceName: String(parsed['service']), runNumber: Number(parsed['number'])
  }
  if (answerDigest(content) !== parsed['digest']) return { kind: 'partial' }
  return content.rootId === rootId && content.serviceName === serviceName ? { kind: 'own' } : { kind: 'foreign' }
}
