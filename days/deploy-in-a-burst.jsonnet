// Nearly all servers are replaced in batches while traffic doubles.
local lib = import 'lib.libsonnet';
lib.day('deploy-in-a-burst', 40, 3, 5, 7, 16) + {
  troubles: [
    { kind: 'deploy', at_s: 4, for_s: 30, part: 0.9, strength: 2 },
    { kind: 'burst', at_s: 12, for_s: 8, strength: 2 },
  ],
}
