import { Policy, type ModelPlan, type ModelRoute } from './policyTypes.js'

/** Model of the lamp oil union's deployment: each booking fans out to eight calls of invoicing, each lookup to four. */
export function lampOilUnion (loadFactor: number, overrides: Partial<ModelPlan> = {}): ModelPlan {
  const routes: ModelRoute[] = [
    {
      name: 'stock-lookup',
      service: 'depot',
      workMs: 120,
      importanceRank: 2,
      goodputWeight: 1,
      ratePerS: 353 * loadFactor,
      objectiveMs: 1_500,
      timeoutMs: 800,
      isIdempotent: true,
      calls: { route: 'order-status', timesCount: 1 }
    },
    {
      name: 'book-delivery',
      service: 'booking',
      workMs: 160,
      importanceRank: 0,
      goodputWeight: 3,
      ratePerS: 127 * loadFactor,
      objectiveMs: 1_500,
      timeoutMs: 1_000,
      isIdempotent: false,
      calls: { route: 'route-read', timesCount: 2 }
    },
    {
      name: 'slot-check',
      service: 'schedule',
      workMs: 300,
      importanceRank: 2,
      goodputWeight: 1,
      ratePerS: 113 * loadFactor,
      objectiveMs: 800,
      timeoutMs: 1_500,
      isIdempotent: true
    },
    {
      name: 'issue-invoice',
      service: 'invoicing',
      workMs: 96,
      importanceRank: 2,
      goodputWeight: 1,
      ratePerS: 34.6 * loadFactor,
      objectiveMs: 300,
      timeoutMs: 1_200,
      isIdempotent: false
    },
    internalRoute('order-status', 'booking', 15, 1_000, { route: 'route-read', timesCount: 1 }),
    internalRoute('route-read', 'schedule', 15, 800, { route: 'price-read', timesCount: 4 }),
    internalRoute('price-read', 'invoicing', 30, 300)
  ]
  return {
    seed: 1,
    durationMs: 20_000,
    entryNodesCount: 13,
    services: [
      { name: 'depot', slotsCount: 192, speeds: [0.5, 1, 1, 1.5] },
      { name: 'booking', slotsCount: 256, speeds: [0.6, 1, 1.4] },
      { name: 'schedule', slotsCount: 256, speeds: [0.7, 0.7, 1.6] },
      { name: 'invoicing', slotsCount: 46, speeds: [0.6, 1, 1.4], knee: { ratio: 0.95, slowdown: 1.3 } }
    ],
    routes,
    disturbances: [],
    policy: Policy.Chain,
    ...overrides
  }
}

/** Model of the head office's deployment: each order fans out to ten calls of branch transfers, each lookup to five. */
export function headOffice (loadFactor: number, overrides: Partial<ModelPlan> = {}): ModelPlan {
  const routes: ModelRoute[] = [
    {
      name: 'routing-lookup',
      service: 'catalogue',
      workMs: 120,
      importanceRank: 2,
      goodputWeight: 1,
      ratePerS: 158 * loadFactor,
      objectiveMs: 1_500,
      timeoutMs: 800,
      isIdempotent: true,
      calls: { route: 'order-status', timesCount: 1 }
    },
    {
      name: 'order-place',
      service: 'orders',
      workMs: 160,
      importanceRank: 0,
      goodputWeight: 3,
      ratePerS: 61 * loadFactor,
      objectiveMs: 1_500,
      timeoutMs: 1_000,
      isIdempotent: false,
      calls: { route: 'stock-sync', timesCount: 2 }
    },
    {
      name: 'stock-view',
      service: 'stock',
      workMs: 300,
      importanceRank: 2,
      goodputWeight: 1,
      ratePerS: 82.5 * loadFactor,
      objectiveMs: 800,
      timeoutMs: 1_500,
      isIdempotent: true
    },
    {
      name: 'parts-transfer',
      service: 'transfers',
      workMs: 96,
      importanceRank: 2,
      goodputWeight: 1,
      ratePerS: 24.8 * loadFactor,
      objectiveMs: 300,
      timeoutMs: 1_200,
      isIdempotent: false
    },
    internalRoute('order-status', 'orders', 15, 1_200, { route: 'stock-sync', timesCount: 1 }),
    internalRoute('stock-sync', 'stock', 15, 1_200, { route: 'transfer-ledger', timesCount: 5 }),
    internalRoute('transfer-ledger', 'transfers', 30, 300)
  ]
  return {
    seed: 1,
    durationMs: 20_000,
    entryNodesCount: 17,
    services: [
      { name: 'catalogue', slotsCount: 88, speeds: [0.6, 1, 1.4, 1] },
      { name: 'orders', slotsCount: 88, speeds: [0.6, 1, 1.4, 1] },
      { name: 'stock', slotsCount: 70, speeds: [0.5, 1, 1, 1.5, 1] },
      { name: 'transfers', slotsCount: 20, speeds: [0.6, 1, 1.4, 1], knee: { ratio: 0.95, slowdown: 1.3 } }
    ],
    routes,
    disturbances: [],
    policy: Policy.Chain,
    ...overrides
  }
}

function internalRoute (
  name: string, service: string, workMs: number, objectiveMs: number, calls?: ModelRoute['calls']
): ModelRoute {
  return {
    name,
    service,
    workMs,
    importanceRank: 0,
    goodputWeight: 0,
    ratePerS: 0,
    objectiveMs,
    timeoutMs: 2_000,
    isIdempotent: true,
    ...(calls === undefined ? {} : { calls })
  }
}
