import { hash32 } from '../core/hash.js'

/** Content of an answer of the stand-in backend server. */
export interface AnswerContent {
  readonly rootId: string
  readonly serviceName: string
  /** Drawn by the backend server for this run. */
  readonly runNumber: number
}

export type AnswerCheck =
  | { readonly kind: 'own' }
  /** The text is damaged or incomplete. */
  | { readonly kind: 'partial' }
  /** The text is whole but belongs to another call. */
  | { readonly kind: 'foreign' }

function digestOf ({ rootId, serviceName, runNumber }: AnswerContent): number {
  return hash32(`${rootId}|${serviceName}|${runNumber}`)
}

/**
 * Text of an answer, with a digest over its fields.
 *
 * @example
 * answerText({ rootId: 'r1', serviceName: 'depot-stock', runNumber: 5 })
 */
export function answerText (content: AnswerContent): string {
  return JSON.stringify({
    root: content.rootId, service: content.serviceName, number: content.runNumber, digest: digestOf(content)
  })
}

/**
 * Checks that a text is the whole answer to a call of this root at this service.
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
  if (digestOf(content) !== parsed['digest']) return { kind: 'partial' }
  return content.rootId === rootId && content.serviceName === serviceName ? { kind: 'own' } : { kind: 'foreign' }
}
