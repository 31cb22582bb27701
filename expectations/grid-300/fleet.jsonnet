// One site, twelve racks: 100 readers and 200 writers. Every third reader and writer is a large one.
local rack(i) = 1 + (i - 1) % 12;
local size(i, small, large) = if i % 3 == 0 then large else small;
{
  version: 1,
  servers: [
    { name: 'r%d' % i, host: '127.0.0.1', port: 9000 + i, kind: size(i, 'read-s', 'read-l'), zone: 'grid', cell: rack(i) }
    for i in std.range(1, 100)
  ] + [
    { name: 'w%d' % i, host: '127.0.0.1', port: 9100 + i, kind: size(i, 'write-s', 'write-l'), zone: 'grid', cell: rack(i) }
    for i in std.range(1, 200)
  ],
}
