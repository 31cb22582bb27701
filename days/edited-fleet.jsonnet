// People at each gateway's file for most of the day: 500 rewrites, good and broken, drains, empty lists; and kills.
local lib = import 'lib.libsonnet';
lib.day('edited-fleet', 60, 3, 6, 8, 18) + {
  membership: { watch: true, settle_ms: 40, poll_ms: 500, persist_ms: 5000, flap_count: 6, flap_window_ms: 8000, flap_calm_ms: 4000 },
  troubles: [
    { kind: 'edits', at_s: 2, for_s: 52, strength: 12 },
    { kind: 'slow', at_s: 8, for_s: 10, part: 0.2, strength: 4 },
    { kind: 'gateway-kill', at_s: 16, for_s: 1.5, part: 0.34 },
    { kind: 'hang', at_s: 22, for_s: 6, part: 0.1, role: 'writer' },
    { kind: 'gateway-kill', at_s: 30, for_s: 1.5, part: 0.34 },
    { kind: 'cut', at_s: 34, for_s: 8, part: 0.25, role: 'writer', strength: 0.3 },
    { kind: 'gateway-kill', at_s: 44, for_s: 1.5, part: 0.67 },
  ],
}
