"""Reads files of statements. Pure but for `read_statement_file`, which reads one file.

Hostile input is refused before it costs anything: by size, by encoding, by count; the grammar has no nesting, so no
depth of it can be asked for.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import cache
from importlib.resources import files
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken, VisitError

from stackpitch.expect import syntax as s

MOST_BYTES, MOST_ITEMS, MOST_COUNT = 100_000, 5_000, 100_000
MOST_WORDS = (
    24_000  # reading takes its time by them: a file of short words alone would hold a check up for seconds
)

SHOWN = {
    "NAME": "a name",
    "STRING": 'a "quoted name"',
    "NUMBER": "a number",
    "TURN": "first",
    "TURNS": "turn",
    "COME": "comes",
    "DRAIN": "drains",
    "IS": "is",
    "HANG": "hangs",
    "REPORT": "reports",
    "REFUSE": "refuses",
    "LEG": "legs",
    "RESET": "resets",
    "PART": "reader, writer or first leg",
    "HAPPENING": "resets before output, times out, can't be "
    "reached, is full, loses the state, breaks mid-stream or gives an error",
    "LEAVING": "leaves",
    "WEIGH": "weighs",
    "ENDED": "streamed, throttled or terminated",
    "QUANTITY": "rack, zone or server",
    "EVERY": "every",
    "RULE": "answered, effects, drains, cold or pinned",
    "WHAT": "servers, readers, writers or mixed servers",
    "OWNER": "the writer that served its earlier turn",
    "HOLDER": "the rack already holding its opening",
    "SAME": "the rack of its reader",
    "OTHER_RACK": "another rack",
    "OTHER": "another server",
    "THAT": "that rack",
    "UNIT": "ms, s or min",
    "RACK": "rack",
    "CLOCK": "a time of day as 21:30",
    "DAY": "a day as saturday",
    "GUARD": "(guard)",
    "COLON": ":",
    "COMMA": ",",
    "PERCENT": "%",
    "$END": "the end of the file",
}


class BadStatement(Exception):
    """What is wrong, with file, line and column."""


def _placed(method: Callable[["_Reader", list[Any]], Any]) -> Any:
    """Gives what a line makes the number of that line."""

    def make(self: "_Reader", meta: Any, parts: list[Any]) -> Any:
        return replace(method(self, parts), line=meta.line)

    return v_args(meta=True)(make)


class _Reader(Transformer[Token, Any]):
    """From the parser's tree to `syntax`."""

    def __init__(self) -> None:
        super().__init__(visit_tokens=True)

    def NUMBER(self, token: Token) -> Token:
        return token

    @staticmethod
    def plain(token: Token) -> str:
        text = str(token)
        return text[1:-1] if token.type == "STRING" else text

    @staticmethod
    def whole(token: Token, what: str, least: int = 0) -> int:
        number = float(token)
        if number != int(number) or number < least or number > 10_000_000:
            raise ValueError(f"{what}: found {token}; a whole number from {least} is allowed", token)
        return int(number)

    @staticmethod
    def percent_of(token: Token) -> float:
        if float(token) > 100:
            raise ValueError(f"found {token}%; 0% to 100% is allowed", token)
        return float(token)

    def name(self, parts: list[Token]) -> str:
        return self.plain(parts[0])

    def duration(self, parts: list[Token]) -> int:
        return round(float(parts[0]) * s.UNITS[str(parts[1])])

    # Sets.

    def in_rack(self, parts: list[Any]) -> s.Filter:
        return s.Filter("cell", parts[-1])

    def in_zone(self, parts: list[Any]) -> s.Filter:
        return s.Filter("zone", parts[0])

    def of_kind(self, parts: list[Any]) -> s.Filter:
        return s.Filter("kind", parts[0])

    def sort(self, parts: list[Any]) -> s.Term:
        return s.Term(str(parts[0]), "", tuple(parts[1:]))  # type: ignore[arg-type]

    def server(self, parts: list[Any]) -> s.Term:
        return s.Term("server", parts[0])

    def defined(self, parts: list[Any]) -> s.Term:
        return s.Term("defined", self.plain(parts[0]), tuple(parts[1:]))

    def exception(self, parts: list[Any]) -> tuple[s.Term, ...]:
        return tuple(parts)

    def where(self, parts: list[Any]) -> s.Where:
        *terms, but = parts
        return s.Where(tuple(terms), but or ())

    def place(self, parts: list[Any]) -> s.Place:
        one = parts[0]
        if not isinstance(one, Token):
            return one  # type: ignore[no-any-return]
        words = {
            "OWNER": "owner",
            "HOLDER": "holder",
            "SAME": "same rack",
            "OTHER_RACK": "another rack",
            "OTHER": "another server",
        }
        return s.DynamicPlace(words.get(one.type) or " ".join(str(one).split()))  # type: ignore[arg-type]

    # Amounts.

    def percent(self, parts: list[Token]) -> s.Amount:
        return s.Amount("percent", self.percent_of(parts[0]))

    def some(self, parts: list[Token]) -> s.Amount:
        return s.Amount("some", self.whole(parts[0], "how many"))

    def all_but(self, parts: list[Token]) -> s.Amount:
        return s.Amount("all but", self.whole(parts[0], "how many"))

    def half(self, parts: list[Token]) -> s.Amount:
        return s.Amount("half")

    # Circumstances. What a line began with gives its number.

    @_placed
    def given(self, parts: list[Any]) -> s.Given:
        return s.Given(self.plain(parts[0]))

    @_placed
    def whilst(self, parts: list[Any]) -> s.ServerCondition:
        amount, where, (state, number) = parts
        return s.ServerCondition(amount or s.Amount(), where, state, number)

    def _state(name: str) -> Any:  # type: ignore[misc]
        def make(self: "_Reader", parts: list[Any]) -> tuple[str, float]:
            return name, 0.0

        return make

    drains, gone, ready, hangs = _state("drains"), _state("gone"), _state("ready"), _state("hangs")
    shunned, full, refuse, reset = _state("shunned"), _state("full"), _state("refuse"), _state("reset")

    def cold(self, parts: list[Any]) -> tuple[str, float]:
        return "cold", float(parts[-1] or 0)

    def slow(self, parts: list[Any]) -> tuple[str, float]:
        return "slow", float(parts[-1])

    def report(self, parts: list[Any]) -> tuple[str, float]:
        return "report", self.percent_of(parts[-1])

    @_placed
    def clock(self, parts: list[Any]) -> s.TimeOfDay:
        hour, _, minute = str(parts[0]).partition(":")
        return s.TimeOfDay(
            int(hour) * 60 + int(minute), s.DAYS.index(str(parts[1])) if parts[1] is not None else 0
        )

    @_placed
    def load(self, parts: list[Any]) -> s.BackgroundLoad:
        if not 0 < float(parts[0]) <= 1000:
            raise ValueError(f"found {parts[0]} generations a second; up to 1000 is allowed", parts[0])
        return s.BackgroundLoad(float(parts[0]))

    @_placed
    def deploy(self, parts: list[Any]) -> s.Deploy:
        return s.Deploy(parts[0], self.whole(parts[1], "a batch", 1), parts[2])

    @_placed
    def restart(self, parts: list[Any]) -> s.Restart:
        return s.Restart()

    @_placed
    def pause(self, parts: list[Any]) -> s.Pause:
        return s.Pause(parts[0])

    @_placed
    def happens(self, parts: list[Any]) -> s.LegEvent:
        return s.LegEvent(str(parts[0]), str(parts[1]))  # type: ignore[arg-type]

    @_placed
    def leaves(self, parts: list[Any]) -> s.ClientLeaves:
        return s.ClientLeaves(str(parts[0]))  # type: ignore[arg-type]

    def one(self, parts: list[Any]) -> None:
        return None

    def many(self, parts: list[Any]) -> int:
        count = self.whole(parts[0], "how many", 1)
        if count > MOST_COUNT:
            raise ValueError(f"found {count} generations; up to {MOST_COUNT} is allowed", parts[0])
        return count

    def every(self, parts: list[Any]) -> tuple[str, ...]:
        return ()

    def named(self, parts: list[Any]) -> tuple[str, ...]:
        return tuple(parts)

    def customer(self, parts: list[Any]) -> dict[str, Any]:
        return {"customers": parts[0]}

    def opening(self, parts: list[Any]) -> dict[str, Any]:
        found: dict[str, Any] = {"opening": self.plain(parts[0])}
        if parts[1] is not None:
            found["opening_tok"] = self.whole(parts[1], "tokens", 1)
        return found

    def prompt(self, parts: list[Any]) -> dict[str, Any]:
        return {"prompt_tok": self.whole(parts[0], "tokens", 1)}

    def answer(self, parts: list[Any]) -> dict[str, Any]:
        return {"answer_tok": self.whole(parts[0], "tokens", 1)}

    def adding(self, parts: list[Any]) -> dict[str, Any]:
        return {"adding_tok": self.whole(parts[0], "tokens", 1)}

    def rate(self, parts: list[Any]) -> dict[str, Any]:
        if not 0 < float(parts[0]) <= 10_000:
            raise ValueError(f"found {parts[0]} a second; up to 10000 is allowed", parts[0])
        return {"rate": float(parts[0])}

    def again(self, parts: list[Any]) -> dict[str, Any]:
        return {"again": True}

    def asking(self, parts: list[Any]) -> s.Traffic:
        count, turn, _, products, *rest = parts
        details: dict[str, Any] = {}
        for one in rest:
            if isinstance(one, dict):
                details |= one
        return s.Traffic(count, str(turn), products, line=turn.line, **details)  # type: ignore[arg-type]

    @_placed
    def history(self, parts: list[Any]) -> s.EarlierTraffic:
        asking = self.asking(parts)
        return s.EarlierTraffic(asking)

    # Claims.

    def goes(self, parts: list[Any]) -> s.Goes:
        return s.Goes("any", parts[0])

    def read(self, parts: list[Any]) -> s.Goes:
        return s.Goes("read", parts[0])

    def written(self, parts: list[Any]) -> s.Goes:
        return s.Goes("written", parts[0])

    def never(self, parts: list[Any]) -> s.Goes:
        return s.Goes("any", parts[0], never=True)

    def ended(self, parts: list[Any]) -> s.Ended:
        return s.Ended(str(parts[0]), True)  # type: ignore[arg-type]

    def not_ended(self, parts: list[Any]) -> s.Ended:
        return s.Ended(str(parts[0]), False)  # type: ignore[arg-type]

    def resent(self, parts: list[Any]) -> s.Resent:
        return s.Resent(True)

    def not_resent(self, parts: list[Any]) -> s.Resent:
        return s.Resent(False)

    def at_once(self, parts: list[Any]) -> s.Answered:
        return s.Answered(None)

    def within(self, parts: list[Any]) -> s.Answered:
        return s.Answered(parts[0])

    def at_most(self, parts: list[Any]) -> s.LegCount:
        return s.LegCount(self.whole(parts[0], "legs"), exactly=False)

    def exactly(self, parts: list[Any]) -> s.LegCount:
        return s.LegCount(self.whole(parts[0], "legs"), exactly=True)

    def released(self, parts: list[Any]) -> s.Released:
        return s.Released(parts[0])

    def go(self, parts: list[Any]) -> tuple[s.Part, Any]:
        return "any", parts[0]

    def read_by(self, parts: list[Any]) -> tuple[s.Part, Any]:
        return "read", parts[-1]

    def written_by(self, parts: list[Any]) -> tuple[s.Part, Any]:
        return "written", parts[-1]

    def ending(self, parts: list[Any]) -> tuple[s.Part, Any]:
        return "any", str(parts[-1])

    def confidence(self, parts: list[Any]) -> float:
        if not 50 <= float(parts[0]) < 100:
            raise ValueError(f"found {parts[0]}% confidence; 50% to under 100% is allowed", parts[0])
        return float(parts[0])

    def _share(self, low: float, high: float, token: Token, parts: list[Any]) -> s.Share:
        (part, what), sure = parts
        if low >= high:
            raise ValueError(f"found between {low:g}% and {high:g}%; the second must be more", token)
        return s.Share(low, high, part, what, sure or 99.0)

    def between(self, parts: list[Any]) -> s.Share:
        return self._share(self.percent_of(parts[0]), self.percent_of(parts[1]), parts[0], parts[2:])

    def share_most(self, parts: list[Any]) -> s.Share:
        return self._share(0.0, self.percent_of(parts[0]), parts[0], parts[1:])

    def share_least(self, parts: list[Any]) -> s.Share:
        return self._share(self.percent_of(parts[0]), 100.0, parts[0], parts[1:])

    def rules(self, parts: list[Any]) -> s.RuleHolds:
        return s.RuleHolds(None)

    def rule(self, parts: list[Any]) -> s.RuleHolds:
        return s.RuleHolds(str(parts[0]))

    def quantifier(self, parts: list[Any]) -> tuple[str, s.Where | None]:
        return str(parts[1]), parts[2]

    @v_args(meta=True)
    def then(self, meta: Any, parts: list[Any]) -> s.Expectation:
        every, of = parts[0] or (None, None)
        return s.Expectation(parts[1], every, of, line=getattr(meta, "line", 0))

    def number(self, parts: list[Any]) -> float:
        return float(parts[0])

    def string(self, parts: list[Any]) -> str:
        return self.plain(parts[0])

    def true(self, parts: list[Any]) -> bool:
        return True

    def false(self, parts: list[Any]) -> bool:
        return False

    @v_args(meta=True)
    def setting(self, meta: Any, parts: list[Any]) -> s.Expectation:
        return s.Expectation(s.SettingClaim(self.plain(parts[0]), parts[-1]), line=meta.line)

    @v_args(meta=True)
    def there_are(self, meta: Any, parts: list[Any]) -> s.Expectation:
        return s.Expectation(
            s.ServerCount(self.whole(parts[1], "servers"), parts[-1], least=False), line=meta.line
        )

    @v_args(meta=True)
    def there_are_least(self, meta: Any, parts: list[Any]) -> s.Expectation:
        return s.Expectation(
            s.ServerCount(self.whole(parts[1], "servers"), parts[-1], least=True), line=meta.line
        )

    @v_args(meta=True)
    def all_ready(self, meta: Any, parts: list[Any]) -> s.Expectation:
        return s.Expectation(s.EachServer(parts[0], None), line=meta.line)

    @v_args(meta=True)
    def all_weigh(self, meta: Any, parts: list[Any]) -> s.Expectation:
        return s.Expectation(s.EachServer(parts[0], float(parts[-1])), line=meta.line)

    # Items.

    @v_args(meta=True)
    def definition(self, meta: Any, parts: list[Any]) -> s.Definition:
        return s.Definition(self.plain(parts[0]), parts[1], line=meta.line)

    @v_args(meta=True)
    def situation(self, meta: Any, parts: list[Any]) -> s.Situation:
        return s.Situation(self.plain(parts[0]), tuple(parts[1:]), line=meta.line)

    @v_args(meta=True)
    def statement(self, meta: Any, parts: list[Any]) -> s.Statement:
        name, guard, *rest = parts
        thens = tuple(one for one in rest if isinstance(one, s.Expectation))
        asking = next((one for one in rest if isinstance(one, s.Traffic)), None)
        before = tuple(one for one in rest if not isinstance(one, (s.Expectation, s.Traffic)))
        return s.Statement(self.plain(name), guard is not None, before, asking, thens, line=meta.line)

    def start(self, parts: list[Any]) -> list[Any]:
        return parts


@cache
def parser() -> Lark:
    grammar = files("stackpitch.expect").joinpath("grammar.lark").read_text(encoding="utf-8")
    return Lark(grammar, parser="lalr", lexer="contextual", maybe_placeholders=True, propagate_positions=True)


def _allowed(accepts: set[str]) -> str:
    known = {
        terminal.name: getattr(terminal.pattern, "value", terminal.name) for terminal in parser().terminals
    }
    shown = {SHOWN.get(one) or known.get(one, one) for one in accepts if one not in ("WS", "COMMENT")}
    return "; ".join(sorted(shown)) or "nothing"


def parse(text: str, file: str) -> s.StatementFile:
    """Raises BadStatement."""
    if len(text) > MOST_BYTES:
        raise BadStatement(f"{file}: {len(text)} characters; at most {MOST_BYTES} are read")
    if (words := len(text.split())) > MOST_WORDS:
        raise BadStatement(f"{file}: {words} words; at most {MOST_WORDS} are read")
    try:
        tree = parser().parse(text)
        items = _Reader().transform(tree)
    except UnexpectedCharacters as wrong:
        found = text[wrong.pos_in_stream or 0 :][:20].split("\n")[0]
        raise BadStatement(
            f"{file}:{wrong.line}:{wrong.column}: found {found!r}; allowed: "
            f"{_allowed(set(wrong.allowed or ()))}"
        ) from None
    except UnexpectedToken as wrong:
        found = "the end of the file" if wrong.token.type == "$END" else repr(str(wrong.token)[:40])
        raise BadStatement(
            f"{file}:{wrong.line}:{wrong.column}: found {found}; allowed: "
            f"{_allowed(set(wrong.accepts or wrong.expected))}"
        ) from None
    except UnexpectedEOF:
        raise BadStatement(f"{file}: the file ends inside a statement") from None
    except VisitError as wrong:
        cause = wrong.orig_exc
        if not isinstance(cause, ValueError) or len(cause.args) != 2:
            raise
        said, token = cause.args
        raise BadStatement(f"{file}:{token.line}:{token.column}: {said}") from None
    if len(items) > MOST_ITEMS:
        raise BadStatement(f"{file}: {len(items)} definitions and statements; at most {MOST_ITEMS} are read")
    seen: dict[tuple[type, str], int] = {}
    for one in items:
        key = (type(one), one.name)
        if key in seen:
            what = type(one).__name__.lower()
            raise BadStatement(f'{file}:{one.line}:1: {what} "{one.name}" stands in line {seen[key]} already')
        seen[key] = one.line
    return s.StatementFile(file, tuple(items), comments(text))


def comments(text: str) -> tuple[tuple[int, str], ...]:
    """Line and text of each comment; a # inside quotes is none."""
    found = []
    for number, line in enumerate(text.split("\n"), 1):
        quoted = False
        for at, sign in enumerate(line):
            quoted ^= sign == '"'
            if sign == "#" and not quoted:
                found.append((number, line[at:].rstrip()))
                break
    return tuple(found)


def read_statement_file(path: Path) -> s.StatementFile:
    """Raises BadStatement, also on files that can't be read, are too large or are not UTF-8."""
    try:
        with path.open("rb") as source:
            raw = source.read(MOST_BYTES + 1)
    except OSError as wrong:
        raise BadStatement(f"{path}: {wrong.strerror}") from None
    if len(raw) > MOST_BYTES:
        raise BadStatement(f"{path}: larger than {MOST_BYTES} bytes, which is the most that is read")
    try:
        return parse(raw.decode("utf-8"), str(path))
    except UnicodeDecodeError as wrong:
        raise BadStatement(f"{path}: not UTF-8 at byte {wrong.start}") from None
