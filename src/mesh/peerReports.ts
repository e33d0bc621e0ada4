import type { AnswerMatch } from '../http/exchangePool.js'
import type { LimitListener } from '../http/messageLimits.js'
import type { NodeLog } from './nodeLog.js'
import type { NodeMetrics } from './nodeMetrics.js'

/** Kinds of peers whose connections have limits. */
export enum LimitedPeer {
  BackendServer = 'backend_server',
  Caller = 'caller',
  Node = 'node',
  Operator = 'operator',
  Store = 'store'
}

export type LimitReporter = (peer: LimitedPeer) => LimitListener

/**
 * Creates listeners that log and count each connection that is closed because a peer exceeded a limit. Peers decide
 * how often that happens, so the lines are rate-limited.
 *
 * @example
 * const onLimitExceeded = createLimitReporter(log, metrics)(LimitedPeer.Caller)
 */
export function createLimitReporter (log: NodeLog, metrics: NodeMetrics): LimitReporter {
  return peer => limit => {
    log.requestFailed('message_limit_exceeded', { peer, limit })
    metrics.incrementCounter('message_limits_exceeded', { peer, limit })
  }
}

/** Creates a listener that logs and counts answers of the backend server that belong to no waiting request. */
export function createForeignAnswerReporter (log: NodeLog, metrics: NodeMetrics): (match: AnswerMatch) => void {
  return match => {
    log.requestFailed('foreign_answer', { match })
    metrics.incrementCounter('foreign_answers', { match })
  }
}
