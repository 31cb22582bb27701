"""Formats a file of statements. Pure.

A comment stays above, or at the end of, the line that it belongs to.
"""

from collections.abc import Iterator

from stackpitch.expect.syntax import Definition, StatementFile


def _lines(page: StatementFile) -> Iterator[tuple[int, str]]:
    """Each line with its former line number; 0 where that is unknown, -1 for an empty line."""
    for index, item in enumerate(page.items):
        if index and not (isinstance(item, Definition) and isinstance(page.items[index - 1], Definition)):
            yield -1, ""
        if isinstance(item, Definition):
            yield item.line, item.text()
        else:
            yield from item.lines()


def format_page(page: StatementFile) -> str:
    """The formatted text of a file. Formatting it again changes nothing."""
    out: list[str] = []
    pending = list(page.comments)
    for line, text in _lines(page):
        indent = text[: len(text) - len(text.lstrip())]
        trailing = ""
        while pending and line > 0 and pending[0][0] <= line:
            comment_line, comment = pending.pop(0)
            if comment_line == line:
                trailing = f"  {comment}"
            else:
                out.append(indent + comment)
        out.append(text + trailing)
    out += [comment for _, comment in pending]
    return "\n".join(out) + "\n" if out else ""
