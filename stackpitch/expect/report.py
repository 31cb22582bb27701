"""Verdicts as JSON, as JUnit XML, and a failure's story as text. Pure."""

from typing import Any
from xml.etree import ElementTree

from stackpitch.expect.evaluate import Evaluator, StatementRun, Vacuous, Verdict, minimize_failure

BOARD = 10  # lines of candidates shown of each role


def as_json(verdicts: list[Verdict], contradictions: list[tuple[str, str, str]]) -> dict[str, Any]:
    return {
        "statements": [
            {
                "name": one.statement.name,
                "file": one.file,
                "line": one.statement.line,
                "guard": one.statement.guard,
                "verdict": one.label(),
                "why": one.reason(),
                "plays": one.plays,
            }
            for one in verdicts
        ],
        "held": sum(one.passed for one in verdicts),
        "failed": sum(not one.passed for one in verdicts),
        "contradictions": [{"one": one, "other": other, "text": text} for one, other, text in contradictions],
    }


def as_junit(verdicts: list[Verdict]) -> str:
    """One test suite a file; what can't apply is an error, all else that does not hold a failure."""
    root = ElementTree.Element(
        "testsuites",
        tests=str(len(verdicts)),
        failures=str(sum(not one.passed and not one.error for one in verdicts)),
        errors=str(sum(bool(one.error) for one in verdicts)),
    )
    for file in dict.fromkeys(one.file for one in verdicts):
        ours = [one for one in verdicts if one.file == file]
        suite = ElementTree.SubElement(root, "testsuite", name=file, tests=str(len(ours)))
        for one in ours:
            case = ElementTree.SubElement(
                suite,
                "testcase",
                name=one.statement.name,
                classname=file,
                file=file,
                line=str(one.statement.line),
            )
            if not one.passed:
                inner = ElementTree.SubElement(
                    case, "error" if one.error else "failure", message=one.reason(), type=one.label()
                )
                inner.text = "\n".join(text for _, text in one.statement.lines())
    ElementTree.indent(root)
    return ElementTree.tostring(root, encoding="unicode", xml_declaration=True) + "\n"


def explain_run(judge: Evaluator, name: str, verdict: Verdict) -> list[str]:
    """The play that failed, or else the first one, step by step, with the figures before each decision."""
    plan = judge.book.plan(name)
    asking = plan.statement.traffic
    if asking is None or verdict.error:
        return []
    variant = next((one for one, _ in verdict.failed if one is not None), next(iter(judge.variants(asking))))
    play = StatementRun(judge, plan, variant, explain=True)
    lines = [f"played for {variant.text()}:"]
    try:
        play.run()
    except Vacuous as wrong:
        lines.append(f"  (it did not come about: {wrong})")
    shown = [one for one in play.stories if not _well(play, one, verdict)] or play.stories
    for told in shown[:1]:
        begin = told.gen.arrived
        gen = told.gen
        lines.append(
            f"  {gen.product.name} ({gen.product.effect}), prompt {gen.prompt_tok} tokens"
            + (f', opening "{gen.shared}" of {gen.shared_tok}' if gen.shared else "")
            + f", time limit {gen.product.time_limit / 10:g} ms"
        )
        for step in told.steps:
            lines.append(f"  {(step.time - begin) / 10:9.1f} ms  {step.text}")
            lines += _board(step.servers)
            if step.queue_wait_ms:
                lines.append(f"                 queue: {step.queue_wait_ms:.0f} ms estimated")
    if len(play.stories) > 1:
        lines.append(f"  ({len(play.stories)} generations came; this is one of them)")
    lines += (
        [
            f"  {(at - play.stories[0].gen.arrived) / 10:9.1f} ms  the module logs: {text}"
            for at, text in play.dry.log_lines[-5:]
        ]
        if play.stories
        else []
    )
    return lines


def _well(play: StatementRun, told: Any, verdict: Verdict) -> bool:
    claims = [result.expectation for _, result in verdict.failed]
    try:
        return all(
            play.evaluate_claim(expectation, told, "").holds
            for expectation in claims
            if expectation.every is None and hasattr(expectation.claim, "place")
        )
    except Vacuous:
        return True


def _board(rows: list[dict[str, Any]]) -> list[str]:
    """Servers with the same figures stand in one line."""
    lines = []
    for role in ("reader", "writer", "mixed"):
        alike: dict[str, list[str]] = {}
        for one in [one for one in rows if one["role"] == role]:
            cold = (
                ""
                if one["cold_turn"] is None
                else f", cold: does {one['warmth']:.0%}, next turn {one['cold_turn']:.2f}"
            )
            text = (
                f"rack {one['rack']}, {one['health']}, {one['held']:.1%} held ({one['own_tok']} tokens ours), "
                f"{one['waiting']} legs wait{cold}" + (", tried already" if one["tried"] else "")
            )
            alike.setdefault(text, []).append(one["server"])
        for text, names in list(alike.items())[:BOARD]:
            some = ", ".join(names[:4]) + (f" and {len(names) - 4} more" if len(names) > 4 else "")
            lines.append(f"                 {role} {some}: {text}")
        if len(alike) > BOARD:
            lines.append(f"                 and {len(alike) - BOARD} lines of {role}s more, which hold more")
    return lines


def describe_cause(judge: Evaluator, name: str) -> list[str]:
    """What a failure needs, and which smallest change would make the statement hold."""
    plan = judge.book.plan(name)
    if plan.statement.traffic is None:
        return []
    found = minimize_failure(judge, plan)
    lines = [
        f"for it to fail it is enough: {'; '.join(found.required)}"
        if found.required
        else "it fails without any circumstance"
    ]
    lines += [f"it would hold {one}" for one in found.fixes[:4]] or [
        "no single change that was tried makes it hold"
    ]
    return lines


def differences(before: list[Verdict], after: list[Verdict]) -> list[tuple[str, str, str]]:
    """Statements whose verdict or decisions differ: name, what changed, and an example of it."""
    old = {one.statement.name: one for one in before}
    found = []
    for one in after:
        was = old.get(one.statement.name)
        if was is None:
            continue
        if was.label() != one.label():
            found.append(
                (one.statement.name, f"{was.label()}, now {one.label()}", one.reason() or was.reason())
            )
        elif was.decisions != one.decisions:
            pairs = [(a, b) for a, b in zip(was.decisions, one.decisions) if a != b]
            many = f"{len(pairs)} of {len(one.decisions)} decisions differ"
            example = (
                f"{pairs[0][0]}  ->  {pairs[0][1].partition(': ')[2]}" if pairs else "their number differs"
            )
            found.append((one.statement.name, f"{one.label()}, as before; {many}", example))
    return found
