// Four sites with two gateways each, six models of three classes over shared links: one halves, an urgent model comes in the
// middle, the owner is stopped and woken, an origin spoils and fails, a receiver is killed, a disk is full.
local lib = import 'lib.libsonnet';
lib.day('weights', 70, 8, 2, 3, 4) + {
  fleet: [one { zone: 'north' } for one in super.fleet],
  products+: { consulta+: { time_limit_ms: 6000 } },
  rules: { answer_slack_ms: 400 },
  tail_s: 20,
  duties: { fleet: 'hall', voters: [0, 2, 4], names: ['weights'], lease_ms: 3000, announce_ms: 2000 },
  weights: {
    sites: {
      north: { bytes_per_s: 200000, gateways: [0, 1] },
      south: { bytes_per_s: 200000, gateways: [2, 3] },
      hall: { bytes_per_s: 160000, gateways: [4, 5] },
      port: { bytes_per_s: 120000, gateways: [6, 7] },
    },
    links: {
      uplink: { bytes_per_s: 300000, sites: ['north', 'south', 'hall'] },
      radio: { bytes_per_s: 100000, sites: ['port'] },
    },
    models: {
      base: { size: 2000000, priority: 2, sites: ['north', 'south', 'hall'] },
      archive: { size: 1200000, priority: 2, sites: ['south', 'port'], by_s: 60 },
      answers: { size: 1200000, priority: 1, sites: ['north', 'south', 'hall', 'port'], next_at_s: 34 },
      routes: { size: 800000, priority: 1, sites: ['hall', 'port'], at_s: 8 },
      notices: { size: 600000, priority: 2, sites: ['north'], at_s: 4, until_s: 40 },
      urgent: { size: 900000, priority: 0, sites: ['north', 'south', 'hall', 'port'], at_s: 22 },
    },
    edits: [{ at_s: 27, link: 'uplink', bytes_per_s: 150000 }, { at_s: 48, link: 'uplink', bytes_per_s: 300000 }],
  },
  troubles: [
    // The owner: woken while its grants run; woken after its successor planned; killed.
    { kind: 'gateway-stop', at_s: 3, for_s: 0.6, names: ['owner.weights'] },
    { kind: 'gateway-stop', at_s: 10, for_s: 5, names: ['owner.weights'] },
    { kind: 'gateway-kill', at_s: 36, for_s: 2, names: ['owner.weights'] },
    { kind: 'origin-corrupt', at_s: 5, for_s: 4, names: ['g0', 'g1'], strength: 0.3 },
    { kind: 'origin-slow', at_s: 30, for_s: 3, names: ['g6', 'g7'], strength: 20000 },
    { kind: 'origin-refuse', at_s: 41, for_s: 2 },
    { kind: 'gateway-kill', at_s: 19, for_s: 2, names: ['receiver.south'] },
    { kind: 'disk-full', at_s: 24, for_s: 8, names: ['hall'] },
  ],
}
