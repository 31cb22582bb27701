// One hall, two racks: 8 readers and 12 writers.
{
  version: 1,
  servers: [
    { name: 'r%d' % i, host: '127.0.0.1', port: 9000 + i, kind: 'prefill', zone: 'hall', cell: 1 + (i - 1) % 2 }
    for i in std.range(1, 8)
  ] + [
    { name: 'w%d' % i, host: '127.0.0.1', port: 9100 + i, kind: 'decode', zone: 'hall', cell: 1 + (i - 1) % 2 }
    for i in std.range(1, 12)
  ],
}
