"""V3: no two gateways act by different verdicts of the same digests.

A verdict shows in what is made of token ids: the same ids of a field, written for the same vocabulary, go to engines of the
same other vocabulary as the same ids, whichever gateway sends them. And in calls of kind `change`: the same digests come with
the same digest of a verdict.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules import Breach

TAKEN = ("yes", "pages")  # what a gateway answers that goes by it from now on, or once its pages are there


def differing(records: Iterable[Record], rule: int) -> list[Breach]:
    found: list[Breach] = []
    first: dict[tuple[Any, ...], Record] = {}
    calls: dict[int, Record] = {}
    taken: dict[tuple[str, ...], tuple[str, Record]] = {}
    for one in records:
        if one["what"] == "spoke" and not one["refused"]:
            for field, asked in sorted(one["asked"].items()):
                sent = one["ids"].get(field)
                key = one["profile"], one["written"], one["vocabulary"], field, msgspec.json.encode(asked)
                before = first.setdefault(key, one)
                if before["ids"].get(field) != sent and before["gateway"] != one["gateway"]:
                    found.append(
                        Breach(
                            rule,
                            one["key"],
                            f"{one['gateway']} makes {sent} of {field} {asked}, "
                            f"{before['gateway']} makes {before['ids'].get(field)}",
                            [
                                f"{at['at'] / 10:.1f} ms: {at['gateway']} to {at['who']}"
                                for at in (before, one)
                            ],
                        )
                    )
        elif one["what"] == "call" and "verdict" in one:
            calls[one["call"]] = one
        elif one["what"] == "answered" and one.get("word") in TAKEN and one["call"] in calls:
            call = calls[one["call"]]
            digests, content = tuple(call["digests"]), call["verdict"]
            known = taken.setdefault(digests, (content, call))
            if known[0] != content:
                found.append(
                    Breach(
                        rule,
                        "vocabulary",
                        f"g{call['to']} took verdict {content}, g{known[1]['to']} took "
                        f"{known[0]} of the same digests {', '.join(digests)}",
                        [f"call {call['call']}"],
                    )
                )
    return found
