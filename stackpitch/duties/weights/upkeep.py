"""What an owner does at each site beside grants: asks what is there, sends manifests, releases what may go into service.

While something is missing anywhere, every site is asked each second unless its reports come by themselves: also one that
has all, as its neighbours may fetch from it. When nothing is, each site is asked every half minute.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from stackpitch.duties.weights import forms
from stackpitch.duties.weights.plan.planner import Planner
from stackpitch.duties.weights.plan.site_states import GatewayState
from stackpitch.loop import SECOND, Coro, Group, Time

MOST_CALLS = 64  # under way at once, beside grants
ASKED: Time = SECOND  # between questions, while something is missing
LONGEST: Time = 8 * SECOND  # and to one that gives no answer
REST: Time = 30 * SECOND  # to one that has all, when nothing is missing anywhere: it may have lost it
AGAIN: Time = 2 * SECOND  # a place or release, until a report shows it
GIVEN_UP = 4  # questions without an answer, after which a site keeps the others from rest no longer

Send = Callable[[int, str, Any], Coro[None]]  # to a gateway: kind and body


class Upkeep:
    """`admits`: whether a vocabulary may be in service. `asked`, `tries` and `told` have an entry for each gateway or each
    of its models; all go with the tenure."""

    def __init__(self, planner: Planner, send: Send, admits: Callable[[str], bool]) -> None:
        self.planner, self.send, self.admits = planner, send, admits
        self.asked: dict[int, Time] = {}
        self.tries: dict[int, int] = {}
        self.told: dict[tuple[int, str, str], Time] = {}
        self.calls = 0

    def turn(self, group: Group, now: Time) -> bool:
        """All that is due; whether anything is still missing."""
        planner = self.planner
        shall: dict[str, list[str]] = {site: [] for site in planner.wanted.sites}
        for name, model in planner.wanted.models.items():
            for site in model.sites:
                shall[site].append(name)
        rest = not planner.unconfirmed and all(self._rests(site, names) for site, names in shall.items())
        for site, names in shall.items():
            if (heard := planner.sites.receiver(site, now)) is not None:
                self._site(group, heard, names, now)
            self._questions(group, site, heard, rest, now)
        for number in sorted(
            one for one in planner.unconfirmed if one >= 0 and one not in planner.sites.site_of
        ):
            self._ask(group, number, "", now, ASKED)  # of an older file; they only have to hear this term
        return not rest

    def answered(self, number: int) -> None:
        self.tries.pop(number, None)

    def renewed(self) -> None:
        self.told.clear()

    def _rests(self, site: str, names: list[str]) -> bool:
        """By what was heard last, however long ago."""
        planner = self.planner
        last = planner.sites.last_receiver(site)
        if last is None or self.tries.get(last.report.gateway, 0) >= GIVEN_UP:
            return all(
                self.tries.get(number, 0) >= GIVEN_UP for number in planner.wanted.sites[site].gateways
            )
        return all((name, planner.wanted.models[name].version) in last.released for name in names)

    def _site(self, group: Group, heard: GatewayState, names: list[str], now: Time) -> None:
        for name in names:
            model = self.planner.wanted.models[name]
            version, manifest = (name, model.version), model.manifest
            if version in heard.released:
                continue
            if version not in heard.known:
                self._tell(
                    group,
                    heard,
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
                    AGAIN,
                )
            elif version in heard.placed and (not model.vocabulary or self.admits(model.vocabulary)):
                self._tell(group, heard, "service", forms.Release(name, model.version), now, AGAIN)
        for one in heard.report.have:
            if one.model not in names:
                self._tell(group, heard, "service", forms.Release(one.model, ""), now, 5 * AGAIN)

    def _questions(self, group: Group, site: str, heard: GatewayState | None, rest: bool, now: Time) -> None:
        last = heard if heard is not None else self.planner.sites.last_receiver(site)
        at_rest = rest and last is not None and self.tries.get(last.report.gateway, 0) < GIVEN_UP
        for number in self.planner.wanted.sites[site].gateways:
            if number in self.planner.unconfirmed:
                self._ask(group, number, site, now, ASKED)
            elif at_rest and last is not None:
                if number == last.report.gateway and now - last.at >= REST:
                    self._ask(group, number, site, now, ASKED)
            elif heard is None or (number == heard.report.gateway and now - heard.at >= ASKED):
                self._ask(group, number, site, now, ASKED)

    def _ask(self, group: Group, number: int, site: str, now: Time, every: Time) -> None:
        late = min(LONGEST, every << min(self.tries.get(number, 0), 3))
        if self.calls < MOST_CALLS and now >= self.asked.get(number, now - late) + late:
            self.asked[number] = now
            self.tries[number] = self.tries.get(number, 0) + 1
            self._spawn(group, number, "begin", forms.Begin(site))

    def _tell(
        self,
        group: Group,
        heard: GatewayState,
        kind: str,
        body: forms.Place | forms.Release,
        now: Time,
        every: Time,
    ) -> None:
        number = heard.report.gateway
        key = number, kind, body.model
        if self.calls < MOST_CALLS and now >= self.told.get(key, now - every) + every:
            self.told[key] = now
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
