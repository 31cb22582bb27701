"""SIGHUP: takes another configuration while the gateway runs.

All of it is worked out before anything changes, so one that can't be used changes nothing. Where the settings
are the same, the module, what it has learnt and all connections stay. Where they are not, nothing of the old
ones decides about requests that arrive later: these meet other classes, tenants and bounds, and a module made
anew. Requests that are under way go on at the module they arrived at, with the facts they arrived with
(`gateway.host.events.ArrivalSettings`).
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

TRIES, PAUSE = 20, 100 * MS  # what a new configuration has to tell counts four seconds after the signal
RESTART = ("name", "listen")  # fields that can't change while the process runs


class Reloader:
    """`plan` is the one in force."""

    def __init__(
        self,
        world: World,
        log: "JsonLog",
        given: Mapping[str, str],
        plan: Plan,
        host: Host,
        budget: Budget,
        door: PlatformListener,
        discovery: Discovery,
    ) -> None:
        self.world, self.log, self.given, self.plan = world, log, given, plan
        self.host, self.budget, self.door, self.discovery = host, budget, door, discovery

    def reload_patiently(self) -> Coro[None]:
        """Guards against a file that can't be read for a moment, or is still being written: nobody sends the signal again."""
        for tried in range(TRIES):
            try:
                self.reload()
                return
            except config.UnreadableConfig as wrong:
                if not tried:
                    self.log.error("reload_failed", why=str(wrong), remedy=wrong.remedy, again=TRIES - 1)
            except config.ConfigError as wrong:
                self.log.error("reload_failed", why=str(wrong))
                return
            yield from self.world.sleep(PAUSE)

    def reload(self) -> None:
        """Reads the configuration anew and puts it in force. Raises BadConfig, and then nothing has changed."""
        new = make_plan(self._with_kept_fields(config.read(self.given)), self.world.max_descriptors())
        old, self.plan = self.plan, new
        same = new.same_settings(old)
        if not same:
            self._take_settings(new)
        self._take_shares(new)
        self._take_discovery(new, old)
        self.log.info(
            "reloaded",
            discovery=self.discovery.target,
            settings="kept" if same else "changed",
            clients=new.clients,
            engines=new.engines,
        )

    def _with_kept_fields(self, conf: config.Config) -> config.Config:
        """What can't change without a restart stays as it is, with one line for each."""
        kept = {field: getattr(self.plan.conf, field) for field in RESTART}
        for field, value in kept.items():
            if (found := getattr(conf, field)) != value:
                self.log.warning("reload_needs_restart", field=field, found=found, in_force=value)
        return msgspec.structs.replace(conf, **kept)

    def _take_settings(self, new: Plan) -> None:
        """Classes, tenants, kinds, the module's arguments. Counts of the old classes are told first."""
        self.log.begin_anew()
        self.log.counters(self.host.counters)
        self.door.products, self.door.customers = new.products, new.customers
        before = self.host.replace_brain(new.conf.seed, Preferences(), new.arguments)
        self.discovery.take_kinds(new.kinds)  # tells all modules the whole list
        self.host.brain.continue_slow_start(before)

    def _take_shares(self, new: Plan) -> None:
        """Bounds of connections, descriptors and memory. Where they are the same nothing changes."""
        self.host.apply_bounds(new.bounds)
        self.budget.resize(new.engines - new.calls, new.calls)
        self.door.take_bounds(new.clients, new.bodies)

    def _take_discovery(self, new: Plan, old: Plan) -> None:
        conf = new.conf
        self.discovery.times = watching.watch_times(watching.gateway_spread(conf.name, conf.seed))
        if not self.discovery.fresh and conf.known != old.conf.known:  # the known list is all there is so far
            known = conf.known
            self.discovery.take(ServerList(known.revision, True, known.members, known.bad))
        self.discovery.aim(conf.discovery)
