"""Rule 1: exactly one final answer in time."""

from collections.abc import Iterable

from stackpitch.rehearse.rules.seen import Seen
from stackpitch.rehearse.rules.words import Breach


def answered(day: Seen) -> Iterable[Breach]:
    for (key, number), seen in day.asks.items():
        ask = next((one for one in seen if one["what"] == "ask"), None)
        ends = [one for one in seen if one["what"] == "end"]
        if ask is None:
            continue
        name = f"try {number} at {ask['gateway']}"
        if len(ends) != 1:
            yield Breach(1, key, f"{name}: {len(ends)} ends")
            continue
        end = ends[0]
        how, late = end["how"], end["at"] - ask["at"] - int(ask["limit_ms"] * 10) - day.figures.answer_slack
        if any(one["what"] == "after" for one in seen):
            yield Breach(1, key, f"{name}: something came after the final answer")
        if how == "garbled":
            yield Breach(1, key, f"{name}: no proper answer: {end.get('why')}")
        elif day.was_halted(ask["gateway"], ask["at"], end["at"]):
            continue  # a stopped process can keep no time limit; what it does on waking is judged by the other rules
        elif how == "late" or (how in ("throttled", "terminated") and end.get("first") is None and late > 0):
            yield Breach(1, key, f"{name}: no final answer within {ask['limit_ms']} ms")
        elif (
            how == "streamed"
            and (end["first"] or 0) - ask["at"] > ask["limit_ms"] * 10 + day.figures.answer_slack
        ):
            yield Breach(1, key, f"{name}: first token after the time limit")
        elif how == "broken" and not day.was_down(ask["gateway"], ask["at"], end["at"]):
            yield Breach(1, key, f"{name}: the connection broke without a final answer ({end.get('why')})")
