import type { ModuleSettings } from '../core/registry.js'
import { assertNever } from '../errors/errors.js'

/** Mechanisms that can be switched off one by one, to measure the effect of each. */
export enum Mechanism {
  AdaptiveLimit = 'adaptive_limit',
  ChainAdmission = 'chain_admission',
  Priorities = 'priorities',
  RefuseByDeadline = 'refuse_by_deadline',
  ChoiceOfTwo = 'choice_of_two',
  LendDownChain = 'lend_down_chain',
  VitalReserve = 'vital_reserve'
}

/**
 * Settings of the core modules with some mechanisms switched off.
 *
 * @example
 * settingsWithoutMechanisms([Mechanism.ChainAdmission]) // { admission: { chainAdmission: false } }
 */
export function settingsWithoutMechanisms (mechanisms: readonly Mechanism[]): ModuleSettings {
  return mechanisms.reduce<ModuleSettings>(disableMechanism, {})
}

function disableMechanism (settings: ModuleSettings, mechanism: Mechanism): ModuleSettings {
  const { admission, agreement, routing, retry } = settings
  switch (mechanism) {
    case Mechanism.AdaptiveLimit: return { ...settings, admission: { ...admission, adaptiveLimit: false } }
    case Mechanism.ChainAdmission: return { ...settings, admission: { ...admission, chainAdmission: false } }
    case Mechanism.Priorities: return { ...settings, admission: { ...admission, priorities: false } }
    case Mechanism.RefuseByDeadline: return { ...settings, admission: { ...admission, refuseByDeadline: false } }
    case Mechanism.ChoiceOfTwo: return { ...settings, routing: { ...routing, choiceOfTwo: false } }
    case Mechanism.LendDownChain: return { ...settings, retry: { ...retry, lendDownChain: false } }
    case Mechanism.VitalReserve: return { ...settings, agreement: { ...agreement, vitalReserveRatio: 0 } }
    default: return assertNever(mechanism)
  }
}
