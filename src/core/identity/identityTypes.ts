import type { WorkspaceRule } from '../configuration/configurationTypes.js'

/** What the identity of a request is derived from. */
export interface IdentityRequest {
  /** The key that the request carries, or null without one. */
  readonly key: string | null
  /** Whether its route serves requests without a key. */
  readonly allowsAnonymous: boolean
  /** Whether the backend server beside this node made it while it ran another request. Sub-calls carry no key. */
  readonly isSubCall: boolean
}

/** Who sent a request. */
export type Identity =
  | { readonly kind: 'workspace', readonly workspace: WorkspaceRule }
  /** Nobody in particular: the request needs no key. */
  | { readonly kind: 'anonymous' }

/** Identity of a request, or that it needs a key and has none that is known. */
export type IdentityResult = Identity | { readonly kind: 'unknown' }
