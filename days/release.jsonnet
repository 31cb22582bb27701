// Weights and vocabulary meet: a model's next version comes with another vocabulary. It is wanted before the change to that is
// announced, and goes into service at a site once it is in place there and the change is allowed. Engines change afterwards.
// The owners of both duties are killed or stopped on the way, a receiver too, and one gateway is cut off from the verdict.
local lib = import 'lib.libsonnet';
lib.day('release', 80, 6, 2, 4, 6) + {
  fleet: [one { zone: 'north' } for one in super.fleet],
  products+: { consulta+: { time_limit_ms: 6000 } },
  rules: { answer_slack_ms: 400 },
  tail_s: 20,
  back_cold: false,
  duties: { fleet: 'hall', voters: [0, 2, 4], names: ['weights', 'vocabulary'], lease_ms: 3000, announce_ms: 2000 },
  vocabulary: { new_products: ['aviso'] },
  weights: {
    sites: {
      north: { bytes_per_s: 200000, gateways: [0, 1] },
      south: { bytes_per_s: 200000, gateways: [2, 3] },
      port: { bytes_per_s: 120000, gateways: [4, 5] },
    },
    links: { uplink: { bytes_per_s: 300000, sites: ['north', 'south'] }, radio: { bytes_per_s: 100000, sites: ['port'] } },
    models: {
      base: { size: 1200000, priority: 1, sites: ['north', 'south', 'port'], next_at_s: 16, vocabulary: 'new' },
      routes: { size: 600000, priority: 0, sites: ['north', 'port'], at_s: 20 },
    },
  },
  troubles: [
    { kind: 'origin-corrupt', at_s: 17, for_s: 3, names: ['g0', 'g1'], strength: 0.3 },
    // In place at some sites by then: it waits for the verdict.
    { kind: 'net-cut', at_s: 28, for_s: 10, names: ['g3'] },
    { kind: 'vocabulary-word', at_s: 30, word: 'announce' },
    { kind: 'gateway-kill', at_s: 31, for_s: 2, names: ['owner.weights'] },
    { kind: 'gateway-stop', at_s: 38, for_s: 5, names: ['owner.vocabulary'] },
    { kind: 'gateway-kill', at_s: 42, for_s: 1, names: ['receiver.south'] },
    { kind: 'vocabulary-roll', at_s: 46, for_s: 28, part: 1 },
  ],
}
