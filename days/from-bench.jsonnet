// Troubles as a bench day states them, replayed through the real gateway:
//   stackpitch rehearse days/from-bench.jsonnet --set troubles='[{"name":"vanish","at_s":5,"len_s":8,"part":0.1}]'
// name, at_s, len_s, part, size and extra are the bench's words, to be copied by hand from a day's report.
local lib = import 'lib.libsonnet';
local names = {
  vanish: 'silent', slow: 'slow', hang: 'hang', burst: 'burst', hot_key: 'hot-text', heavy_tail: 'heavy-tail',
  deploy: 'deploy', balancer_crash: 'gateway-kill', balancer_roll: 'gateway-roll', origin_slow: 'slow-link',
  handshake_slow: 'slow-handshake', neighbour: 'slow-by-turns', mass_restart: 'fail-at-once', answer_lost: 'lose-answer',
};
local strengths = { hot_key: 3, heavy_tail: 10, deploy: 1 };
local turned(one) =
  assert std.objectHas(names, one.name) : 'unknown trouble %s; allowed: %s' % [one.name, std.join(', ', std.objectFields(names))];
  {
    kind: names[one.name],
    at_s: one.at_s,
    for_s: one.len_s,
    part: if one.name == 'hot_key' then one.size
          else if one.name == 'heavy_tail' then std.get(one, 'extra', 0.01)
          else if one.name == 'origin_slow' then 1
          else std.get(one, 'part', 0.1),
    role: if one.name == 'origin_slow' then 'reader' else 'any',
    strength: if one.name == 'hot_key' then strengths.hot_key
              else if one.name == 'deploy' then strengths.deploy
              else if one.name == 'answer_lost' then std.get(one, 'size', 0.7)
              else std.get(one, 'size', std.get(strengths, one.name, 1)),
  };
lib.day('from-bench', 45, 3, 6, 8, 16) + {
  troubles: [turned(one) for one in std.parseJson(std.extVar('troubles'))],
}
