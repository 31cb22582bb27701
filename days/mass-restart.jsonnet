// A rack fails at once and comes back cold; then all gateways are restarted in turn with their last list only.
local lib = import 'lib.libsonnet';
lib.day('mass-restart', 40, 3, 6, 6, 14) + {
  troubles: [
    { kind: 'fail-at-once', at_s: 4, for_s: 5, part: 1, cell: 2 },
    { kind: 'gateway-roll', at_s: 14, for_s: 6, part: 1 },
    { kind: 'gateway-kill', at_s: 26, for_s: 2, part: 0.67 },
  ],
}
