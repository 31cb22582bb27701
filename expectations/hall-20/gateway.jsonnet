// Made up: an airport's hall with two products, one of which must never run twice.
{
  name: 'hall',
  roster: 'fleet.jsonnet',
  module: { gateways: 2, number: 0, zone: 'hall', max_legs: 5, local_reads: true, cold_from: 0.32, warm_up_ms: 14000, fall_multiple: 3 },
  kinds: {
    prefill: { role: 'reader', memory_tok: 220000 },
    decode: { role: 'writer', memory_tok: 160000 },
  },
  products: {
    consulta: { effect: 'idempotent', slo_ms: 1000, slo_ms_per_ktok: 40, token_gap_ms: 60, time_limit_ms: 4000, revenue: 2, late_revenue: 0.1 },
    reserva: { effect: 'side-effecting', slo_ms: 2500, slo_ms_per_ktok: 120, token_gap_ms: 80, time_limit_ms: 10000, revenue: 5, late_revenue: 0.1 },
  },
  customers: { norte: { share: 0.6, quota_per_s: 20 }, sur: { share: 0.4, quota_per_s: 20 } },
}
