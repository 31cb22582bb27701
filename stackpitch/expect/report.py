"""Formats verdicts as JSON and as JUnit XML, and explains failures as text. Pure."""

from typing import Any
from xml.etree import ElementTree

from stackpitch.expect.evaluate import Evaluator, StatementRun, Vacuous, Verdict, minimize_failure

MAX_SERVER_LINES = 10  # for each role, in the server table of an explanation


def as_json(verdicts: list[Verdict], contradictions: list[tuple[str, str, str]]) -> dict[str, Any]:
    """The report of a run as values for JSON; contradictions are two names and the claims that clash."""
    return {
        "statements": [
            {
                "name": verdict.statement.name,
                "file": verdict.file,
                "line": verdict.statement.line,
                "guard": verdict.statement.guard,
                "verdict": verdict.label(),
                "why": verdict.reason(),
                "plays": verdict.plays,
            }
            for verdict in verdicts
        ],
        "held": sum(verdict.passed for verdict in verdicts),
        "failed": sum(not verdict.passed for verdict in verdicts),
        "contradictions": [
            {"one": first, "other": second, "text": text} for first, second, text in contradictions
        ],
    }


def as_junit(verdicts: list[Verdict]) -> str:
    """JUnit XML with a test suite for each file.

    A statement that can't apply is an error, any other that does not hold is a failure.
    """
    root = ElementTree.Element(
        "testsuites",
        tests=str(len(verdicts)),
        failures=str(sum(not verdict.passed and not verdict.error for verdict in verdicts)),
        errors=str(sum(bool(verdict.error) for verdict in verdicts)),
    )
    for file in dict.fromkeys(verdict.file for verdict in verdicts):
        file_verdicts = [verdict for verdict in verdicts if verdict.file == file]
        suite = ElementTree.SubElement(root, "testsuite", name=file, tests=str(len(file_verdicts)))
        for verdict in file_verdicts:
            case = ElementTree.SubElement(
                suite,
                "testcase",
                name=verdict.statement.name,
                classname=file,
                file=file,
                line=str(verdict.statement.line),
            )
            if not verdict.passed:
                problem = ElementTree.SubElement(
                    case,
                    "error" if verdict.error else "failure",
                    message=verdict.reason(),
                    type=verdict.label(),
                )
                problem.text = "\n".join(text for _, text in verdict.statement.lines())
    ElementTree.indent(root)
    return ElementTree.tostring(root, encoding="unicode", xml_declaration=True) + "\n"


def explain_run(evaluator: Evaluator, name: str, verdict: Verdict) -> list[str]:
    """Replays the run that failed, or else the first, with the module's figures at each decision."""
    plan = evaluator.book.plan(name)
    traffic = plan.statement.traffic
    if traffic is None or verdict.error:
        return []
    variant = next(
        (failed for failed, _ in verdict.failed if failed is not None),
        next(iter(evaluator.variants(traffic))),
    )
    run = StatementRun(evaluator, plan, variant, explain=True)
    lines = [f"played for {variant.text()}:"]
    try:
        run.run()
    except Vacuous as error:
        lines.append(f"  (the situation did not occur: {error})")
    candidates = [
        candidate for candidate in run.stories if not _meets_failed_claims(run, candidate, verdict)
    ] or run.stories
    for story in candidates[:1]:
        begin = story.gen.arrived
        gen = story.gen
        lines.append(
            f"  {gen.product.name} ({gen.product.effect}), prompt {gen.prompt_tok} tokens"
            + (f', opening "{gen.shared}" of {gen.shared_tok}' if gen.shared else "")
            + f", time limit {gen.product.time_limit / 10:g} ms"
        )
        for step in story.steps:
            lines.append(f"  {(step.time - begin) / 10:9.1f} ms  {step.text}")
            lines += _server_lines(step.servers)
            if step.queue_wait_ms:
                lines.append(f"                 queue: {step.queue_wait_ms:.0f} ms estimated")
    if len(run.stories) > 1:
        lines.append(f"  ({len(run.stories)} generations came; this is one of them)")
    lines += (
        [
            f"  {(at - run.stories[0].gen.arrived) / 10:9.1f} ms  the module logs: {text}"
            for at, text in run.dry.log_lines[-5:]
        ]
        if run.stories
        else []
    )
    return lines


def _meets_failed_claims(run: StatementRun, story: Any, verdict: Verdict) -> bool:
    """Whether a generation meets the failed claims about a place that have no quantifier."""
    expectations = [result.expectation for _, result in verdict.failed]
    try:
        return all(
            run.evaluate_claim(expectation, story, "").holds
            for expectation in expectations
            if expectation.every is None and hasattr(expectation.claim, "place")
        )
    except Vacuous:
        return True


def _server_lines(rows: list[dict[str, Any]]) -> list[str]:
    """The server table before a decision; servers with the same figures share a line."""
    lines = []
    for role in ("reader", "writer", "mixed"):
        names_by_text: dict[str, list[str]] = {}
        for row in [row for row in rows if row["role"] == role]:
            cold_text = (
                ""
                if row["cold_turn"] is None
                else f", cold: capacity {row['warmth']:.0%}, admission credit {row['cold_turn']:.2f}"
            )
            text = (
                f"rack {row['rack']}, {row['health']}, {row['held']:.1%} held ({row['own_tok']} tokens of this gateway), "
                f"{row['waiting']} legs waiting{cold_text}" + (", already tried" if row["tried"] else "")
            )
            names_by_text.setdefault(text, []).append(row["server"])
        for text, names in list(names_by_text.items())[:MAX_SERVER_LINES]:
            listed = ", ".join(names[:4]) + (f" and {len(names) - 4} more" if len(names) > 4 else "")
            lines.append(f"                 {role} {listed}: {text}")
        if len(names_by_text) > MAX_SERVER_LINES:
            lines.append(
                f"                 and {len(names_by_text) - MAX_SERVER_LINES} more lines of {role}s, which hold more"
            )
    return lines


def describe_cause(evaluator: Evaluator, name: str) -> list[str]:
    """What a failure requires, and the smallest changes that would make the statement hold."""
    plan = evaluator.book.plan(name)
    if plan.statement.traffic is None:
        return []
    cause = minimize_failure(evaluator, plan)
    lines = [
        f"for it to fail it is enough: {'; '.join(cause.required)}"
        if cause.required
        else "it fails without any circumstance"
    ]
    lines += [f"it would hold {change}" for change in cause.fixes[:4]] or [
        "no single change that was tried makes it hold"
    ]
    return lines


def differences(before: list[Verdict], after: list[Verdict]) -> list[tuple[str, str, str]]:
    """Statements whose verdict or decisions differ: name, what changed, and an example of it."""
    previous = {verdict.statement.name: verdict for verdict in before}
    changed = []
    for verdict in after:
        earlier = previous.get(verdict.statement.name)
        if earlier is None:
            continue
        if earlier.label() != verdict.label():
            changed.append(
                (
                    verdict.statement.name,
                    f"{earlier.label()}, now {verdict.label()}",
                    verdict.reason() or earlier.reason(),
                )
            )
        elif earlier.decisions != verdict.decisions:
            pairs = [
                (first, second)
                for first, second in zip(earlier.decisions, verdict.decisions)
                if first != second
            ]
            summary = f"{len(pairs)} of {len(verdict.decisions)} decisions differ"
            example = (
                f"{pairs[0][0]}  ->  {pairs[0][1].partition(': ')[2]}" if pairs else "their number differs"
            )
            changed.append((verdict.statement.name, f"{verdict.label()}, as before; {summary}", example))
    return changed
