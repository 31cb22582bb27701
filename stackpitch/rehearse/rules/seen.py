"""All records of a day, read once into what the rules ask for."""

from collections import Counter, defaultdict

from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules.words import Effects, Leg, RuleFigures

CATCH_UP = 10_000  # after SIGCONT: what came in meanwhile is late already


class Seen:
    """`down` and `halted`: by process, when it was not there or stopped; `legs` as engines saw them."""

    def __init__(
        self,
        records: list[Record],
        figures: RuleFigures,
        products: dict[str, Effects],
        places: dict[str, tuple[str, int]],
    ) -> None:
        self.records, self.figures, self.products = records, figures, products
        self.places = places  # engine to zone and cell
        self.last = records[-1]["at"] if records else 0
        self.down: dict[str, list[tuple[int, int]]] = defaultdict(list)  # process to when it was not there
        self.halted: dict[str, list[tuple[int, int]]] = defaultdict(
            list
        )  # process to when it was stopped (SIGSTOP)
        self.legs: list[Leg] = []
        self.asks: dict[tuple[str, int], list[Record]] = defaultdict(list)
        self.by_key: dict[str, list[Record]] = defaultdict(list)
        self.held: list[tuple[Record, Record | None, int]] = []  # held, freed, and until when
        self.told: dict[tuple[str, str], list[tuple[int, str]]] = defaultdict(list)
        self.fell: list[Record] = []
        self.ran: Counter[str] = Counter()
        self._read()

    def _read(self) -> None:
        gone: dict[str, int] = {}
        asleep: dict[str, int] = {}
        open_legs: dict[tuple[str, str, int, str], list[Leg]] = defaultdict(list)
        open_states: dict[tuple[str, str, str], Record] = {}
        for one in self.records:
            what, who, at = one["what"], one["who"], one["at"]
            if "key" in one:
                self.by_key[one["key"]].append(one)
            if what == "killed":
                gone.setdefault(one["name"], at)
                for key in [key for key in open_states if key[0] == one["name"]]:
                    self.held.append((open_states.pop(key), None, at))
                for legs in (legs for key, legs in open_legs.items() if key[0] == one["name"]):
                    for leg in legs:
                        leg.end = at
                    legs.clear()
            elif what == "started" and one["name"] in gone:
                self.down[one["name"]].append((gone.pop(one["name"]), at))
            elif what == "stopped":
                asleep.setdefault(one["name"], at)
            elif what == "continued" and one["name"] in asleep:
                self.halted[one["name"]].append((asleep.pop(one["name"]), at + CATCH_UP))
            elif what == "told":
                for server, state in one["states"].items():
                    self.told[one["gateway"], server].append((at, state))
            elif what == "leg":
                leg = Leg(
                    who,
                    one["key"],
                    one["state"].rpartition("-")[0],
                    one["leg"],
                    one["gateway"],
                    one["part"],
                    at,
                )
                self.legs.append(leg)
                open_legs[who, one["key"], one["leg"], one["gateway"]].append(leg)
            elif what in ("refused", "leg-end"):
                found = open_legs[who, one["key"], one["leg"], one["gateway"]]
                if found:
                    if what == "refused":
                        found[0].refused = True
                    else:
                        found.pop(0).end = at
            elif what == "held":
                open_states[who, one["state"], one["kind"]] = one
            elif what == "freed":
                begun = open_states.pop((who, one["state"], one["kind"]), None)
                if begun is not None:
                    self.held.append((begun, one, at))
            elif what == "fell":
                self.fell.append(one)
            elif what == "ran":
                self.ran[one["key"]] += 1
            elif what in ("ask", "end", "after"):
                self.asks[one["key"], one["number"]].append(one)
        for name, since in gone.items():
            self.down[name].append((since, self.last + 1))
        for name, since in asleep.items():
            self.halted[name].append((since, self.last + 1))
        self.held += [(begun, None, self.last) for begun in open_states.values()]

    def was_down(self, name: str, since: int, until: int) -> bool:
        return any(begin <= until and end >= since for begin, end in self.down.get(name, ()))

    def was_halted(self, name: str, since: int, until: int) -> bool:
        return any(begin <= until and end >= since for begin, end in self.halted.get(name, ()))

    def same_group(self, scope: str, one: str, other: str) -> bool:
        if scope == "all":
            return True
        (zone, cell), (other_zone, other_cell) = self.places[one], self.places[other]
        return zone == other_zone and (scope == "zone" or cell == other_cell)
