// Two zones, five racks: 20 readers and 30 writers. The writers of rack 5 are older, so they take half as much.
local rack(i) = 1 + (i - 1) % 5;
local zone(i) = if rack(i) <= 3 then 'east' else 'west';
{
  version: 1,
  servers: [
    { name: 'r%d' % i, host: '127.0.0.1', port: 9000 + i, kind: 'prefill', zone: zone(i), cell: rack(i) }
    for i in std.range(1, 20)
  ] + [
    { name: 'w%d' % i, host: '127.0.0.1', port: 9100 + i, kind: 'decode', zone: zone(i), cell: rack(i), weight: if rack(i) == 5 then 0.5 else 1.0 }
    for i in std.range(1, 30)
  ],
}
