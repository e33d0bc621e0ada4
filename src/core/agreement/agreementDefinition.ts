import { ModuleId } from '../coreTypes.js'
import { clearAgreementDb, createAgreementDb, type AgreementDb } from './agreementDb.js'
import { agreementViolations } from './agreementDetector.js'
import type { AgreementModule, AgreementSettings } from './agreementTypes.js'
import { returnToken, setPromises, refreshAllBuckets, shareReadings, takeToken } from './shares.js'

/**
 * Settings for production. A full token bucket adds its burst to the promised rate, and a
 * burst of 200 ms of the rate keeps the sum within 2% of the promise over 10 s.
 */
export const agreementDefaults: AgreementSettings = {
  shareGrowthDelayMs: 10_000,
  burstMs: 200,
  vitalReserveRatio: 0.2
}

/**
 * The agreement module: enforces the call rate that a service promises to each caller, with
 * one token bucket per caller for this node's share of that rate.
 *
 * @example
 * const db = agreementDefinition.createDb(agreementDefinition.defaults)
 */
export const agreementDefinition: AgreementModule<AgreementDb> = {
  id: ModuleId.Agreement,
  defaults: agreementDefaults,
  createDb: createAgreementDb,
  clear: clearAgreementDb,
  tick: refreshAllBuckets,
  violations: db => agreementViolations(db),
  setPromises,
  takeToken,
  returnToken,
  shareReadings
}
