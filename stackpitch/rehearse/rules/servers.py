"""Rules 3 and 4: nothing new to a drained server, no cold server pushed over."""

from collections.abc import Iterable

from stackpitch.rehearse.rules.seen import Seen
from stackpitch.rehearse.rules.words import Breach


def drains(day: Seen) -> Iterable[Breach]:
    for leg in day.legs:
        if leg.engine == "trap":
            yield Breach(3, leg.key, f"{leg.gateway} sent to {leg.engine}, which only broken lists name")
    came = [(leg.gateway, leg.engine, leg.at, leg.key) for leg in day.legs]
    came += [
        (one["gateway"], one["who"], one["at"], one["state"])
        for one, _, _ in day.held
        if one["kind"] == "place"
    ]
    for gateway, engine, at, key in came:
        state, since = "ready", 0
        for told_at, told in day.told.get((gateway, engine), ()):
            if told_at > at:
                break
            if told != state:
                state, since = told, told_at
        if state != "ready" and at > since + day.figures.drain_grace:
            yield Breach(
                3, key, f"{gateway} sent to {engine} {(at - since) / 10:.0f} ms after it was told: {state}"
            )


def cold(day: Seen) -> Iterable[Breach]:
    for one in day.fell:
        yield Breach(
            4, one["who"], f"{one['who']} fell over: {one['came']} s of work came, {one['budget']} allowed"
        )
