import { ModuleId } from '../coreTypes.js'
import { clearAgreementDb, createAgreementDb, type AgreementDb } from './agreementDb.js'
import { agreementViolations } from './agreementDetector.js'
import type { AgreementModule, AgreementSettings } from './agreementTypes.js'
import { giveBack, setPromises, settleAll, shares, take } from './shares.js'

/**
 * Settings of a node in production. A full bucket is let through on top of the
 * rate, so the burst is kept at 200 ms: within 2% of the promise over 10 s.
 */
export const agreementDefaults: AgreementSettings = {
  shareGrowthDelayMs: 10_000,
  burstMs: 200,
  vitalReserveRatio: 0.2
}

/**
 * The agreement family: what each caller was promised and this node's share.
 *
 * @example
 * const db = agreementDefinition.createDb(agreementDefinition.defaults)
 */
export const agreementDefinition: AgreementModule<AgreementDb> = {
  id: ModuleId.Agreement,
  defaults: agreementDefaults,
  createDb: createAgreementDb,
  clear: clearAgreementDb,
  tick: settleAll,
  violations: db => agreementViolations(db),
  setPromises,
  take,
  giveBack,
  shares
}
