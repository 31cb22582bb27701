"""Coverage of statements: what of a configuration no statement exercises. Pure."""

from stackpitch.expect import syntax as s
from stackpitch.expect.book import Book
from stackpitch.expect.deployment import Deployment
from stackpitch.expect.evaluate import Evaluator

STATES = ("drains", "gone", "cold", "hangs", "shunned", "full", "slow", "report", "refuse", "reset")
OUTCOMES = ("streamed", "read", "error", "full", "time-out", "unreachable", "reset", "cancelled")
GENERATION_ENDS = ("streamed", "throttled", "terminated", "departed")


def uncovered_subjects(book: Book, deployment: Deployment, judge: Evaluator) -> dict[str, list[str]]:
    """What no statement covers, by subject. `judge` must have evaluated all statements."""
    touched = judge.coverage
    named_servers = set[str]()
    for name in book.statements:
        plan = book.plan(name)
        wheres = [
            circumstance.where
            for circumstance in plan.circumstances
            if isinstance(circumstance, s.ServerCondition | s.Deploy)
        ]
        for then in plan.statement.expectations:
            place = (
                then.claim.place
                if isinstance(then.claim, s.Goes)
                else (then.claim.target if isinstance(then.claim, s.Share) else None)
            )
            wheres += [named for named in (place, then.of) if isinstance(named, s.Where)]
            if isinstance(then.claim, s.ServerCount | s.EachServer):
                wheres.append(then.claim.where)
            if then.every is not None:
                named_servers |= (
                    {server.name for server in deployment.fleet}
                    if then.of is None
                    else judge.sets.select(then.of, plan.location)
                )
        for where in wheres:
            named_servers |= judge.sets.select(where, plan.location)
    racks = {f"{server.zone}/{server.cell}" for server in deployment.fleet}
    return {
        "products": sorted(set(deployment.products) - touched.products),
        "customers": sorted(set(deployment.customers) - touched.customers),
        "racks": sorted(racks - touched.racks),
        "servers named by no statement": sorted({server.name for server in deployment.fleet} - named_servers),
        "server states": [state for state in STATES if state not in touched.states],
        "outcomes of legs": [outcome for outcome in OUTCOMES if outcome not in touched.outcomes],
        "ends": [end for end in GENERATION_ENDS if end not in touched.ends],
    }
