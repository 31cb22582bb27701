// One minute, 3 gateways, 14 servers, twelve kinds of trouble that overlap.
local lib = import 'lib.libsonnet';
lib.day('bad-day', 60, 3, 6, 8, 22) + {
  troubles: [
    { kind: 'slow', at_s: 4, for_s: 14, part: 0.2, strength: 5 },
    { kind: 'hang', at_s: 7, for_s: 9, part: 0.15, role: 'writer' },
    { kind: 'slow-handshake', at_s: 9, for_s: 6, part: 0.5 },
    { kind: 'heavy-tail', at_s: 11, for_s: 12, part: 0.02, strength: 10 },
    { kind: 'gateway-kill', at_s: 14, for_s: 2, part: 0.34 },
    { kind: 'vanish', at_s: 17, for_s: 8, part: 0.14 },
    { kind: 'cut', at_s: 20, for_s: 10, part: 0.25, role: 'writer', strength: 0.3 },
    { kind: 'burst', at_s: 24, for_s: 6, strength: 2 },
    { kind: 'lose-answer', at_s: 27, for_s: 8, part: 0.15, strength: 0.6 },
    { kind: 'silent', at_s: 32, for_s: 10, part: 0.1 },
    { kind: 'slow-link', at_s: 35, for_s: 10, part: 1, role: 'reader', strength: 5 },
    { kind: 'deploy', at_s: 38, for_s: 16, part: 0.5, strength: 2 },
    { kind: 'garble', at_s: 40, for_s: 8, part: 0.15, role: 'writer', strength: 0.3 },
    { kind: 'tail', at_s: 42, for_s: 8, part: 0.3, role: 'writer' },
    { kind: 'hot-text', at_s: 44, for_s: 8, part: 0.2, strength: 3 },
    { kind: 'refuse', at_s: 50, for_s: 5, part: 0.1 },
  ],
}
