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
    { kind: 'vocabulary-roll', at_s: 8, for_s: 18, part: 0.5 },
    { kind: 'vocabulary-roll', at_s: 34, for_s: 12, part: 1, vocabulary: 'old' },
    // The profiles are edited; one gateway is cut off while the verdict on them goes round.
    { kind: 'net-cut', at_s: 46, for_s: 14, names: ['g3'] },
    { kind: 'vocabulary-profiles', at_s: 48, for_s: 0 },
    { kind: 'vocabulary-roll', at_s: 52, for_s: 36, part: 1 },
    { kind: 'gateway-kill', at_s: 64, for_s: 1, names: ['owner.vocabulary'] },
    { kind: 'gateway-stop', at_s: 74, for_s: 5, names: ['owner.vocabulary'] },
  ],
}
