"""What no statement touches. Pure."""

from stackpitch.expect import syntax as s
from stackpitch.expect.book import Book
from stackpitch.expect.deployment import Deployment
from stackpitch.expect.evaluate import Evaluator

STATES = ("drains", "gone", "cold", "hangs", "shunned", "full", "slow", "report", "refuse", "reset")
OUTCOMES = ("streamed", "read", "error", "full", "time-out", "unreachable", "reset", "cancelled")
ENDS = ("streamed", "throttled", "terminated", "departed")


def untouched(book: Book, of: Deployment, judge: Evaluator) -> dict[str, list[str]]:
    """By subject, what is left once `judge` has judged all statements."""
    touched = judge.coverage
    named = set[str]()
    for name in book.statements:
        plan = book.plan(name)
        wheres = [one.where for one in plan.circumstances if isinstance(one, s.ServerCondition | s.Deploy)]
        for then in plan.statement.expectations:
            place = (
                then.claim.place
                if isinstance(then.claim, s.Goes)
                else (then.claim.target if isinstance(then.claim, s.Share) else None)
            )
            wheres += [one for one in (place, then.of) if isinstance(one, s.Where)]
            if isinstance(then.claim, s.ServerCount | s.EachServer):
                wheres.append(then.claim.where)
            if then.every is not None:
                named |= (
                    {one.name for one in of.fleet} if then.of is None else judge.sets.select(then.of, plan.at)
                )
        for where in wheres:
            named |= judge.sets.select(where, plan.at)
    racks = {f"{one.zone}/{one.cell}" for one in of.fleet}
    return {
        "products": sorted(set(of.products) - touched.products),
        "customers": sorted(set(of.customers) - touched.customers),
        "racks": sorted(racks - touched.racks),
        "servers named by no statement": sorted({one.name for one in of.fleet} - named),
        "server states": [one for one in STATES if one not in touched.states],
        "outcomes of legs": [one for one in OUTCOMES if one not in touched.outcomes],
        "ends": [one for one in ENDS if one not in touched.ends],
    }
