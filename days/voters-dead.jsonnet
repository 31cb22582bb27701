// All voters are killed early and stay away; `duties` is 'on' or 'off', to compare. What clients see has to be the same.
local lib = import 'lib.libsonnet';
lib.day('voters-dead', 30, 6, 4, 6, 14) + {
  [if std.extVar('duties') == 'on' then 'duties']: {
    fleet: 'hall', voters: [0, 1, 2], names: ['weights', 'vocabulary'], lease_ms: 1000, call_ms: 200, announce_ms: 1000,
  },
  troubles: [{ kind: 'gateway-kill', at_s: 4, for_s: 60, names: ['g0', 'g1', 'g2'] }],
}
