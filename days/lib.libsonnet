// What the days share: kinds of stand-in servers, products, customers. Speeds are choices, not measurements.
{
  seed:: std.parseInt(std.extVar('seed')),
  kinds: {
    prefill: { role: 'reader', memory_tok: 220000, slots: 8, queue: 40, read_per_s: 24000, near_per_s: 300000, far_per_s: 120000 },
    decode: { role: 'writer', memory_tok: 160000, slots: 48, queue: 30, step_ms: 14, per_seq_ms: 0.25, read_per_s: 8000 },
  },
  // Two racks, with one reader more in the first.
  fleet(readers, writers):: [
    { kind: 'prefill', count: readers, cells: [1, 2] },
    { kind: 'decode', count: writers, cells: [2, 1] },
  ],
  module: { max_legs: 5, max_retry_after_ms: 2000, local_reads: true, cold_from: 0.32, warm_up_ms: 14000, fall_multiple: 3 },
  products: {
    consulta: { effect: 'idempotent', slo_ms: 1000, slo_ms_per_ktok: 40, token_gap_ms: 60, time_limit_ms: 4000, revenue: 2, late_revenue: 0.1 },
    reserva: { effect: 'side-effecting', slo_ms: 2500, slo_ms_per_ktok: 120, token_gap_ms: 80, time_limit_ms: 10000, revenue: 5, late_revenue: 0.1 },
    aviso: { effect: 'deduplicated', scope: 'cell', memory_ms: 5000, slo_ms: 1500, slo_ms_per_ktok: 60, token_gap_ms: 60, time_limit_ms: 6000, revenue: 1, late_revenue: 0.1 },
  },
  traffic: {
    consulta: { share: 0.72, turns: 2.6, new_tok: 300, answer_tok: 70, opening_tok: 1800, openings: 16, opening_share: 0.9 },
    reserva: { share: 0.18, turns: 1.2, new_tok: 1500, answer_tok: 40, opening_tok: 800, openings: 4, opening_share: 0.2 },
    aviso: { share: 0.10, turns: 1.0, new_tok: 200, answer_tok: 30, opening_tok: 600, openings: 4, opening_share: 0.6 },
  },
  customers: { norte: { share: 0.45 }, sur: { share: 0.35 }, este: { share: 0.2 } },
  day(name, length_s, gateways, readers, writers, rate):: {
    name: name,
    length_s: length_s,
    seed: $.seed,
    gateways: gateways,
    kinds: $.kinds,
    fleet: $.fleet(readers, writers),
    module: $.module,
    products: $.products,
    traffic: $.traffic,
    customers: $.customers,
    clients: { rate_per_s: rate },
  },
}
