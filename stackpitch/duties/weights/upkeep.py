"""The owner's work at each site besides grants: asks for reports, sends manifests, releases versions into service.

While something is missing anywhere, every site is asked each second unless its reports come by themselves. That includes
complete sites, as their neighbours may fetch from them. When nothing is missing, each is asked every half minute.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from stackpitch.duties.weights import forms
from stackpitch.duties.weights.plan.planner import Planner
from stackpitch.duties.weights.plan.site_states import GatewayState
from stackpitch.loop import SECOND, Coro, Group, Time

MAX_CALLS = 64  # in progress at once, besides grants
ASK_PERIOD: Time = SECOND  # between requests for a report while something is missing
MAX_ASK_PERIOD: Time = 8 * SECOND  # for a gateway that does not answer
IDLE_ASK_PERIOD: Time = 30 * SECOND  # when nothing is missing anywhere; a site may have lost files
RETRY_PERIOD: Time = 2 * SECOND  # of a place or release, until a report shows its effect
MAX_TRIES = 4  # requests without an answer, after which a site no longer keeps the others from idling

Send = Callable[[int, str, Any], Coro[None]]  # to a gateway: kind and body


class Upkeep:
    """The calls to the sites. `admits`: whether a vocabulary may be in service.

    `asked`, `tries` and `sent` have an entry for each gateway or each of its models; all go with the tenure.
    """

    def __init__(self, planner: Planner, send: Send, admits: Callable[[str], bool]) -> None:
        self.planner, self.send, self.admits = planner, send, admits
        self.asked: dict[int, Time] = {}
        self.tries: dict[int, int] = {}
        self.sent: dict[tuple[int, str, str], Time] = {}
        self.calls = 0

    def turn(self, group: Group, now: Time) -> bool:
        """Starts the calls that are due. Whether anything is still missing."""
        planner = self.planner
        wanted_models: dict[str, list[str]] = {site: [] for site in planner.wanted.sites}
        for name, model in planner.wanted.models.items():
            for site in model.sites:
                wanted_models[site].append(name)
        idle = not planner.unconfirmed and all(
            self._is_complete(site, names) for site, names in wanted_models.items()
        )
        for site, names in wanted_models.items():
            if (receiver := planner.sites.receiver(site, now)) is not None:
                self._send_due(group, receiver, names, now)
            self._ask_site(group, site, receiver, idle, now)
        for number in sorted(
            gateway
            for gateway in planner.unconfirmed
            if gateway >= 0 and gateway not in planner.sites.site_of
        ):
            # Named by an older file; these gateways only have to confirm this term.
            self._ask(group, number, "", now, ASK_PERIOD)
        return not idle

    def answered(self, number: int) -> None:
        """A gateway answered a call."""
        self.tries.pop(number, None)

    def renewed(self) -> None:
        """Another wanted set is in force: sends what is due at once."""
        self.sent.clear()

    def _is_complete(self, site: str, names: list[str]) -> bool:
        """Whether nothing is missing at the site, by its last report of whatever age."""
        planner = self.planner
        last = planner.sites.last_receiver(site)
        if last is None or self.tries.get(last.report.gateway, 0) >= MAX_TRIES:
            return all(
                self.tries.get(number, 0) >= MAX_TRIES for number in planner.wanted.sites[site].gateways
            )
        return all((name, planner.wanted.models[name].version) in last.released for name in names)

    def _send_due(self, group: Group, receiver: GatewayState, names: list[str], now: Time) -> None:
        for name in names:
            model = self.planner.wanted.models[name]
            version, manifest = (name, model.version), model.manifest
            if version in receiver.released:
                continue
            if version not in receiver.known:
                self._send_repeated(
                    group,
                    receiver,
                    "place",
                    forms.Place(
                        name,
                        model.version,
                        manifest.size,
                        manifest.piece,
                        manifest.whole,
                        tuple(manifest.pieces),
                    ),
                    now,
                    RETRY_PERIOD,
                )
            elif version in receiver.placed and (not model.vocabulary or self.admits(model.vocabulary)):
                self._send_repeated(
                    group, receiver, "service", forms.Release(name, model.version), now, RETRY_PERIOD
                )
        for version_state in receiver.report.have:
            if version_state.model not in names:
                self._send_repeated(
                    group, receiver, "service", forms.Release(version_state.model, ""), now, 5 * RETRY_PERIOD
                )

    def _ask_site(
        self, group: Group, site: str, receiver: GatewayState | None, idle: bool, now: Time
    ) -> None:
        last = receiver if receiver is not None else self.planner.sites.last_receiver(site)
        ask_seldom = idle and last is not None and self.tries.get(last.report.gateway, 0) < MAX_TRIES
        for number in self.planner.wanted.sites[site].gateways:
            if number in self.planner.unconfirmed:
                self._ask(group, number, site, now, ASK_PERIOD)
            elif ask_seldom and last is not None:
                if number == last.report.gateway and now - last.at >= IDLE_ASK_PERIOD:
                    self._ask(group, number, site, now, ASK_PERIOD)
            elif receiver is None or (number == receiver.report.gateway and now - receiver.at >= ASK_PERIOD):
                self._ask(group, number, site, now, ASK_PERIOD)

    def _ask(self, group: Group, number: int, site: str, now: Time, every: Time) -> None:
        period = min(MAX_ASK_PERIOD, every << min(self.tries.get(number, 0), 3))
        if self.calls < MAX_CALLS and now >= self.asked.get(number, now - period) + period:
            self.asked[number] = now
            self.tries[number] = self.tries.get(number, 0) + 1
            self._spawn(group, number, "begin", forms.Begin(site))

    def _send_repeated(
        self,
        group: Group,
        receiver: GatewayState,
        kind: str,
        body: forms.Place | forms.Release,
        now: Time,
        every: Time,
    ) -> None:
        number = receiver.report.gateway
        key = number, kind, body.model
        if self.calls < MAX_CALLS and now >= self.sent.get(key, now - every) + every:
            self.sent[key] = now
            self.planner.serial += 1
            self._spawn(group, number, kind, msgspec.structs.replace(body, serial=self.planner.serial))

    def _spawn(self, group: Group, number: int, kind: str, body: Any) -> None:
        self.calls += 1
        group.spawn(self._call(number, kind, body), f"weights {kind}")

    def _call(self, number: int, kind: str, body: Any) -> Coro[None]:
        try:
            yield from self.send(number, kind, body)
        finally:
            self.calls -= 1
