"""Rule 5: nothing left pinned."""

from collections import defaultdict
from collections.abc import Iterable

from stackpitch.rehearse.rules.seen import Seen
from stackpitch.rehearse.rules.words import Breach, Leg


def pinned(day: Seen) -> Iterable[Breach]:
    legs: dict[str, list[Leg]] = defaultdict(list)
    for leg in day.legs:
        legs[leg.gen].append(leg)
    for begun, freed, until in day.held:
        gen = begun["state"].rpartition("-")[0]
        ours = legs[gen]
        since = min([begun["at"], *(leg.at for leg in ours)])
        if day.was_down(begun["gateway"], since, until) or day.was_halted(begun["gateway"], since, until):
            continue  # what a killed gateway left is not its duty any more, and a stopped one can't
        # Numbers missing among the legs seen are of legs that reached no engine: each was out for a connect limit
        # at most. After the last one seen there may have been as many as were left.
        free, at, last = 0, begun["at"], -1
        for leg in sorted(ours, key=lambda one: one.at):
            if leg.at >= until:
                break
            if leg.at > at:
                free = max(free, leg.at - at - max(0, leg.number - last - 1) * day.figures.connect)
            at, last = max(at, leg.end if leg.end is not None else until), max(last, leg.number)
        free = max(free, until - at - max(0, day.figures.max_legs - 1 - last) * day.figures.connect)
        if free > day.figures.release:
            how = freed["how"] if freed else "never freed"
            key = ours[0].key if ours else gen
            yield Breach(
                5,
                key,
                f"{begun['kind']} {begun['state']} at {begun['who']} lay {free / 10:.0f} ms with no leg "
                f"out ({how})",
            )
