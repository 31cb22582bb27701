// Duties under troubles drawn from the seed: kinds, times, lengths, whom they strike. For searches in made-up time.
// Two voters never lose their files in one day: that asks for an operator's word.
local lib = import 'lib.libsonnet';
local draw(what) = std.parseHex(std.md5('%d %s' % [lib.seed, what])[:6]) / std.pow(2, 24);
local pick(what, list) = list[std.floor(draw(what) * std.length(list))];
local gateways = ['g0', 'g1', 'g2', 'g3', 'g4'];
local whom = gateways + ['owner.weights', 'owner.vocabulary', 'owner.weights', 'owner.vocabulary', 'owner'];
local forgetful = pick('voter', ['g0', 'g1', 'g2']);
local network = ['net-cut', 'net-one-way', 'net-slow', 'net-hold', 'net-repeat', 'net-reorder', 'net-half-close'];
local kinds = ['gateway-stop', 'gateway-stop', 'gateway-kill', 'gateway-kill', 'gateway-term', 'net-cut', 'net-one-way'] + network;
local trouble(number) =
  local kind = pick('kind %d' % number, kinds);
  local second = draw('second %d' % number) < 0.3;
  {
    kind: kind,
    at_s: 4 + 86 * draw('at %d' % number),
    for_s: if kind == 'gateway-term' then 1 else 0.5 + 7 * std.pow(draw('for %d' % number), 2),
    names: std.set([pick('whom %d' % number, whom)] + if second then [pick('and %d' % number, gateways)] else []),
  } + if !std.startsWith(kind, 'net-') then {} else {
    way: pick('way %d' % number, ['both', 'in', 'out']),
    strength: if kind == 'net-slow' then 20 + 200 * draw('strength %d' % number) else 4000 * draw('strength %d' % number),
    share: pick('share %d' % number, [1, 1, 0.5, 0.2]),
  };
// Two of three voters gone for a moment: what they had promised and granted must outlive it.
local blink(number) = {
  kind: 'gateway-kill', at_s: 5 + 85 * draw('blink %d' % number), for_s: 0.05 + 0.5 * draw('blink for %d' % number),
  names: pick('blink whom %d' % number, [['g0', 'g1'], ['g1', 'g2'], ['g0', 'g2'], ['g0', 'g1', 'g2']]),
};
lib.day('owners-storm', 100, 5, 2, 3, 3) + {
  products+: { consulta+: { time_limit_ms: 6000 } },
  rules: { answer_slack_ms: 400 },
  tail_s: 20,
  duties: { fleet: 'hall', voters: [0, 1, 2], names: ['weights', 'vocabulary'], lease_ms: 3000, announce_ms: 2000 },
  troubles: [trouble(number) for number in std.range(1, 20)] + [blink(number) for number in std.range(1, 5)] + [
    { kind: pick('file', ['voter-empty', 'voter-older']), at_s: 5 + 70 * draw('file at'), for_s: 1 + 6 * draw('file for'),
      names: [forgetful] },
  ],
}
