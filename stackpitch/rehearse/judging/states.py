"""V2: no engine ever took over a state that was read under another vocabulary. Judged by what both ends of a transfer say."""

from collections.abc import Iterable

from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules import Breach


def across(records: Iterable[Record], rule: int) -> list[Breach]:
    """`gave` is noted as a reader hands a state over, `took` as its writer has it."""
    found: list[Breach] = []
    given: dict[str, Record] = {}
    for one in records:
        if one["what"] == "gave":
            given[one["state"]] = one
        elif one["what"] == "took":
            gave = given.pop(one["state"], None)
            if gave is not None and gave["vocabulary"] != one["vocabulary"]:
                found.append(
                    Breach(
                        rule,
                        one["key"],
                        f"{one['gateway']} had {one['who']} ({one['vocabulary']}) take over a "
                        f"state that {gave['who']} read under {gave['vocabulary']}",
                        [f"{one['at'] / 10:.1f} ms: state {one['state']}"],
                    )
                )
    return found
