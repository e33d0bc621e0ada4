import type { Millis } from '../clock/clock.js'
import { admissionDefinition } from './admission/admissionDefinition.js'
import { agreementDefinition } from './agreement/agreementDefinition.js'
import type { CoreModule, ModuleId, Violation } from './coreTypes.js'
import { documentsDefinition } from './documents/documentsDefinition.js'
import { idempotencyDefinition } from './idempotency/idempotencyDefinition.js'
import { ledgerDefinition } from './ledger/ledgerDefinition.js'
import { membershipDefinition } from './membership/membershipDefinition.js'
import { retryDefinition } from './retry/retryDefinition.js'
import { routingDefinition } from './routing/routingDefinition.js'

type DbOf<M> = M extends { createDb (settings: never): infer Db } ? Db : never
type SettingsOf<M> = M extends { readonly defaults: infer Settings } ? Settings : never

/** State of all core modules of one node. */
export interface ModuleDbs {
  readonly admission: DbOf<typeof admissionDefinition>
  readonly agreement: DbOf<typeof agreementDefinition>
  readonly routing: DbOf<typeof routingDefinition>
  readonly membership: DbOf<typeof membershipDefinition>
  readonly retry: DbOf<typeof retryDefinition>
  readonly idempotency: DbOf<typeof idempotencyDefinition>
  readonly documents: DbOf<typeof documentsDefinition>
  readonly ledger: DbOf<typeof ledgerDefinition>
}

/** Settings that override the defaults of the modules. */
export interface ModuleSettings {
  readonly admission?: Partial<SettingsOf<typeof admissionDefinition>>
  readonly agreement?: Partial<SettingsOf<typeof agreementDefinition>>
  readonly routing?: Partial<SettingsOf<typeof routingDefinition>>
  readonly membership?: Partial<SettingsOf<typeof membershipDefinition>>
  readonly retry?: Partial<SettingsOf<typeof retryDefinition>>
  readonly idempotency?: Partial<SettingsOf<typeof idempotencyDefinition>>
  readonly documents?: Partial<SettingsOf<typeof documentsDefinition>>
  readonly ledger?: Partial<SettingsOf<typeof ledgerDefinition>>
}

/** Maintenance functions of a module; each selects the module's state from the states of a node. */
interface BoundModule {
  readonly id: ModuleId
  clear (dbs: ModuleDbs): void
  tick (dbs: ModuleDbs, nowMs: Millis): void
  violations (dbs: ModuleDbs, nowMs: Millis): Violation[]
}

function bindModule<Db, Settings> (
  definition: CoreModule<Db, Settings>, selectDb: (dbs: ModuleDbs) => Db
): BoundModule {
  return {
    id: definition.id,
    clear: dbs => definition.clear(selectDb(dbs)),
    tick: (dbs, nowMs) => definition.tick(selectDb(dbs), nowMs),
    violations: (dbs, nowMs) => definition.violations(selectDb(dbs), nowMs)
  }
}

/** All core modules, in the order in which they are ticked and checked. */
export const coreModules: readonly BoundModule[] = [
  bindModule(documentsDefinition, dbs => dbs.documents),
  bindModule(membershipDefinition, dbs => dbs.membership),
  bindModule(routingDefinition, dbs => dbs.routing),
  bindModule(agreementDefinition, dbs => dbs.agreement),
  bindModule(admissionDefinition, dbs => dbs.admission),
  bindModule(retryDefinition, dbs => dbs.retry),
  bindModule(idempotencyDefinition, dbs => dbs.idempotency),
  bindModule(ledgerDefinition, dbs => dbs.ledger)
]

/**
 * Creates the state of all core modules of a node.
 *
 * @example
 * createModuleDbs({ ledger: { nodeId: 'vm-1', incarnation: 'a1' } })
 */
export function createModuleDbs (settings: ModuleSettings): ModuleDbs {
  return {
    admission: admissionDefinition.createDb({ ...admissionDefinition.defaults, ...settings.admission }),
    agreement: agreementDefinition.createDb({ ...agreementDefinition.defaults, ...settings.agreement }),
    routing: routingDefinition.createDb({ ...routingDefinition.defaults, ...settings.routing }),
    membership: membershipDefinition.createDb({ ...membershipDefinition.defaults, ...settings.membership }),
    retry: retryDefinition.createDb({ ...retryDefinition.defaults, ...settings.retry }),
    idempotency: idempotencyDefinition.createDb({ ...idempotencyDefinition.defaults, ...settings.idempotency }),
    documents: documentsDefinition.createDb({ ...documentsDefinition.defaults, ...settings.documents }),
    ledger: ledgerDefinition.createDb({ ...ledgerDefinition.defaults, ...settings.ledger })
  }
}
