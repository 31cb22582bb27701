"""What a file of statements says, as plain values. `text()` of each writes it back as the formatter does.

Times are whole tenths of a millisecond. `line` is where a thing stood, for messages; it takes no part in equality.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Literal

Ending = Literal["streamed", "throttled", "terminated"]
Part = Literal["any", "read", "written"]
DAYS = ("monday", "tuesday", "wednesday", "thursday", "friday", "saturday", "sunday")
UNITS = {"ms": 10, "s": 10_000, "min": 600_000}


def duration_text(time: int) -> str:
    if time and time % 10_000 == 0:
        return f"{time // 10_000} s"
    return f"{number_text(time / 10)} ms"


def number_text(number: float) -> str:
    return str(int(number)) if number == int(number) else repr(number)


def name_text(name: str) -> str:
    plain = name.replace("-", "").replace(".", "").replace("_", "")
    bare = (
        name[:1].isalnum()
        and plain.isalnum()
        and name.isascii()
        and not any(name == word or name.startswith(word + mark) for word in ("every",) for mark in "-.")
    )
    return name if bare else f'"{name}"'


def names_text(names: tuple[str, ...], every: str) -> str:
    return " or ".join(name_text(name) for name in names) if names else f"every {every}"


@dataclass(frozen=True, slots=True)
class Filter:
    field: Literal["cell", "zone", "kind"]
    value: str

    def text(self) -> str:
        word = {"cell": "in rack", "zone": "in zone", "kind": "of kind"}[self.field]
        return f"{word} {name_text(self.value)}"


@dataclass(frozen=True, slots=True)
class Term:
    selector: Literal["servers", "readers", "writers", "mixed servers", "server", "defined"]
    name: str = ""  # of the server or the definition
    filters: tuple[Filter, ...] = ()

    def text(self) -> str:
        head = {"server": f"server {name_text(self.name)}", "defined": f'"{self.name}"'}.get(
            self.selector, self.selector
        )
        return " ".join([head, *(one.text() for one in self.filters)])


@dataclass(frozen=True, slots=True)
class Where:
    """A set of servers: any of `terms`, none of `excluded`."""

    terms: tuple[Term, ...]
    excluded: tuple[Term, ...] = ()

    def text(self) -> str:
        text = " or ".join(one.text() for one in self.terms)
        return f"{text} except {' or '.join(one.text() for one in self.excluded)}" if self.excluded else text


@dataclass(frozen=True, slots=True)
class DynamicPlace:
    """A place that depends on what happened before, or that a quantifier binds."""

    reference: Literal[
        "owner",
        "holder",
        "same rack",
        "another rack",
        "another server",
        "that rack",
        "that zone",
        "that server",
    ]

    def text(self) -> str:
        return {
            "owner": "the writer that served its earlier turn",
            "holder": "the rack already holding its opening",
            "same rack": "the rack of its reader",
        }.get(self.reference, self.reference)


Place = Where | DynamicPlace


@dataclass(frozen=True, slots=True)
class Amount:
    """How many of a set: a part, so many, all but so many."""

    how: Literal["all", "percent", "some", "all but", "half"] = "all"
    number: float = 0

    def text(self) -> str:
        number = number_text(self.number)
        return {
            "all": "",
            "percent": f"{number}% of ",
            "some": f"{number} of ",
            "all but": f"all but {number} of ",
            "half": "half of ",
        }[self.how]


@dataclass(frozen=True, slots=True)
class Located:
    line: int = field(default=0, compare=False, kw_only=True)


# Circumstances, in the order in which they come about.


@dataclass(frozen=True, slots=True)
class Given(Located):
    name: str

    def text(self) -> str:
        return f'given "{self.name}"'


@dataclass(frozen=True, slots=True)
class ServerCondition(Located):
    amount: Amount
    where: Where
    state: str
    number: float = 0  # times for slow, percent for report, a duration for cold

    def text(self) -> str:
        many = (
            self.amount.how != "all" or len(self.where.terms) > 1 or self.where.terms[0].selector != "server"
        )
        ending, be = ("", "are") if many else ("s", "is")
        states = {
            "drains": f"drain{ending}",
            "gone": f"{be} gone",
            "ready": f"{be} ready",
            "hangs": f"hang{ending}",
            "cold": f"{be} cold" + (f" for {duration_text(int(self.number))}" if self.number else ""),
            "shunned": f"{be} shunned",
            "full": f"{be} full",
            "slow": f"{be} slow by {number_text(self.number)} times",
            "report": f"report{ending} {number_text(self.number)}% held",
            "refuse": f"refuse{ending} connections",
            "reset": f"reset{ending} before output",
        }
        return f"while {self.amount.text()}{self.where.text()} {states[self.state]}"


@dataclass(frozen=True, slots=True)
class TimeOfDay(Located):
    """The time of day, and of the week, at which the statement is played."""

    minute: int
    day: int = 0  # 0 is a Monday

    def text(self) -> str:
        return f"while it is {self.minute // 60:02}:{self.minute % 60:02}" + (
            f" on {DAYS[self.day]}" if self.day else ""
        )


@dataclass(frozen=True, slots=True)
class BackgroundLoad(Located):
    rate: float

    def text(self) -> str:
        return f"while {number_text(self.rate)} generations a second come"


@dataclass(frozen=True, slots=True)
class Deploy(Located):
    where: Where
    size: int
    time: int

    def text(self) -> str:
        return (
            f"during a deploy of {self.where.text()}, {self.size} at a time, over {duration_text(self.time)}"
        )


@dataclass(frozen=True, slots=True)
class Restart(Located):
    def text(self) -> str:
        return "after a restart"


@dataclass(frozen=True, slots=True)
class Pause(Located):
    time: int

    def text(self) -> str:
        return f"after {duration_text(self.time)}"


@dataclass(frozen=True, slots=True)
class LegEvent(Located):
    part: Literal["reader", "writer", "first leg"]
    event: str

    def text(self) -> str:
        return f"after its {self.part} {self.event}"


@dataclass(frozen=True, slots=True)
class ClientLeaves(Located):
    when: Literal["leaves", "leaves at once", "leaves mid-stream"]

    def text(self) -> str:
        return f"after its client {self.when}"


@dataclass(frozen=True, slots=True)
class Traffic(Located):
    """Generations: `products` and `customers` empty mean every one."""

    count: int | None  # None: one
    turn: Literal["first", "second", "third", "later"]
    products: tuple[str, ...]
    customers: tuple[str, ...] | None = None  # None: of no customer
    opening: str | None = None
    opening_tok: int = 500
    prompt_tok: int = 1000
    answer_tok: int = 100
    adding_tok: int = 200
    rate: float | None = None
    again: bool = False

    def text(self) -> str:
        count = "a" if self.count is None else str(self.count)
        parts = [
            f"{count} {self.turn} turn{'' if self.count in (None, 1) else 's'} of "
            + names_text(self.products, "product")
        ]
        if self.customers is not None:
            parts.append("from " + names_text(self.customers, "customer"))
        if self.opening is not None:
            parts.append(
                f'opening "{self.opening}"'
                + (f" of {self.opening_tok} tokens" if self.opening_tok != 500 else "")
            )
        for word, number, usual in (
            ("prompt of", self.prompt_tok, 1000),
            ("answer of", self.answer_tok, 100),
            ("adding", self.adding_tok, 200),
        ):
            if number != usual:
                parts.append(f"{word} {number} tokens")
        if self.rate is not None:
            parts.append(f"at {number_text(self.rate)} a second")
        if self.again:
            parts.append("sent again")
        return ", ".join(parts)

    def when_text(self) -> str:
        first, comma, rest = self.text().partition(", ")
        return f"when {first} {'comes' if self.count in (None, 1) else 'come'}{comma}{rest}"


@dataclass(frozen=True, slots=True)
class EarlierTraffic(Located):
    traffic: Traffic

    def text(self) -> str:
        return f"after {self.traffic.text()}"


Circumstance = (
    Given
    | ServerCondition
    | TimeOfDay
    | BackgroundLoad
    | Deploy
    | Restart
    | Pause
    | LegEvent
    | ClientLeaves
    | EarlierTraffic
)

# Claims.


@dataclass(frozen=True, slots=True)
class Goes:
    part: Part
    place: Place
    never: bool = False

    def text(self) -> str:
        if self.never:
            return f"it never goes to {self.place.text()}"
        return {"any": "it goes to", "read": "it is read by", "written": "it is written by"}[self.part] + (
            f" {self.place.text()}"
        )


@dataclass(frozen=True, slots=True)
class Ended:
    how: Ending
    expected: bool

    def text(self) -> str:
        return f"it is {'' if self.expected else 'not '}{self.how}"


@dataclass(frozen=True, slots=True)
class Resent:
    expected: bool

    def text(self) -> str:
        return f"it is {'' if self.expected else 'not '}sent again"


@dataclass(frozen=True, slots=True)
class Answered:
    """`within` None: at once, as soon as its last leg is back."""

    within: int | None

    def text(self) -> str:
        return (
            "it is answered at once"
            if self.within is None
            else f"it is answered within {duration_text(self.within)}"
        )


@dataclass(frozen=True, slots=True)
class LegCount:
    count: int
    exactly: bool

    def text(self) -> str:
        legs = "leg is" if self.count == 1 else "legs are"
        return f"{'exactly' if self.exactly else 'at most'} {self.count} {legs} sent"


@dataclass(frozen=True, slots=True)
class Released:
    within: int

    def text(self) -> str:
        return f"what it holds is let go within {duration_text(self.within)}"


@dataclass(frozen=True, slots=True)
class Share:
    """Of many generations, in percent. `target` is a place that they go to, or how they end."""

    low: float
    high: float
    part: Part
    target: Place | Ending
    confidence: float = 99.0

    def text(self) -> str:
        low, high = number_text(self.low), number_text(self.high)
        share = (
            f"at most {high}%"
            if not self.low
            else f"at least {low}%"
            if self.high == 100
            else (f"between {low}% and {high}%")
        )
        if isinstance(self.target, str):
            verb = f"are {self.target}"
        else:
            verb = {"any": "go to", "read": "are read by", "written": "are written by"}[
                self.part
            ] + f" {self.target.text()}"
        sure = f" with {number_text(self.confidence)}% confidence" if self.confidence != 99 else ""
        return f"{share} of them {verb}{sure}"


@dataclass(frozen=True, slots=True)
class RuleHolds:
    name: str | None  # None: all five

    def text(self) -> str:
        return "no rule is broken" if self.name is None else f"rule {self.name} holds"


@dataclass(frozen=True, slots=True)
class SettingClaim:
    path: str
    value: float | str | bool

    def text(self) -> str:
        value = self.value
        shown = (
            str(value).lower()
            if isinstance(value, bool)
            else f'"{value}"'
            if isinstance(value, str)
            else (number_text(value))
        )
        return f'setting "{self.path}" is {shown}'


@dataclass(frozen=True, slots=True)
class ServerCount:
    """How many servers the fleet has of a set."""

    count: int
    where: Where
    least: bool

    def text(self) -> str:
        return f"there {'is' if self.count == 1 else 'are'} {'at least ' if self.least else ''}{self.count} {self.where.text()}"


@dataclass(frozen=True, slots=True)
class EachServer:
    """What the list says of each server of a set: that it is ready, or what it weighs."""

    where: Where
    weight: float | None

    def text(self) -> str:
        many = len(self.where.terms) > 1 or self.where.terms[0].selector != "server"
        if self.weight is None:
            return f"all {self.where.text()} {'are' if many else 'is'} ready"
        return f"all {self.where.text()} weigh{'' if many else 's'} {number_text(self.weight)}"


Claim = (
    Goes
    | Ended
    | Resent
    | Answered
    | LegCount
    | Released
    | Share
    | RuleHolds
    | SettingClaim
    | ServerCount
    | EachServer
)


@dataclass(frozen=True, slots=True)
class Expectation(Located):
    claim: Claim
    every: Literal["rack", "zone", "server"] | None = None
    of: Where | None = None

    def text(self) -> str:
        each = f"for every {self.every}{f' of {self.of.text()}' if self.of else ''}, " if self.every else ""
        return each + self.claim.text()


@dataclass(frozen=True, slots=True)
class Definition(Located):
    name: str
    where: Where

    def text(self) -> str:
        return f'define "{self.name}" as {self.where.text()}'


@dataclass(frozen=True, slots=True)
class Situation(Located):
    name: str
    circumstances: tuple[Circumstance, ...]

    def lines(self) -> Iterator[tuple[int, str]]:
        yield self.line, f'situation "{self.name}":'
        for one in self.circumstances:
            yield one.line, f"  {one.text()}"


@dataclass(frozen=True, slots=True)
class Statement(Located):
    name: str
    guard: bool
    circumstances: tuple[Circumstance, ...]
    traffic: Traffic | None  # None: about settings alone
    expectations: tuple[Expectation, ...]

    def lines(self) -> Iterator[tuple[int, str]]:
        yield self.line, f'statement "{self.name}"{" (guard)" if self.guard else ""}:'
        for one in self.circumstances:
            yield one.line, f"  {one.text()}"
        if self.traffic is not None:
            yield self.traffic.line, f"  {self.traffic.when_text()}"
        for number, then in enumerate(self.expectations):
            yield then.line, f"  {'and' if number else 'then'} {then.text()}"


@dataclass(frozen=True, slots=True)
class StatementFile:
    """One file."""

    file: str = field(compare=False)
    items: tuple[Definition | Situation | Statement, ...] = ()
    comments: tuple[tuple[int, str], ...] = field(default=(), compare=False)  # line and text

    def statements(self) -> list[Statement]:
        return [one for one in self.items if isinstance(one, Statement)]
