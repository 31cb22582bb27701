"""All five rules on one day's records."""

from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules.answered import answered
from stackpitch.rehearse.rules.effects import effects
from stackpitch.rehearse.rules.pinned import pinned
from stackpitch.rehearse.rules.seen import Seen
from stackpitch.rehearse.rules.servers import cold, drains
from stackpitch.rehearse.rules.story import story
from stackpitch.rehearse.rules.words import Breach, Effects, RuleFigures


class Checker:
    """Reads all records once, then judges each rule."""

    def __init__(
        self,
        records: list[Record],
        figures: RuleFigures,
        products: dict[str, Effects],
        places: dict[str, tuple[str, int]],
    ) -> None:
        self.seen = Seen(records, figures, products, places)

    def verdict(self) -> list[Breach]:
        found = [breach for rule in (answered, effects, drains, cold, pinned) for breach in rule(self.seen)]
        for breach in found:
            breach.story = story(self.seen, breach.key)
        return found
