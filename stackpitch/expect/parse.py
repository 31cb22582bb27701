"""Parses files of statements. Pure except for `read_statement_file`, which reads one file.

Hostile input is rejected before it costs time or memory: by size, encoding and number of items. The grammar
has no nesting, so an input can't force deep recursion.
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

MAX_FILE_BYTES, MAX_ITEMS, MAX_GENERATIONS = 100_000, 5_000, 100_000
# Parsing time grows with the number of words: a file of short words alone would block a check for seconds.
MAX_WORDS = 24_000

# How error messages show the terminals of the grammar that would have been allowed.
TERMINAL_TEXTS = {
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
    """A statement that can't be read or applied; the message gives file and line, and the column if known."""


def _with_line(method: Callable[["_SyntaxBuilder", list[Any]], Any]) -> Any:
    """Sets the `line` of the value that a transformer method returns."""

    def make(self: "_SyntaxBuilder", meta: Any, parts: list[Any]) -> Any:
        return replace(method(self, parts), line=meta.line)

    return v_args(meta=True)(make)


class _SyntaxBuilder(Transformer[Token, Any]):
    """Transforms the parse tree into the values of `syntax`.

    Methods are called by the names of grammar rules and their aliases; `parts` are the transformed children.
    """

    def __init__(self) -> None:
        super().__init__(visit_tokens=True)

    def NUMBER(self, token: Token) -> Token:
        return token

    @staticmethod
    def unquote(token: Token) -> str:
        text = str(token)
        return text[1:-1] if token.type == "STRING" else text

    @staticmethod
    def parse_integer(token: Token, label: str, minimum: int = 0) -> int:
        number = float(token)
        if number != int(number) or number < minimum or number > 10_000_000:
            raise ValueError(f"{label}: found {token}; a whole number from {minimum} is allowed", token)
        return int(number)

    @staticmethod
    def parse_percent(token: Token) -> float:
        if float(token) > 100:
            raise ValueError(f"found {token}%; 0% to 100% is allowed", token)
        return float(token)

    def name(self, parts: list[Token]) -> str:
        return self.unquote(parts[0])

    def duration(self, parts: list[Token]) -> int:
        return round(float(parts[0]) * s.UNITS[str(parts[1])])

    # Sets of servers.

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
        return s.Term("defined", self.unquote(parts[0]), tuple(parts[1:]))

    def exception(self, parts: list[Any]) -> tuple[s.Term, ...]:
        return tuple(parts)

    def where(self, parts: list[Any]) -> s.Where:
        *terms, excluded = parts
        return s.Where(tuple(terms), excluded or ())

    def place(self, parts: list[Any]) -> s.Place:
        place = parts[0]
        if not isinstance(place, Token):
            return place  # type: ignore[no-any-return]
        words = {
            "OWNER": "owner",
            "HOLDER": "holder",
            "SAME": "same rack",
            "OTHER_RACK": "another rack",
            "OTHER": "another server",
        }
        return s.DynamicPlace(words.get(place.type) or " ".join(str(place).split()))  # type: ignore[arg-type]

    # Amounts.

    def percent(self, parts: list[Token]) -> s.Amount:
        return s.Amount("percent", self.parse_percent(parts[0]))

    def some(self, parts: list[Token]) -> s.Amount:
        return s.Amount("some", self.parse_integer(parts[0], "how many"))

    def all_but(self, parts: list[Token]) -> s.Amount:
        return s.Amount("all but", self.parse_integer(parts[0], "how many"))

    def half(self, parts: list[Token]) -> s.Amount:
        return s.Amount("half")

    # Circumstances. Each carries the line on which it begins.

    @_with_line
    def given(self, parts: list[Any]) -> s.Given:
        return s.Given(self.unquote(parts[0]))

    @_with_line
    def whilst(self, parts: list[Any]) -> s.ServerCondition:
        amount, where, (state, number) = parts
        return s.ServerCondition(amount or s.Amount(), where, state, number)

    def _state_method(name: str) -> Any:  # type: ignore[misc]
        def make(self: "_SyntaxBuilder", parts: list[Any]) -> tuple[str, float]:
            return name, 0.0

        return make

    drains, gone, ready, hangs = (
        _state_method("drains"),
        _state_method("gone"),
        _state_method("ready"),
        _state_method("hangs"),
    )
    shunned, full, refuse, reset = (
        _state_method("shunned"),
        _state_method("full"),
        _state_method("refuse"),
        _state_method("reset"),
    )

    def cold(self, parts: list[Any]) -> tuple[str, float]:
        return "cold", float(parts[-1] or 0)

    def slow(self, parts: list[Any]) -> tuple[str, float]:
        return "slow", float(parts[-1])

    def report(self, parts: list[Any]) -> tuple[str, float]:
        return "report", self.parse_percent(parts[-1])

    @_with_line
    def clock(self, parts: list[Any]) -> s.TimeOfDay:
        hour, _, minute = str(parts[0]).partition(":")
        return s.TimeOfDay(
            int(hour) * 60 + int(minute), s.DAYS.index(str(parts[1])) if parts[1] is not None else 0
        )

    @_with_line
    def load(self, parts: list[Any]) -> s.BackgroundLoad:
        if not 0 < float(parts[0]) <= 1000:
            raise ValueError(f"found {parts[0]} generations a second; up to 1000 is allowed", parts[0])
        return s.BackgroundLoad(float(parts[0]))

    @_with_line
    def deploy(self, parts: list[Any]) -> s.Deploy:
        return s.Deploy(parts[0], self.parse_integer(parts[1], "a batch", 1), parts[2])

    @_with_line
    def restart(self, parts: list[Any]) -> s.Restart:
        return s.Restart()

    @_with_line
    def pause(self, parts: list[Any]) -> s.Pause:
        return s.Pause(parts[0])

    @_with_line
    def happens(self, parts: list[Any]) -> s.LegEvent:
        return s.LegEvent(str(parts[0]), str(parts[1]))  # type: ignore[arg-type]

    @_with_line
    def leaves(self, parts: list[Any]) -> s.ClientLeaves:
        return s.ClientLeaves(str(parts[0]))  # type: ignore[arg-type]

    def one(self, parts: list[Any]) -> None:
        return None

    def many(self, parts: list[Any]) -> int:
        count = self.parse_integer(parts[0], "how many", 1)
        if count > MAX_GENERATIONS:
            raise ValueError(f"found {count} generations; up to {MAX_GENERATIONS} is allowed", parts[0])
        return count

    def every(self, parts: list[Any]) -> tuple[str, ...]:
        return ()

    def named(self, parts: list[Any]) -> tuple[str, ...]:
        return tuple(parts)

    def customer(self, parts: list[Any]) -> dict[str, Any]:
        return {"customers": parts[0]}

    def opening(self, parts: list[Any]) -> dict[str, Any]:
        details: dict[str, Any] = {"opening": self.unquote(parts[0])}
        if parts[1] is not None:
            details["opening_tok"] = self.parse_integer(parts[1], "tokens", 1)
        return details

    def prompt(self, parts: list[Any]) -> dict[str, Any]:
        return {"prompt_tok": self.parse_integer(parts[0], "tokens", 1)}

    def answer(self, parts: list[Any]) -> dict[str, Any]:
        return {"answer_tok": self.parse_integer(parts[0], "tokens", 1)}

    def adding(self, parts: list[Any]) -> dict[str, Any]:
        return {"adding_tok": self.parse_integer(parts[0], "tokens", 1)}

    def rate(self, parts: list[Any]) -> dict[str, Any]:
        if not 0 < float(parts[0]) <= 10_000:
            raise ValueError(f"found {parts[0]} a second; up to 10000 is allowed", parts[0])
        return {"rate": float(parts[0])}

    def again(self, parts: list[Any]) -> dict[str, Any]:
        return {"again": True}

    def asking(self, parts: list[Any]) -> s.Traffic:
        count, turn, _, products, *rest = parts
        details: dict[str, Any] = {}
        for detail in rest:
            if isinstance(detail, dict):
                details |= detail
        return s.Traffic(count, str(turn), products, line=turn.line, **details)  # type: ignore[arg-type]

    @_with_line
    def history(self, parts: list[Any]) -> s.EarlierTraffic:
        traffic = self.asking(parts)
        return s.EarlierTraffic(traffic)

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
        return s.LegCount(self.parse_integer(parts[0], "legs"), exactly=False)

    def exactly(self, parts: list[Any]) -> s.LegCount:
        return s.LegCount(self.parse_integer(parts[0], "legs"), exactly=True)

    def released(self, parts: list[Any]) -> s.Released:
        return s.Released(parts[0])

    def go(self, parts: list[Any]) -> tuple[s.Phase, Any]:
        return "any", parts[0]

    def read_by(self, parts: list[Any]) -> tuple[s.Phase, Any]:
        return "read", parts[-1]

    def written_by(self, parts: list[Any]) -> tuple[s.Phase, Any]:
        return "written", parts[-1]

    def ending(self, parts: list[Any]) -> tuple[s.Phase, Any]:
        return "any", str(parts[-1])

    def confidence(self, parts: list[Any]) -> float:
        if not 50 <= float(parts[0]) < 100:
            raise ValueError(f"found {parts[0]}% confidence; 50% to under 100% is allowed", parts[0])
        return float(parts[0])

    def _make_share(self, low: float, high: float, token: Token, parts: list[Any]) -> s.Share:
        (phase, target), confidence = parts
        if low >= high:
            raise ValueError(f"found between {low:g}% and {high:g}%; the second must be more", token)
        return s.Share(low, high, phase, target, confidence or 99.0)

    def between(self, parts: list[Any]) -> s.Share:
        return self._make_share(
            self.parse_percent(parts[0]), self.parse_percent(parts[1]), parts[0], parts[2:]
        )

    def share_most(self, parts: list[Any]) -> s.Share:
        return self._make_share(0.0, self.parse_percent(parts[0]), parts[0], parts[1:])

    def share_least(self, parts: list[Any]) -> s.Share:
        return self._make_share(self.parse_percent(parts[0]), 100.0, parts[0], parts[1:])

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
        return self.unquote(parts[0])

    def true(self, parts: list[Any]) -> bool:
        return True

    def false(self, parts: list[Any]) -> bool:
        return False

    @v_args(meta=True)
    def setting(self, meta: Any, parts: list[Any]) -> s.Expectation:
        return s.Expectation(s.SettingClaim(self.unquote(parts[0]), parts[-1]), line=meta.line)

    @v_args(meta=True)
    def there_are(self, meta: Any, parts: list[Any]) -> s.Expectation:
        return s.Expectation(
            s.ServerCount(self.parse_integer(parts[1], "servers"), parts[-1], least=False), line=meta.line
        )

    @v_args(meta=True)
    def there_are_least(self, meta: Any, parts: list[Any]) -> s.Expectation:
        return s.Expectation(
            s.ServerCount(self.parse_integer(parts[1], "servers"), parts[-1], least=True), line=meta.line
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
        return s.Definition(self.unquote(parts[0]), parts[1], line=meta.line)

    @v_args(meta=True)
    def situation(self, meta: Any, parts: list[Any]) -> s.Situation:
        return s.Situation(self.unquote(parts[0]), tuple(parts[1:]), line=meta.line)

    @v_args(meta=True)
    def statement(self, meta: Any, parts: list[Any]) -> s.Statement:
        name, guard, *rest = parts
        expectations = tuple(part for part in rest if isinstance(part, s.Expectation))
        traffic = next((part for part in rest if isinstance(part, s.Traffic)), None)
        circumstances = tuple(part for part in rest if not isinstance(part, (s.Expectation, s.Traffic)))
        return s.Statement(
            self.unquote(name), guard is not None, circumstances, traffic, expectations, line=meta.line
        )

    def start(self, parts: list[Any]) -> list[Any]:
        return parts


@cache
def parser() -> Lark:
    """The parser of the grammar, built once for each process."""
    grammar = files("stackpitch.expect").joinpath("grammar.lark").read_text(encoding="utf-8")
    return Lark(grammar, parser="lalr", lexer="contextual", maybe_placeholders=True, propagate_positions=True)


def _describe_allowed(accepts: set[str]) -> str:
    """The terminals that the parser accepts at a place, as an error message lists them."""
    patterns = {
        terminal.name: getattr(terminal.pattern, "value", terminal.name) for terminal in parser().terminals
    }
    texts = {
        TERMINAL_TEXTS.get(name) or patterns.get(name, name)
        for name in accepts
        if name not in ("WS", "COMMENT")
    }
    return "; ".join(sorted(texts)) or "nothing"


def parse(text: str, file: str) -> s.StatementFile:
    """Parses the text of `file`. Raises BadStatement."""
    if len(text) > MAX_FILE_BYTES:
        raise BadStatement(f"{file}: {len(text)} characters; at most {MAX_FILE_BYTES} are read")
    if (words := len(text.split())) > MAX_WORDS:
        raise BadStatement(f"{file}: {words} words; at most {MAX_WORDS} are read")
    try:
        tree = parser().parse(text)
        items = _SyntaxBuilder().transform(tree)
    except UnexpectedCharacters as error:
        found = text[error.pos_in_stream or 0 :][:20].split("\n")[0]
        raise BadStatement(
            f"{file}:{error.line}:{error.column}: found {found!r}; allowed: "
            f"{_describe_allowed(set(error.allowed or ()))}"
        ) from None
    except UnexpectedToken as error:
        found = "the end of the file" if error.token.type == "$END" else repr(str(error.token)[:40])
        raise BadStatement(
            f"{file}:{error.line}:{error.column}: found {found}; allowed: "
            f"{_describe_allowed(set(error.accepts or error.expected))}"
        ) from None
    except UnexpectedEOF:
        raise BadStatement(f"{file}: the file ends inside a statement") from None
    except VisitError as error:
        cause = error.orig_exc
        if not isinstance(cause, ValueError) or len(cause.args) != 2:
            raise
        message, token = cause.args
        raise BadStatement(f"{file}:{token.line}:{token.column}: {message}") from None
    if len(items) > MAX_ITEMS:
        raise BadStatement(f"{file}: {len(items)} definitions and statements; at most {MAX_ITEMS} are read")
    first_lines: dict[tuple[type, str], int] = {}
    for item in items:
        key = (type(item), item.name)
        if key in first_lines:
            kind = type(item).__name__.lower()
            raise BadStatement(
                f'{file}:{item.line}:1: {kind} "{item.name}" is already defined (line {first_lines[key]})'
            )
        first_lines[key] = item.line
    return s.StatementFile(file, tuple(items), find_comments(text))


def find_comments(text: str) -> tuple[tuple[int, str], ...]:
    """Line and text of each comment; a # inside quotes starts none."""
    comments = []
    for number, line in enumerate(text.split("\n"), 1):
        quoted = False
        for column, character in enumerate(line):
            quoted ^= character == '"'
            if character == "#" and not quoted:
                comments.append((number, line[column:].rstrip()))
                break
    return tuple(comments)


def read_statement_file(path: Path) -> s.StatementFile:
    """Reads and parses one file.

    Raises BadStatement, also on files that can't be read, are too large or are not UTF-8.
    """
    try:
        with path.open("rb") as source:
            raw = source.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise BadStatement(f"{path}: {error.strerror}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise BadStatement(f"{path}: larger than {MAX_FILE_BYTES} bytes, which is the most that is read")
    try:
        return parse(raw.decode("utf-8"), str(path))
    except UnicodeDecodeError as error:
        raise BadStatement(f"{path}: not UTF-8 at byte {error.start}") from None
