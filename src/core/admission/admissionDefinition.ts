import { ModuleId } from '../coreTypes.js'
import { clearAdmissionDb, createAdmissionDb, type AdmissionDb } from './admissionDb.js'
import { admissionViolations } from './admissionDetector.js'
import type { AdmissionModule, AdmissionSettings } from './admissionTypes.js'
import { dropExpiredCuts, learnCut, passesChain } from './chainCuts.js'
import { cancel, offer, poll, reading, release, setCapacity } from './gate.js'
import { advance } from './gateWindow.js'
import { expectedMs } from './serviceTimes.js'

/** Settings of a node in production. */
export const admissionDefaults: AdmissionSettings = {
  queueCapacityCount: 256,
  windowMs: 100,
  adaptiveLimit: true,
  minLimitCount: 2,
  newestFirst: false,
  refuseByDeadline: true,
  chainAdmission: true,
  chainCutTtlMs: 2_000,
  priorities: true
}

/**
 * The admission family: the gate in front of the backend server and the levels
 * learned from services below.
 *
 * @example
 * const db = admissionDefinition.createDb(admissionDefinition.defaults)
 * admissionDefinition.setCapacity(db, { slotsCount: 40, acceptsWork: true, draining: false }, 0)
 */
export const admissionDefinition: AdmissionModule<AdmissionDb> = {
  id: ModuleId.Admission,
  defaults: admissionDefaults,
  createDb: createAdmissionDb,
  clear: clearAdmissionDb,
  tick: (db, nowMs) => {
    advance(db, nowMs)
    dropExpiredCuts(db, nowMs)
  },
  violations: db => admissionViolations(db),
  offer,
  release,
  cancel,
  poll,
  setCapacity,
  reading,
  expectedServiceMs: (db, routeName) => {
    const times = db.routes.get(routeName)
    return times === undefined ? 0 : expectedMs(times, db.nowMs)
  },
  learnCut,
  passesChain
}
