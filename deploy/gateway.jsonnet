// A gateway's settings with two products. `stackpitch settings schema` has every field, docs/gateway.md what it does.
{
  name: 'g0',
  roster: 'deploy/fleet.json',
  kept: '',  // set a path to start from the last good list when the roster can't be read
  door: { port: 8080 },
  admin: { port: 8081 },
  module: { gateways: 1, number: 0, zone: 'hall', max_legs: 5, local_reads: true, cold_from: 0.32, warm_up_ms: 14000, fall_multiple: 3 },
  kinds: {
    prefill: { role: 'reader', memory_tok: 220000 },
    decode: { role: 'writer', memory_tok: 160000 },
  },
  products: {
    consulta: { effect: 'idempotent', slo_ms: 1000, slo_ms_per_ktok: 40, token_gap_ms: 60, time_limit_ms: 4000, revenue: 2, models: ['consulta'] },
    reserva: { effect: 'side-effecting', slo_ms: 2500, slo_ms_per_ktok: 120, token_gap_ms: 80, time_limit_ms: 10000, revenue: 5, models: ['reserva'] },
  },
}
