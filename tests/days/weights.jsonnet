// Short days with weights for the tests; `play` names one. Leases are short, so that a day is.
local lib = import '../../days/lib.libsonnet';
local short = lib.day('weights', 12, 4, 1, 2, 3) + {
  fleet: [one { zone: 'north' } for one in super.fleet],
  products+: { consulta+: { time_limit_ms: 6000 } },
  rules: { answer_slack_ms: 400 },
  notice_s: 0.3,
  tail_s: 20,
  duties: { fleet: 'hall', voters: [0, 1, 2], names: ['weights'], lease_ms: 1000, call_ms: 200, announce_ms: 500 },
  weights: {
    sites: { north: { bytes_per_s: 300000, gateways: [0, 1] }, south: { bytes_per_s: 300000, gateways: [2, 3] } },
    links: { uplink: { bytes_per_s: 300000, sites: ['north', 'south'] } },
    models: {
      base: { size: 900000, priority: 2, sites: ['north', 'south'] },
      urgent: { size: 300000, priority: 0, sites: ['north', 'south'], at_s: 3 },
    },
    edits: [{ at_s: 5, link: 'uplink', bytes_per_s: 150000 }],
    place_s: 10,
  },
};
{
  good: short {
    // Room for both sites at once: whichever is heard first, the one whose pieces are spoilt fetches from the beginning.
    weights+: {
      links: { uplink: { bytes_per_s: 600000, sites: ['north', 'south'] } },
      edits: [{ at_s: 5, link: 'uplink', bytes_per_s: 300000 }],
    },
    troubles: [
      { kind: 'gateway-stop', at_s: 1, for_s: 0.4, names: ['owner.weights'] },
      { kind: 'origin-corrupt', at_s: 0, for_s: 4, names: ['g0', 'g1'], strength: 0.6 },
      { kind: 'gateway-stop', at_s: 4, for_s: 2, names: ['owner.weights'] },
      { kind: 'gateway-kill', at_s: 6.5, for_s: 0.5, names: ['receiver.north'] },
    ],
  },
  full: short { length_s: 2, weights+: { place_s: 100 }, troubles: [{ kind: 'disk-full', at_s: 0, for_s: 2, names: ['north'] }] },
  unpaced: short,
  // Enough of a higher class to be seen wanting: one that is small may all be granted already.
  classless: short { weights+: { models+: { base+: { size: 3000000 }, urgent+: { size: 1500000, at_s: 0 } } } },
  unchecked: short { troubles: [{ kind: 'origin-corrupt', at_s: 0, for_s: 12, strength: 0.2 }] },
}[std.extVar('play')]
