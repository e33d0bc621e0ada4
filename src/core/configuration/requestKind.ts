import { assertNever } from '../../errors/errors.js'

/** What the operator states about the requests of a route. Further kinds are added here. */
export type RequestKind =
  /** May be executed more than once. */
  | { readonly kind: 'repeatable' }
  /** Must be executed at most once for each attempt of its caller. */
  | { readonly kind: 'at_most_once' }
  /** Has a large body and must be executed at most once for each attempt of its caller. */
  | { readonly kind: 'upload' }
  /** A kind that this version does not know, under the operator's name. */
  | { readonly kind: 'unrecognized', readonly name: string }

/**
 * Whether a request that may have run may be sent to another backend server. A kind
 * that this version does not know is executed at most once, since that is correct for every kind.
 *
 * @example
 * mayRepeat({ kind: 'upload' }) // false
 */
export function mayRepeat (requestKind: RequestKind): boolean {
  switch (requestKind.kind) {
    case 'repeatable': return true
    case 'at_most_once':
    case 'upload':
    case 'unrecognized': return false
    default: return assertNever(requestKind)
  }
}

/** A route whose kind of request this version does not know. */
export interface UnrecognizedKind {
  readonly routeName: string
  readonly value: string
  readonly remedy: string
}

const UNRECOGNIZED_REMEDY = 'its requests are executed at most once; install a version that knows this kind, or use a known one'

/**
 * The routes whose kinds of requests this version does not know, with what the node does instead and what an
 * operator can do.
 *
 * @example
 * findUnrecognizedKinds(configuration.routes).map(({ routeName }) => routeName) // ['r7']
 */
export function findUnrecognizedKinds (
  routes: ReadonlyArray<{ readonly name: string, readonly requestKind: RequestKind }>
): UnrecognizedKind[] {
  return routes.flatMap(({ name, requestKind }) => requestKind.kind === 'unrecognized'
    ? [{ routeName: name, value: requestKind.name, remedy: UNRECOGNIZED_REMEDY }]
    : [])
}
