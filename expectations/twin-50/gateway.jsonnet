// Made up: a library in two zones. Lending must never happen twice; notices are dropped as repeats inside a zone.
{
  name: 'twin',
  roster: 'fleet.jsonnet',
  module: { gateways: 3, number: 1, zone: 'east', max_legs: 5, local_reads: true, cold_from: 0.35, warm_up_ms: 13000, fall_multiple: 2.5 },
  kinds: {
    prefill: { role: 'reader', memory_tok: 240000 },
    decode: { role: 'writer', memory_tok: 180000 },
  },
  products: {
    suggest: { effect: 'idempotent', slo_ms: 900, slo_ms_per_ktok: 40, time_limit_ms: 4000, revenue: 1, late_revenue: 0.1 },
    lend: { effect: 'side-effecting', slo_ms: 2500, slo_ms_per_ktok: 100, time_limit_ms: 12000, revenue: 4, late_revenue: 0.2 },
    notice: { effect: 'deduplicated', scope: 'zone', memory_ms: 6000, slo_ms: 1500, slo_ms_per_ktok: 60, time_limit_ms: 6000, revenue: 1, late_revenue: 0.1 },
  },
  customers: { readers: { share: 0.7, quota_per_s: 30 }, desks: { share: 0.3, quota_per_s: 30 } },
  utc_offset_min: 180,
  rules: [
    { name: 'lending at night stays in the east', how: 'only', where: { zones: ['east'] }, products: ['lend'], hours: [{ clock: '22:00-06:00' }] },
    { name: 'desks rather in rack 1', how: 'prefer', where: { cells: [1] }, customers: ['desks'] },
    { name: 'no notices in rack 4', how: 'never', where: { cells: [4] }, products: ['notice'] },
  ],
}
