"""V1: no engine ever got token ids that say something else there than their writer meant.

Judged by texts: what the client meant, by the vocabulary that it wrote for, against what the engine's own tokenizer makes
of the ids in the leg's body. A leg whose ids are missing lost its meaning too. What an engine refused did not run, and counts
only where the gateway had not said which vocabulary the leg is for: then the next engine would have run it.
"""

from collections.abc import Iterable

from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules import Breach


def misread(records: Iterable[Record], rule: int) -> list[Breach]:
    found: list[Breach] = []
    for one in records:
        if one["what"] != "spoke" or (one["refused"] and one["guarded"]):
            continue
        for field in sorted({*one["meant"], *one["said"]}):
            meant, said = one["meant"].get(field, []), one["said"].get(field, [])
            if meant != said:
                found.append(
                    Breach(
                        rule,
                        one["key"],
                        f"{one['gateway']} sent {one['who']} {field} that says {said[:8]} there; "
                        f"meant was {meant[:8]}",
                        [
                            f"{one['at'] / 10:.1f} ms: leg {one['leg']}, written for {one['written']}, ids "
                            f"{one['ids'].get(field)}, engine's vocabulary {one['vocabulary']}"
                        ],
                    )
                )
    return found
