import { DEFAULT_CALLER_NAME } from './documentsSchema.js'
import type { CallerPolicy, RouteConfig, ServiceDocument } from './documentsTypes.js'
import { coversPath, hasDotSegments } from './documentsDetector.js'

/** Lookup tables of one document. */
interface DocumentIndex {
  /** Routes of each method, longest prefix first. */
  readonly routesByMethod: ReadonlyMap<string, readonly RouteConfig[]>
  readonly policiesByCaller: ReadonlyMap<string, CallerPolicy>
  readonly defaultPolicy: CallerPolicy
}

const indexes = new WeakMap<ServiceDocument, DocumentIndex>()

function buildIndex (document: ServiceDocument): DocumentIndex {
  const routesByMethod = new Map<string, RouteConfig[]>()
  const longestFirst = [...document.routes].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  for (const route of longestFirst) {
    routesByMethod.set(route.method, [...routesByMethod.get(route.method) ?? [], route])
  }
  return {
    routesByMethod,
    policiesByCaller: new Map(document.callers.map(caller => [caller.name, caller])),
    defaultPolicy: { name: DEFAULT_CALLER_NAME, ...document.defaultCaller }
  }
}

function getIndex (document: ServiceDocument): DocumentIndex {
  const known = indexes.get(document)
  if (known !== undefined) return known
  const built = buildIndex(document)
  indexes.set(document, built)
  return built
}

/**
 * Route of a request, or undefined. Prefixes cover whole path segments, and the
 * longest one wins. A path with dot segments has no route, because the backend
 * server could resolve it to a different route than the one matched here.
 *
 * @example
 * matchRoute(document, 'POST', '/bookings/17?full=1')?.name // 'book'
 */
export function matchRoute (document: ServiceDocument, method: string, path: string): RouteConfig | undefined {
  const routes = getIndex(document).routesByMethod.get(method)
  if (routes === undefined || hasDotSegments(path)) return undefined
  for (const route of routes) {
    if (coversPath(route.pathPrefix, path)) return route
  }
  return undefined
}

/**
 * Promised rate and greatest importance of a caller. All callers that the document
 * does not list share `default_caller` under one name, so that a caller cannot get
 * more calls by inventing names.
 *
 * @example
 * callerPolicyOf(document, 'dispatchers').promisedCallsPerS // 100
 */
export function callerPolicyOf (document: ServiceDocument, callerName: string): CallerPolicy {
  const index = getIndex(document)
  return index.policiesByCaller.get(callerName) ?? index.defaultPolicy
}
