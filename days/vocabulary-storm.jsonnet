// A change of vocabulary under troubles drawn from the seed, twice called off on the way. For searches in made-up time.
local lib = import 'lib.libsonnet';
local draw(what) = std.parseHex(std.md5('%d %s' % [lib.seed, what])[:6]) / std.pow(2, 24);
local pick(what, list) = list[std.floor(draw(what) * std.length(list))];
local gateways = ['g0', 'g1', 'g2', 'g3'];
local whom = gateways + ['owner.vocabulary', 'owner.vocabulary', 'owner.vocabulary'];
local network = ['net-cut', 'net-one-way', 'net-slow', 'net-hold', 'net-repeat', 'net-reorder', 'net-half-close'];
local kinds = ['gateway-stop', 'gateway-kill', 'gateway-kill', 'gateway-term', 'net-cut', 'net-cut'] + network;
local trouble(number) =
  local kind = pick('kind %d' % number, kinds);
  {
    kind: kind,
    at_s: 3 + 85 * draw('at %d' % number),
    for_s: if kind == 'gateway-term' then 1 else 0.5 + 7 * std.pow(draw('for %d' % number), 2),
    names: [pick('whom %d' % number, whom)],
  } + if !std.startsWith(kind, 'net-') then {} else {
    way: pick('way %d' % number, ['both', 'in', 'out']),
    strength: if kind == 'net-slow' then 20 + 200 * draw('strength %d' % number) else 4000 * draw('strength %d' % number),
    share: pick('share %d' % number, [1, 1, 0.5, 0.2]),
  };
// Rolls there and back, each of some of the engines; words that may come too early or too late are said for long.
local act(number) = {
  at_s: 6 + 9 * number + 4 * draw('act at %d' % number),
  for_s: 1 + 8 * draw('act for %d' % number),
} + pick('act %d' % number, [
  { kind: 'vocabulary-roll', part: draw('part %d' % number), vocabulary: 'new' },
  { kind: 'vocabulary-roll', part: draw('part %d' % number), vocabulary: 'new' },
  { kind: 'vocabulary-roll', part: draw('part %d' % number), vocabulary: 'old' },
  { kind: 'vocabulary-profiles', for_s: 0 },
]);
lib.day('vocabulary-storm', 100, 4, 2, 4, 8) + {
  products+: { consulta+: { time_limit_ms: 6000 } },
  rules: { answer_slack_ms: 400 },
  tail_s: 20,
  back_cold: false,
  duties: { fleet: 'hall', voters: [0, 1, 2], names: ['vocabulary'], lease_ms: 3000, announce_ms: 2000 },
  vocabulary: { new_products: ['aviso'], share: 0.6, limit: pick('limit', [0.5, 1.0]) },
  troubles: [trouble(number) for number in std.range(1, 12)] + [act(number) for number in std.range(0, 8)] + [
    { kind: 'vocabulary-word', at_s: 3 + 5 * draw('announce'), for_s: 40, word: 'announce' },
    { kind: 'vocabulary-word', at_s: 40 + 30 * draw('off'), for_s: 30, word: pick('word', ['call off', 'announce']) },
  ],
}
