// A model's next version comes with another vocabulary. Engines change one after another while both serve; halfway the
// change is called off and they change back; the second time it goes through. Token ids are in a good part of generations.
local lib = import 'lib.libsonnet';
lib.day('vocabulary', 100, 4, 2, 4, 8) + {
  products+: { consulta+: { time_limit_ms: 6000 } },
  rules: { answer_slack_ms: 400 },
  tail_s: 20,
  back_cold: false,
  duties: { fleet: 'hall', voters: [0, 1, 2], names: ['vocabulary'], lease_ms: 3000, announce_ms: 2000 },
  vocabulary: { new_products: ['aviso'] },
  troubles: [
    // Halfway and back.
    { kind: 'vocabulary-word', at_s: 3, word: 'announce' },
    { kind: 'vocabulary-roll', at_s: 8, for_s: 18, part: 0.5 },
    { kind: 'vocabulary-word', at_s: 30, word: 'call off' },
    { kind: 'vocabulary-roll', at_s: 34, for_s: 12, part: 1, vocabulary: 'old' },
    // One gateway is cut off as the change is announced anew and while the verdict on edited profiles goes round.
    { kind: 'net-cut', at_s: 46, for_s: 14, names: ['g3'] },
    { kind: 'vocabulary-word', at_s: 47, word: 'announce' },
    { kind: 'vocabulary-profiles', at_s: 50, for_s: 0 },
    { kind: 'vocabulary-word', at_s: 51, for_s: 20, word: 'confirm' },
    { kind: 'vocabulary-roll', at_s: 54, for_s: 36, part: 1 },
    { kind: 'gateway-kill', at_s: 64, for_s: 1, names: ['owner.vocabulary'] },
    { kind: 'gateway-stop', at_s: 74, for_s: 5, names: ['owner.vocabulary'] },
  ],
}
