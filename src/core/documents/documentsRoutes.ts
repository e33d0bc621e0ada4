import { DEFAULT_CALLER_NAME } from './documentsSchema.js'
import type { CallerTerms, RouteTerms, ServiceDocument } from './documentsTypes.js'
import { isPrefixOfPath, leavesItsPrefix } from './documentsDetector.js'

interface RouteIndex {
  /** Routes of each method, longest prefix first. */
  readonly routesByMethod: ReadonlyMap<string, readonly RouteTerms[]>
  readonly termsByCaller: ReadonlyMap<string, CallerTerms>
  readonly defaultTerms: CallerTerms
}

const indexes = new WeakMap<ServiceDocument, RouteIndex>()

function buildIndex (document: ServiceDocument): RouteIndex {
  const routesByMethod = new Map<string, RouteTerms[]>()
  const longestFirst = [...document.routes].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  for (const route of longestFirst) {
    routesByMethod.set(route.method, [...routesByMethod.get(route.method) ?? [], route])
  }
  return {
    routesByMethod,
    termsByCaller: new Map(document.callers.map(caller => [caller.name, caller])),
    defaultTerms: { name: DEFAULT_CALLER_NAME, ...document.defaultCaller }
  }
}

function indexOf (document: ServiceDocument): RouteIndex {
  const known = indexes.get(document)
  if (known !== undefined) return known
  const built = buildIndex(document)
  indexes.set(document, built)
  return built
}

/**
 * Route of a request, or undefined. Prefixes cover whole path segments, and the
 * longest one wins. A path with dot segments has no route, because a backend
 * server could resolve it to another route than the one matched here.
 *
 * @example
 * matchRoute(document, 'POST', '/bookings/17?full=1')?.name // 'book'
 */
export function matchRoute (document: ServiceDocument, method: string, path: string): RouteTerms | undefined {
  const routes = indexOf(document).routesByMethod.get(method)
  if (routes === undefined || leavesItsPrefix(path)) return undefined
  for (const route of routes) {
    if (isPrefixOfPath(route.pathPrefix, path)) return route
  }
  return undefined
}

/**
 * Terms of a caller. All callers without own terms share those of
 * `default_caller` under one name, so that inventing names gains no calls.
 *
 * @example
 * termsOf(document, 'dispatchers').promisedCallsPerS // 100
 */
export function termsOf (document: ServiceDocument, callerName: string): CallerTerms {
  const index = indexOf(document)
  return index.termsByCaller.get(callerName) ?? index.defaultTerms
}
