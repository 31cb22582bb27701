// Made up: a warehouse's site of 300 servers behind eight gateways.
{
  name: 'grid',
  roster: 'fleet.jsonnet',
  module: { gateways: 8, number: 3, zone: 'grid', max_legs: 5, local_reads: true, cold_from: 0.3, warm_up_ms: 13000, fall_multiple: 2.6 },
  kinds: {
    'read-s': { role: 'reader', memory_tok: 200000 },
    'read-l': { role: 'reader', memory_tok: 300000 },
    'write-s': { role: 'writer', memory_tok: 120000 },
    'write-l': { role: 'writer', memory_tok: 200000 },
  },
  products: {
    lookup: { effect: 'idempotent', slo_ms: 1000, slo_ms_per_ktok: 40, time_limit_ms: 4000, revenue: 1, late_revenue: 0.1 },
    order: { effect: 'side-effecting', slo_ms: 2500, slo_ms_per_ktok: 100, time_limit_ms: 10000, revenue: 6, late_revenue: 0.2 },
    label: { effect: 'deduplicated', scope: 'cell', memory_ms: 5000, slo_ms: 1500, slo_ms_per_ktok: 60, time_limit_ms: 6000, revenue: 1, late_revenue: 0.1 },
  },
  customers: { north: { share: 0.5, quota_per_s: 60 }, south: { share: 0.5, quota_per_s: 60 } },
  rules: [
    { name: 'orders rather on large writers', how: 'prefer', where: { kinds: ['write-l'] }, products: ['order'] },
    { name: 'labels leave the last rack', how: 'avoid', where: { cells: [12] }, products: ['label'] },
  ],
}
