"""Writes a page back in the one form that it has. Pure. Comments stay before, or beside, what they stood at."""

from collections.abc import Iterator

from stackpitch.expect.syntax import Definition, StatementFile


def _lines(page: StatementFile) -> Iterator[tuple[int, str]]:
    """Each line with where it stood; 0 where that is not known."""
    for number, one in enumerate(page.items):
        if number and not (isinstance(one, Definition) and isinstance(page.items[number - 1], Definition)):
            yield -1, ""
        if isinstance(one, Definition):
            yield one.line, one.text()
        else:
            yield from one.lines()


def layout(page: StatementFile) -> str:
    """The page's text. Of its own output it changes nothing."""
    out: list[str] = []
    waiting = list(page.comments)
    for line, text in _lines(page):
        indent = text[: len(text) - len(text.lstrip())]
        beside = ""
        while waiting and line > 0 and waiting[0][0] <= line:
            at, said = waiting.pop(0)
            if at == line:
                beside = f"  {said}"
            else:
                out.append(indent + said)
        out.append(text + beside)
    out += [said for _, said in waiting]
    return "\n".join(out) + "\n" if out else ""
