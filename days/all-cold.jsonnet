// Every server starts cold in front of three gateways.
local lib = import 'lib.libsonnet';
lib.day('all-cold', 25, 3, 5, 6, 12) + {
  fleet: [group { born_cold: true } for group in lib.fleet(5, 6)],
}
