import { ModuleId } from '../coreTypes.js'
import { clearAdmissionDb, createAdmissionDb, type AdmissionDb } from './admissionDb.js'
import { admissionViolations } from './admissionDetector.js'
import type { AdmissionModule, AdmissionSettings } from './admissionTypes.js'
import { deleteExpiredCutLevels, recordCutLevel, admitsRootRequest } from './downstreamCutLevels.js'
import { cancelQueuedCall, offerCall, processQueue, getGateReading, releaseSlot, setCapacity } from './gate.js'
import { advanceWindow } from './gateWindow.js'
import { estimateServiceMs } from './serviceTimes.js'

/** Production defaults. */
export const admissionDefaults: AdmissionSettings = {
  queueCapacityCount: 256,
  windowMs: 100,
  adaptiveLimit: true,
  minLimitCount: 2,
  newestFirst: false,
  refuseByDeadline: true,
  chainAdmission: true,
  cutLevelTtlMs: 2_000,
  priorities: true
}

/**
 * The admission module: the concurrency limit and priority queue in front of the
 * backend server, and the load-shedding thresholds (cut levels) that downstream services report.
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
    advanceWindow(db, nowMs)
    deleteExpiredCutLevels(db, nowMs)
  },
  violations: db => admissionViolations(db),
  offerCall,
  releaseSlot,
  cancelQueuedCall,
  processQueue,
  setCapacity,
  getGateReading,
  expectedServiceMs: (db, routeName) => {
    const estimate = db.estimatesByRoute.get(routeName)
    return estimate === undefined ? 0 : estimateServiceMs(estimate, db.nowMs)
  },
  recordCutLevel,
  admitsRootRequest
}
