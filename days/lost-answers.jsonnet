// Work runs and its answer never comes back; some engines hang, some cut streams.
local lib = import 'lib.libsonnet';
lib.day('lost-answers', 30, 2, 4, 6, 14) + {
  troubles: [
    { kind: 'lose-answer', at_s: 3, for_s: 12, part: 0.3, strength: 0.7 },
    { kind: 'hang', at_s: 10, for_s: 8, part: 0.2 },
    { kind: 'cut', at_s: 12, for_s: 10, part: 0.4, role: 'writer', strength: 0.3 },
  ],
}
