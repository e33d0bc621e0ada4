import { Policy, type ModelPlan, type ModelRoute } from './policyTypes.js'

/** Requests and services of the lamp oil union: each booking ends in eight calls at invoicing, each lookup in four. */
export function lampOilUnion (loadFactor: number, change: Partial<ModelPlan> = {}): ModelPlan {
  const routes: ModelRoute[] = [
    {
      name: 'stock-lookup',
      service: 'depot',
      workMs: 120,
      rank: 2,
      worth: 1,
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
      rank: 0,
      worth: 3,
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
      rank: 2,
      worth: 1,
      ratePerS: 113 * loadFactor,
      objectiveMs: 800,
      timeoutMs: 1_500,
      isIdempotent: true
    },
    {
      name: 'issue-invoice',
      service: 'invoicing',
      workMs: 96,
      rank: 2,
      worth: 1,
      ratePerS: 34.6 * loadFactor,
      objectiveMs: 300,
      timeoutMs: 1_200,
      isIdempotent: false
    },
    inner('order-status', 'booking', 15, 1_000, { route: 'route-read', timesCount: 1 }),
    inner('route-read', 'schedule', 15, 800, { route: 'price-read', timesCount: 4 }),
    inner('price-read', 'invoicing', 30, 300)
  ]
  return {
    seed: 1,
    lengthMs: 20_000,
    entriesCount: 13,
    services: [
      { name: 'depot', slotsCount: 192, speeds: [0.5, 1, 1, 1.5] },
      { name: 'booking', slotsCount: 256, speeds: [0.6, 1, 1.4] },
      { name: 'schedule', slotsCount: 256, speeds: [0.7, 0.7, 1.6] },
      { name: 'invoicing', slotsCount: 46, speeds: [0.6, 1, 1.4], knee: { ratio: 0.95, slowdown: 1.3 } }
    ],
    routes,
    troubles: [],
    policy: Policy.Chain,
    ...change
  }
}

/** Requests and services of the head office: each order ends in ten calls at branch transfers, each lookup in five. */
export function headOffice (loadFactor: number, change: Partial<ModelPlan> = {}): ModelPlan {
  const routes: ModelRoute[] = [
    {
      name: 'routing-lookup',
      service: 'catalogue',
      workMs: 120,
      rank: 2,
      worth: 1,
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
      rank: 0,
      worth: 3,
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
      rank: 2,
      worth: 1,
      ratePerS: 82.5 * loadFactor,
      objectiveMs: 800,
      timeoutMs: 1_500,
      isIdempotent: true
    },
    {
      name: 'parts-transfer',
      service: 'transfers',
      workMs: 96,
      rank: 2,
      worth: 1,
      ratePerS: 24.8 * loadFactor,
      objectiveMs: 300,
      timeoutMs: 1_200,
      isIdempotent: false
    },
    inner('order-status', 'orders', 15, 1_200, { route: 'stock-sync', timesCount: 1 }),
    inner('stock-sync', 'stock', 15, 1_200, { route: 'transfer-ledger', timesCount: 5 }),
    inner('transfer-ledger', 'transfers', 30, 300)
  ]
  return {
    seed: 1,
    lengthMs: 20_000,
    entriesCount: 17,
    services: [
      { name: 'catalogue', slotsCount: 88, speeds: [0.6, 1, 1.4, 1] },
      { name: 'orders', slotsCount: 88, speeds: [0.6, 1, 1.4, 1] },
      { name: 'stock', slotsCount: 70, speeds: [0.5, 1, 1, 1.5, 1] },
      { name: 'transfers', slotsCount: 20, speeds: [0.6, 1, 1.4, 1], knee: { ratio: 0.95, slowdown: 1.3 } }
    ],
    routes,
    troubles: [],
    policy: Policy.Chain,
    ...change
  }
}

function inner (
  name: string, service: string, workMs: number, objectiveMs: number, calls?: ModelRoute['calls']
): ModelRoute {
  return {
    name,
    service,
    workMs,
    rank: 0,
    worth: 0,
    ratePerS: 0,
    objectiveMs,
    timeoutMs: 2_000,
    isIdempotent: true,
    ...(calls === undefined ? {} : { calls })
  }
}
