// Two gateways, restarted again and again; sessions of many turns stay with their gateway. `--set snapshot=MS` lets
// gateways note down what a restart may use.
local lib = import 'lib.libsonnet';
lib.day('gateway-waves', 50, 2, 5, 6, 16) + {
  membership: { watch: false, step_share: 1.0, persist_ms: 0, snapshot_ms: std.parseInt(std.extVar('snapshot')) },
  clients: { rate_per_s: 16, sticky: true, think_s: 1.2 },
  traffic: lib.traffic + { consulta: lib.traffic.consulta + { turns: 6.0, new_tok: 500, share: 0.9 }, reserva: lib.traffic.reserva + { share: 0.06 }, aviso: lib.traffic.aviso + { share: 0.04 } },
  troubles: [{ kind: 'gateway-kill', at_s: at, for_s: 0.3, part: 1 } for at in [10, 21, 32, 43]],
}
