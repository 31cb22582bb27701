// Short days with a change of vocabulary for the tests; `play` names one.
local lib = import '../../days/lib.libsonnet';
local small = lib.day('vocabulary', 12, 3, 1, 2, 8) + {
  products+: { consulta+: { time_limit_ms: 6000 } },
  rules: { answer_slack_ms: 400 },
  notice_s: 0.3,
  tail_s: 10,
  back_cold: false,
  duties: { fleet: 'hall', voters: [0, 1, 2], names: ['vocabulary'], lease_ms: 1000, call_ms: 200, announce_ms: 500 },
  vocabulary: { new_products: ['aviso'], share: 0.6 },
  troubles: [
    { kind: 'net-cut', at_s: 1, for_s: 5, names: ['g2'] },
    { kind: 'vocabulary-roll', at_s: 2, for_s: 3, part: 0.5 },
    { kind: 'vocabulary-roll', at_s: 6, for_s: 2, part: 1, vocabulary: 'old' },
    { kind: 'vocabulary-roll', at_s: 8.5, for_s: 3, part: 1 },
  ],
};
{ good: small, babel: small, across: small }[std.extVar('play')]
