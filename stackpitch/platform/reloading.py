"""Reloads the configuration on SIGHUP while the gateway runs.

The new configuration is worked out completely before anything changes, so one that can't be used changes
nothing. If the settings are the same, the decision module, what it has learnt and all connections stay. If
they differ, requests that arrive later meet only the new classes, tenants and limits and a new module.
Requests in progress stay with the module and the settings that they arrived under
(`gateway.host.base.ArrivalSettings`).
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

from stackpitch.gateway.host import Host
from stackpitch.gateway.pool import Budget
from stackpitch.loop import MS, Coro, World
from stackpitch.platform import config, watching
from stackpitch.platform.discovery import Discovery
from stackpitch.platform.listener import PlatformListener
from stackpitch.platform.plan import Plan, make_plan
from stackpitch.preferences import Preferences
from stackpitch.wire.platform import ServerList

if TYPE_CHECKING:
    from stackpitch.platform.lines import JsonLog

# A new configuration has to be in force four seconds after the signal.
TRIES, PAUSE = 20, 100 * MS
NEEDS_RESTART = ("name", "listen")  # fields that can't change while the process runs


class Reloader:
    """Reloads the configuration. `plan`: the one in force."""

    def __init__(
        self,
        world: World,
        log: "JsonLog",
        environ: Mapping[str, str],
        plan: Plan,
        host: Host,
        budget: Budget,
        door: PlatformListener,
        discovery: Discovery,
    ) -> None:
        self.world, self.log, self.environ, self.plan = world, log, environ, plan
        self.host, self.budget, self.door, self.discovery = host, budget, door, discovery

    def reload_patiently(self) -> Coro[None]:
        """Retries while the file can't be read or is still being written, as nobody sends the signal
        again."""
        for attempt in range(TRIES):
            try:
                self.reload()
                return
            except config.UnreadableConfig as error:
                if not attempt:
                    self.log.error("reload_failed", why=str(error), remedy=error.remedy, again=TRIES - 1)
            except config.ConfigError as error:
                self.log.error("reload_failed", why=str(error))
                return
            yield from self.world.sleep(PAUSE)

    def reload(self) -> None:
        """Reads the configuration and puts it in force. Raises ConfigError, and then nothing has changed."""
        new = make_plan(self._with_fixed_fields(config.read(self.environ)), self.world.max_descriptors())
        old, self.plan = self.plan, new
        same = new.same_settings(old)
        if not same:
            self._apply_settings(new)
        self._apply_limits(new)
        self._apply_discovery(new, old)
        self.log.info(
            "reloaded",
            discovery=self.discovery.target,
            settings="kept" if same else "changed",
            clients=new.client_connections,
            engines=new.server_connections,
        )

    def _with_fixed_fields(self, conf: config.Config) -> config.Config:
        """Restores the fields that can't change without a restart and logs each that differs."""
        fixed = {field: getattr(self.plan.conf, field) for field in NEEDS_RESTART}
        for field, value in fixed.items():
            if (wanted := getattr(conf, field)) != value:
                self.log.warning("reload_needs_restart", field=field, found=wanted, in_force=value)
        return msgspec.structs.replace(conf, **fixed)

    def _apply_settings(self, new: Plan) -> None:
        """Applies classes, tenants, kinds and the module's arguments.

        The counts of the old classes are logged first.
        """
        self.log.reset_outcomes()
        self.log.log_counters(self.host.counters)
        self.door.products, self.door.customers = new.products, new.customers
        before = self.host.replace_brain(new.conf.seed, Preferences(), new.arguments)
        self.discovery.set_kinds(new.kinds)  # passes the complete list to all modules
        self.host.brain.continue_slow_start(before)

    def _apply_limits(self, new: Plan) -> None:
        """Applies the limits of connections, descriptors and memory. Unchanged limits change nothing."""
        self.host.apply_bounds(new.bounds)
        self.budget.resize(new.server_connections - new.call_connections, new.call_connections)
        self.door.set_limits(new.client_connections, new.body_bytes)

    def _apply_discovery(self, new: Plan, old: Plan) -> None:
        conf = new.conf
        spread = watching.gateway_spread(conf.name, conf.seed)
        self.discovery.set_times(watching.watch_times(spread, new.drain_grace))
        if not self.discovery.list_received and conf.known != old.conf.known:  # the known list is in force
            known = conf.known
            self.discovery.apply(ServerList(known.revision, True, known.members, known.bad))
        self.discovery.set_target(conf.discovery)
