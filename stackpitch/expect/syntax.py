"""The syntax tree of a file of statements. `text()` of a node gives its canonical form, for the formatter.

Times are whole tenths of a millisecond. `line` is the line in the file, for messages; equality ignores it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Literal

Ending = Literal["streamed", "throttled", "terminated"]
# The phase of serving that a claim is about: read is prefill, written is decode.
Phase = Literal["any", "read", "written"]
DAYS = ("monday", "tuesday", "wednesday", "thursday", "friday", "saturday", "sunday")
UNITS = {"ms": 10, "s": 10_000, "min": 600_000}


def duration_text(time: int) -> str:
    """A duration in whole seconds, or else in milliseconds."""
    if time and time % 10_000 == 0:
        return f"{time // 10_000} s"
    return f"{number_text(time / 10)} ms"


def number_text(number: float) -> str:
    """A number, without a fraction where it is whole."""
    return str(int(number)) if number == int(number) else repr(number)


def name_text(name: str) -> str:
    """A name, in quotes where the lexer would not read it as a bare name."""
    stripped = name.replace("-", "").replace(".", "").replace("_", "")
    bare = (
        name[:1].isalnum()
        and stripped.isalnum()
        and name.isascii()
        and not any(
            name == word or name.startswith(word + separator) for word in ("every",) for separator in "-."
        )
    )
    return name if bare else f'"{name}"'


def names_text(names: tuple[str, ...], noun: str) -> str:
    """Alternative names; no names means every product or customer, as `noun` says."""
    return " or ".join(name_text(name) for name in names) if names else f"every {noun}"


@dataclass(frozen=True, slots=True)
class Filter:
    """Restricts a set of servers to one rack (field `cell`), zone or kind."""

    field: Literal["cell", "zone", "kind"]
    value: str

    def text(self) -> str:
        word = {"cell": "in rack", "zone": "in zone", "kind": "of kind"}[self.field]
        return f"{word} {name_text(self.value)}"


@dataclass(frozen=True, slots=True)
class Term:
    """One part of a set of servers: a role, a single server or a definition, narrowed by all `filters`."""

    selector: Literal["servers", "readers", "writers", "mixed servers", "server", "defined"]
    name: str = ""  # of the server or the definition
    filters: tuple[Filter, ...] = ()

    def text(self) -> str:
        head = {"server": f"server {name_text(self.name)}", "defined": f'"{self.name}"'}.get(
            self.selector, self.selector
        )
        return " ".join([head, *(filter_.text() for filter_ in self.filters)])


@dataclass(frozen=True, slots=True)
class Where:
    """A set of servers: those in any of `terms` and in none of `excluded`."""

    terms: tuple[Term, ...]
    excluded: tuple[Term, ...] = ()

    def text(self) -> str:
        text = " or ".join(term.text() for term in self.terms)
        return (
            f"{text} except {' or '.join(term.text() for term in self.excluded)}" if self.excluded else text
        )


@dataclass(frozen=True, slots=True)
class DynamicPlace:
    """A place that depends on the run so far, or on the value of the quantifier (`that ...`)."""

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
    """How many servers of a set: all, a percentage, a number, all but a number, or half."""

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
    """A node with its line in the file."""

    line: int = field(default=0, compare=False, kw_only=True)


# Circumstances, applied in their order in the statement.


@dataclass(frozen=True, slots=True)
class Given(Located):
    """Includes the circumstances of a named situation."""

    name: str

    def text(self) -> str:
        return f'given "{self.name}"'


@dataclass(frozen=True, slots=True)
class ServerCondition(Located):
    """Servers are in a state, as `state` names it in the grammar, while the statement is evaluated."""

    amount: Amount
    where: Where
    state: str
    number: float = 0  # times for slow, percent for report, a duration for cold

    def text(self) -> str:
        plural = (
            self.amount.how != "all" or len(self.where.terms) > 1 or self.where.terms[0].selector != "server"
        )
        ending, be = ("", "are") if plural else ("s", "is")
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
    """The time of day and day of the week at which the statement is evaluated."""

    minute: int
    day: int = 0  # 0 is a Monday

    def text(self) -> str:
        return f"while it is {self.minute // 60:02}:{self.minute % 60:02}" + (
            f" on {DAYS[self.day]}" if self.day else ""
        )


@dataclass(frozen=True, slots=True)
class BackgroundLoad(Located):
    """Other generations arrive at `rate` a second."""

    rate: float

    def text(self) -> str:
        return f"while {number_text(self.rate)} generations a second come"


@dataclass(frozen=True, slots=True)
class Deploy(Located):
    """A deploy of a set of servers, `size` at a time, that takes `time` in all."""

    where: Where
    size: int
    time: int

    def text(self) -> str:
        return (
            f"during a deploy of {self.where.text()}, {self.size} at a time, over {duration_text(self.time)}"
        )


@dataclass(frozen=True, slots=True)
class Restart(Located):
    """The gateway restarts."""

    def text(self) -> str:
        return "after a restart"


@dataclass(frozen=True, slots=True)
class Pause(Located):
    """Time passes."""

    time: int

    def text(self) -> str:
        return f"after {duration_text(self.time)}"


@dataclass(frozen=True, slots=True)
class LegEvent(Located):
    """A leg of the generation has a fault: `event` in the words of the grammar."""

    leg: Literal["reader", "writer", "first leg"]
    event: str

    def text(self) -> str:
        return f"after its {self.leg} {self.event}"


@dataclass(frozen=True, slots=True)
class ClientLeaves(Located):
    """The client of the generation disconnects."""

    when: Literal["leaves", "leaves at once", "leaves mid-stream"]

    def text(self) -> str:
        return f"after its client {self.when}"


@dataclass(frozen=True, slots=True)
class Traffic(Located):
    """Generations to send; empty `products` or `customers` means each one in the configuration.

    `rate` is in generations a second; `opening` names the shared prefix.
    """

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
        for word, number, default in (
            ("prompt of", self.prompt_tok, 1000),
            ("answer of", self.answer_tok, 100),
            ("adding", self.adding_tok, 200),
        ):
            if number != default:
                parts.append(f"{word} {number} tokens")
        if self.rate is not None:
            parts.append(f"at {number_text(self.rate)} a second")
        if self.again:
            parts.append("sent again")
        return ", ".join(parts)

    def when_text(self) -> str:
        """The text as the "when" line of a statement."""
        first, comma, rest = self.text().partition(", ")
        return f"when {first} {'comes' if self.count in (None, 1) else 'come'}{comma}{rest}"


@dataclass(frozen=True, slots=True)
class EarlierTraffic(Located):
    """Generations sent before those that the statement is about."""

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
    """The generation is served at a place in this phase; with `never`, none of its legs goes there."""

    phase: Phase
    place: Place
    never: bool = False

    def text(self) -> str:
        if self.never:
            return f"it never goes to {self.place.text()}"
        return {"any": "it goes to", "read": "it is read by", "written": "it is written by"}[self.phase] + (
            f" {self.place.text()}"
        )


@dataclass(frozen=True, slots=True)
class Ended:
    """The generation ends in this way, or does not (`expected` False)."""

    how: Ending
    expected: bool

    def text(self) -> str:
        return f"it is {'' if self.expected else 'not '}{self.how}"


@dataclass(frozen=True, slots=True)
class Resent:
    """The generation has several legs at servers of one role, or does not (`expected` False)."""

    expected: bool

    def text(self) -> str:
        return f"it is {'' if self.expected else 'not '}sent again"


@dataclass(frozen=True, slots=True)
class Answered:
    """The generation is answered within a time; None: at once, when its last leg has ended."""

    within: int | None

    def text(self) -> str:
        return (
            "it is answered at once"
            if self.within is None
            else f"it is answered within {duration_text(self.within)}"
        )


@dataclass(frozen=True, slots=True)
class LegCount:
    """How many legs are sent, exactly or at most."""

    count: int
    exactly: bool

    def text(self) -> str:
        legs = "leg is" if self.count == 1 else "legs are"
        return f"{'exactly' if self.exactly else 'at most'} {self.count} {legs} sent"


@dataclass(frozen=True, slots=True)
class Released:
    """Servers hold KV state or a reservation with no leg outstanding for at most `within`."""

    within: int

    def text(self) -> str:
        return f"what it holds is let go within {duration_text(self.within)}"


@dataclass(frozen=True, slots=True)
class Share:
    """The share of many generations, in percent, that go to a place or end in a way (`target`).

    `confidence` is that of the interval for the share, in percent.
    """

    low: float
    high: float
    phase: Phase
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
                self.phase
            ] + f" {self.target.text()}"
        confidence = f" with {number_text(self.confidence)}% confidence" if self.confidence != 99 else ""
        return f"{share} of them {verb}{confidence}"


@dataclass(frozen=True, slots=True)
class RuleHolds:
    """No rule of the dry run is broken, or not this one."""

    name: str | None  # None: all rules

    def text(self) -> str:
        return "no rule is broken" if self.name is None else f"rule {self.name} holds"


@dataclass(frozen=True, slots=True)
class SettingClaim:
    """A setting has this value; `path` is its dotted path."""

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
    """How many servers a set has in the server list, exactly or at least."""

    count: int
    where: Where
    least: bool

    def text(self) -> str:
        return f"there {'is' if self.count == 1 else 'are'} {'at least ' if self.least else ''}{self.count} {self.where.text()}"


@dataclass(frozen=True, slots=True)
class EachServer:
    """Each server of a set has this weight in the server list; None: is ready."""

    where: Where
    weight: float | None

    def text(self) -> str:
        plural = len(self.where.terms) > 1 or self.where.terms[0].selector != "server"
        if self.weight is None:
            return f"all {self.where.text()} {'are' if plural else 'is'} ready"
        return f"all {self.where.text()} weigh{'' if plural else 's'} {number_text(self.weight)}"


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
    """A claim that must hold, for every rack, zone or server (of the set `of`) if `every` is set."""

    claim: Claim
    every: Literal["rack", "zone", "server"] | None = None
    of: Where | None = None

    def text(self) -> str:
        quantifier = (
            f"for every {self.every}{f' of {self.of.text()}' if self.of else ''}, " if self.every else ""
        )
        return quantifier + self.claim.text()


@dataclass(frozen=True, slots=True)
class Definition(Located):
    """A name for a set of servers."""

    name: str
    where: Where

    def text(self) -> str:
        return f'define "{self.name}" as {self.where.text()}'


@dataclass(frozen=True, slots=True)
class Situation(Located):
    """A name for circumstances that statements can include."""

    name: str
    circumstances: tuple[Circumstance, ...]

    def lines(self) -> Iterator[tuple[int, str]]:
        """Each line of the canonical text, with its line in the file."""
        yield self.line, f'situation "{self.name}":'
        for circumstance in self.circumstances:
            yield circumstance.line, f"  {circumstance.text()}"


@dataclass(frozen=True, slots=True)
class Statement(Located):
    """A statement: circumstances, traffic and what is expected of it. A guard is also checked before a
    new server list is accepted.
    """

    name: str
    guard: bool
    circumstances: tuple[Circumstance, ...]
    traffic: Traffic | None  # None: about settings and the server list only
    expectations: tuple[Expectation, ...]

    def lines(self) -> Iterator[tuple[int, str]]:
        """Each line of the canonical text, with its line in the file."""
        yield self.line, f'statement "{self.name}"{" (guard)" if self.guard else ""}:'
        for circumstance in self.circumstances:
            yield circumstance.line, f"  {circumstance.text()}"
        if self.traffic is not None:
            yield self.traffic.line, f"  {self.traffic.when_text()}"
        for number, expectation in enumerate(self.expectations):
            yield expectation.line, f"  {'and' if number else 'then'} {expectation.text()}"


@dataclass(frozen=True, slots=True)
class StatementFile:
    """One file of statements."""

    file: str = field(compare=False)
    items: tuple[Definition | Situation | Statement, ...] = ()
    comments: tuple[tuple[int, str], ...] = field(default=(), compare=False)  # line and text

    def statements(self) -> list[Statement]:
        return [item for item in self.items if isinstance(item, Statement)]
