"""Plays statements in the dry world and says what became of them. Pure; every verdict hangs on nothing but its input.

A statement is played once for each product and customer that it names, and several times over with other names of
sessions and other draws where it leaves something open: a claim on one generation must hold in every play.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, replace
from statistics import NormalDist
from typing import Any

from stackpitch.brain import Brain
from stackpitch.expect import syntax as s
from stackpitch.expect.book import Book, Plan
from stackpitch.expect.deployment import Deployment, ServerSets, choose_servers
from stackpitch.expect.dry_run import MS, SECOND, DryRun, Trace
from stackpitch.expect.parse import BadStatement
from stackpitch.interface import Server, Time
from stackpitch.preferences import RuledBrain

RELEASE = 100 * MS  # what is held with no leg out may wait so long; in a dry world nothing required longer
LOOKS = 40  # a share is looked at after every so many generations, and no further once it is decided
LEAD = 2 * SECOND  # that other generations come before what a statement is about
TURNS = {"first": 0, "second": 1, "later": 1, "third": 2}


class Vacuous(Exception):
    """What a statement speaks of did not come about."""


@dataclass(frozen=True, slots=True)
class Variant:
    product: str
    customer: str | None
    draw: int

    def text(self) -> str:
        return self.product + (f" from {self.customer}" if self.customer else "") + f", play {self.draw + 1}"


@dataclass(slots=True)
class ClaimResult:
    """One claim in one play."""

    expectation: s.Expectation
    holds: bool
    reason: str = ""


@dataclass(slots=True)
class Verdict:
    statement: s.Statement
    file: str
    passed: bool = True
    vacuous: str = ""  # what did not come about
    error: str = ""  # why it can't apply
    failed: list[tuple[Variant | None, ClaimResult]] = field(default_factory=list)
    decisions: list[str] = field(default_factory=list)  # what became of the generations, a line each
    plays: int = 0

    def label(self) -> str:
        return (
            "can't apply"
            if self.error
            else "vacuous"
            if self.vacuous
            else "holds"
            if self.passed
            else "fails"
        )

    def reason(self) -> str:
        if self.error or self.vacuous:
            return self.error or f"its situation never came about: {self.vacuous}"
        return "; ".join(f"{one.expectation.text()}: {one.reason}" for _, one in self.failed[:3])


@dataclass(slots=True)
class Coverage:
    """What the plays of some statements came by; `stackpitch expect --coverage` shows what is left."""

    products: set[str] = field(default_factory=set)
    customers: set[str] = field(default_factory=set)
    racks: set[str] = field(default_factory=set)
    states: set[str] = field(default_factory=set)
    outcomes: set[str] = field(default_factory=set)
    ends: set[str] = field(default_factory=set)

    def add(self, other: "Coverage") -> None:
        for one in fields(self):
            getattr(self, one.name).update(getattr(other, one.name))


class Evaluator:
    """One configuration and one book."""

    def __init__(
        self,
        book: Book,
        deployment: Deployment,
        draws: int = 3,
        make_brain: Callable[..., Brain] = RuledBrain,
    ) -> None:
        self.book, self.deployment, self.draws, self.make_brain = book, deployment, draws, make_brain
        self.sets = ServerSets(deployment, book.definitions)
        self.coverage = Coverage()

    def evaluate_all(self, names: list[str] | None = None) -> Iterator[Verdict]:
        for name in names if names is not None else self.book.statements:
            yield self.evaluate(name)

    def evaluate(self, name: str) -> Verdict:
        file, statement = self.book.statements[name]
        try:
            plan = self.book.plan(name)
            self.book.check(plan, self.deployment, self.sets)
            return self.verdict(plan)
        except BadStatement as wrong:
            return Verdict(statement, file, passed=False, error=str(wrong))

    def variants(self, asking: s.Traffic) -> Iterator[Variant]:
        products = asking.products or tuple(self.deployment.products)
        customers: tuple[str | None, ...] = (
            (None,) if asking.customers is None else (asking.customers or tuple(self.deployment.customers))
        )
        for draw in range(self.draws if asking.count is None else 1):
            for product in products:
                for customer in customers:
                    yield Variant(product, customer, draw)

    def verdict(self, plan: Plan, first_only: bool = True) -> Verdict:
        """Raises BadStatement. Stops at the first play that fails unless told otherwise."""
        verdict = Verdict(plan.statement, plan.file)
        if plan.statement.traffic is None:
            for expectation in plan.statement.expectations:
                result = self._fact(expectation, plan.location)
                if not result.holds:
                    verdict.failed.append((None, result))
            verdict.passed = not verdict.failed
            return verdict
        for variant in self.variants(plan.statement.traffic):
            play = StatementRun(self, plan, variant)
            verdict.plays += 1
            try:
                results = play.run()
            except Vacuous as wrong:
                verdict.vacuous, verdict.passed = f"{wrong} ({variant.text()})", False
                return verdict
            verdict.decisions += play.decisions()
            verdict.failed += [(variant, one) for one in results if not one.holds]
            if verdict.failed and first_only:
                break
        verdict.passed = not verdict.failed
        return verdict

    def _fact(self, expectation: s.Expectation, at: str) -> ClaimResult:
        claim = expectation.claim
        if isinstance(claim, s.ServerCount):
            count = len(self.sets.select(claim.where, at))
            return ClaimResult(
                expectation,
                count >= claim.count if claim.least else count == claim.count,
                f"there are {count}",
            )
        if isinstance(claim, s.EachServer):
            names = self.sets.select(claim.where, at)
            wrong = [
                one
                for one in self.deployment.fleet
                if one.name in names
                and (one.state != "ready" if claim.weight is None else one.weight != claim.weight)
            ]
            said = [
                f"{one.name} {f'is {one.state}' if claim.weight is None else f'weighs {one.weight:g}'}"
                for one in wrong
            ]
            return ClaimResult(expectation, not wrong, ", ".join(said[:5]))
        assert isinstance(claim, s.SettingClaim)
        value: Any = self.deployment.settings_tree
        for step in claim.path.split("."):
            if not isinstance(value, dict) or step not in value:
                raise BadStatement(f'{at}: no setting "{claim.path}"; found none of the name "{step}"')
            value = value[step]
        return ClaimResult(expectation, value == claim.value, f"it is {value!r}")


class StatementRun:
    """One statement, one product, one customer, one draw."""

    def __init__(self, judge: Evaluator, plan: Plan, variant: Variant, explain: bool = False) -> None:
        asking = plan.statement.traffic
        assert asking is not None
        self.judge, self.plan, self.variant, self.traffic = judge, plan, variant, asking
        self.mark = f"{plan.statement.name} {variant.product} {variant.customer} {variant.draw}"
        clock = next(
            (one for one in plan.circumstances if isinstance(one, s.TimeOfDay)), s.TimeOfDay(12 * 60)
        )
        self.dry = DryRun(judge.deployment, self.mark, explain, clock.day, clock.minute, judge.make_brain)
        self.stories: list[Trace] = []
        self.script = [(one.part, one.event) for one in plan.circumstances if isinstance(one, s.LegEvent)]
        self.leaves = next((one.when for one in plan.circumstances if isinstance(one, s.ClientLeaves)), "")
        self.deploy: tuple[Time, Time] | None = None  # since when and until when one runs
        self.live = True

    def run(self) -> list[ClaimResult]:
        """Raises Vacuous and BadStatement."""
        count = self.traffic.count or 1
        before = [self._turns(number) for number in range(count)]
        for one in self.plan.circumstances:
            self._circumstance(one)
        shares = [
            expectation
            for expectation in self.plan.statement.expectations
            if isinstance(expectation.claim, s.Share)
        ]
        only_shares = 0 < len(shares) == len(self.plan.statement.expectations)
        gap = round(SECOND / self.traffic.rate) if self.traffic.rate else 50 * MS
        if self.deploy is not None and not self.traffic.rate:
            begin, end = self.deploy
            gap = (end - begin) // (count + 1)
            self.dry.run_until(begin + gap)
        for number in range(count):
            self.stories.append(self._turn(number, before[number], TURNS[self.traffic.turn], main=True))
            if number + 1 < count:
                self.dry.run_until(self.dry.now + gap)
                if only_shares and number % LOOKS == LOOKS - 1 and self._decided(shares):
                    break
        self.live = False
        self.dry.run_to_end()
        self.dry.finish(RELEASE)
        self._note()
        left = min(
            (story.scripted_events for story in self.stories), key=len
        )  # it is enough that it came about for one of them
        if left:
            raise Vacuous(f"its {left[0][0]} never came to where it {left[0][1]}")
        if self.leaves and all(story.end != "departed" for story in self.stories):
            raise Vacuous("its client had its answer before it could leave")
        results, vacuous = list[ClaimResult](), list[Vacuous]()
        for expectation in self.plan.statement.expectations:
            try:
                results.append(self._finding(expectation))
            except Vacuous as wrong:
                vacuous.append(wrong)
        if vacuous and all(one.holds for one in results):
            raise vacuous[0]
        return results  # a claim that failed says more than one that could not be looked at

    # What comes before.

    def _turns(self, number: int) -> Trace | None:
        """The earlier turns of a session, with all servers as the fleet's file has them."""
        story = None
        for turn in range(TURNS[self.traffic.turn]):
            story = self._turn(number, story, turn)
            self.dry.run_to_end(60 * SECOND)
            if story.end != "streamed":
                raise Vacuous(f"its earlier turn was {story.end}, not streamed")
        return story

    def _turn(
        self,
        number: int,
        earlier: Trace | None,
        turn: int,
        main: bool = False,
        asking: s.Traffic | None = None,
        product: str | None = None,
        session: str = "",
    ) -> Trace:
        asking = asking or self.traffic
        prompt = asking.prompt_tok + turn * (asking.answer_tok + asking.adding_tok)
        customer = self.variant.customer
        return self.dry.submit(
            self.judge.deployment.products[product or self.variant.product],
            self.judge.deployment.customers[customer] if customer is not None else None,
            session or f"{self.mark} {number}",
            asking.opening,
            asking.opening_tok,
            prompt,
            asking.answer_tok,
            asking.again,
            earlier,
            main,
            self.script if main else (),
            self.leaves if main else "",
        )

    def _circumstance(self, one: s.Circumstance) -> None:
        dry = self.dry
        if isinstance(one, s.TimeOfDay):
            self.judge.coverage.states.add("clock")
        elif isinstance(one, s.ServerCondition):
            names = choose_servers(
                self.judge.sets.select(one.where, self.plan.location), one.amount, self.mark
            )
            if not names:
                raise Vacuous(f"{one.amount.text()}{one.where.text()} is no server at all")
            self.judge.coverage.states.add(one.state)
            dry.set_state(names, one.state, one.number)
        elif isinstance(one, s.BackgroundLoad):
            self._load(one.rate)
            dry.run_until(dry.now + LEAD)
        elif isinstance(one, s.Deploy):
            self._deploy(one)
        elif isinstance(one, s.Restart):
            dry.restart()
        elif isinstance(one, s.Pause):
            dry.run_until(dry.now + one.time)
        elif isinstance(one, s.EarlierTraffic):
            asking = one.traffic
            products = asking.products or tuple(self.judge.deployment.products)
            gap = round(SECOND / asking.rate) if asking.rate else 50 * MS
            for number in range(asking.count or 1):
                for turn in range(TURNS[asking.turn] + 1):
                    self._turn(
                        number,
                        None,
                        turn,
                        asking=asking,
                        product=products[number % len(products)],
                        session=f"{self.mark} before {one.line} {number}",
                    )
                    dry.run_until(dry.now + gap)
            if not asking.rate:
                dry.run_to_end(60 * SECOND)

    def _load(self, rate: float) -> None:
        """Other generations, of all products in turn, until the statement's own are done."""
        dry, products, numbers = self.dry, tuple(self.judge.deployment.products), iter(range(1 << 30))
        asking = s.Traffic(None, "first", ())

        def come() -> None:
            if self.live:
                number = next(numbers)
                self._turn(
                    number,
                    None,
                    0,
                    asking=asking,
                    product=products[number % len(products)],
                    session=f"{self.mark} load {number}",
                )
                dry.schedule(dry.now + round(SECOND / rate), come)

        come()

    def _deploy(self, one: s.Deploy) -> None:
        """Batch by batch: draining, gone, back cold."""
        dry, names = (
            self.dry,
            choose_servers(self.judge.sets.select(one.where, self.plan.location), s.Amount(), self.mark),
        )
        batches = [names[at : at + one.size] for at in range(0, len(names), one.size)]
        step = max(1, one.time // len(batches))
        self.deploy = dry.now, dry.now + one.time
        self.judge.coverage.states |= {"drains", "gone", "cold"}
        for number, batch in enumerate(batches):
            begin = dry.now + number * step
            dry.schedule(begin, lambda batch=batch: dry.set_state(batch, "drains"))  # type: ignore[misc]
            dry.schedule(begin + step // 2, lambda batch=batch: dry.set_state(batch, "gone"))  # type: ignore[misc]
            dry.schedule(begin + step, lambda batch=batch: dry.set_state(batch, "cold"))  # type: ignore[misc]

    # What became of it.

    def decisions(self) -> list[str]:
        return [f"{self.variant.text()}: {self._path(story)}" for story in self.stories[:200]]

    def _path(self, story: Trace) -> str:
        legs = [f"{leg.server.name} {leg.outcome or 'out'}" for leg in story.gen.legs]
        return ", ".join([*legs, story.end or "no answer"])

    def _note(self) -> None:
        touched = self.judge.coverage
        touched.products.add(self.variant.product)
        if self.variant.customer is not None:
            touched.customers.add(self.variant.customer)
        for story in self.stories:
            touched.ends.add(story.end)
            for leg in story.gen.legs:
                touched.racks.add(f"{leg.server.zone}/{leg.server.cell}")
                touched.outcomes.add(leg.outcome or "out")

    def _names(self, place: s.Place, story: Trace, bound: str) -> frozenset[str]:
        """The servers that a place means for this generation. Raises Vacuous."""
        if isinstance(place, s.Where):
            return self.judge.sets.select(place, self.plan.location)
        servers = self.dry.servers.values()

        def those(able: Callable[[Server], bool]) -> frozenset[str]:
            return frozenset(one.name for one in servers if able(one))

        if place.reference == "owner":
            if story.previous_turn is None or story.previous_turn.served_by is None:
                raise Vacuous("it has no earlier turn that a writer served")
            return frozenset((story.previous_turn.served_by.name,))
        if place.reference == "holder":
            if not story.prefix_cells:
                raise Vacuous("no rack held its opening when it came")
            return those(lambda one: one.cell in story.prefix_cells)
        if place.reference == "same rack":
            read = [leg.server for leg in story.gen.legs if leg.outcome == "read"]
            if not read:
                raise Vacuous("no reader read it")
            return those(lambda one: one.cell == read[-1].cell)
        if place.reference in ("another rack", "another server"):
            if len(story.gen.legs) < 1:
                raise Vacuous("no leg was sent")
            first = story.gen.legs[0].server
            if place.reference == "another rack":
                return those(lambda one: one.cell != first.cell)
            return those(lambda one: one is not first)
        what = {"that rack": "cell", "that zone": "zone", "that server": "name"}[place.reference]
        return those(lambda one: str(getattr(one, what)) == bound)

    def _went(self, story: Trace, which: s.Part, place: s.Place, bound: str) -> bool | None:
        """Whether it went there; None if it was not served at all."""
        names = self._names(place, story, bound)
        legs = story.gen.legs
        if which == "written":
            return story.served_by.name in names if story.served_by is not None else None
        if which == "read" or (isinstance(place, s.DynamicPlace) and place.reference == "holder"):
            read = next((leg.server for leg in reversed(legs) if leg.outcome == "read"), story.served_by)
            return read.name in names if read is not None else None
        if isinstance(place, s.DynamicPlace) and place.reference in ("another rack", "another server"):
            return story.served_by.name in names if story.served_by is not None else None
        roles = {one.role for one in self.dry.servers.values() if one.name in names}
        ours = [leg for leg in legs if leg.server.role in roles]
        return all(leg.server.name in names for leg in ours) if ours else None

    def _bounds(self, expectation: s.Expectation) -> list[str]:
        if expectation.every is None:
            return [""]
        names = (
            self.judge.sets.select(expectation.of, self.plan.location)
            if expectation.of
            else frozenset(self.dry.servers)
        )
        what = {"rack": "cell", "zone": "zone", "server": "name"}[expectation.every]
        return sorted({str(getattr(one, what)) for one in self.dry.servers.values() if one.name in names})

    def _finding(self, expectation: s.Expectation) -> ClaimResult:
        for bound in self._bounds(expectation):
            if isinstance(expectation.claim, s.Share):
                result = self._share(expectation, expectation.claim, bound, len(self._bounds(expectation)))
                if not result.holds:
                    return result
                continue
            for story in self.stories:
                result = self.evaluate_claim(expectation, story, bound)
                if not result.holds:
                    return result
        return ClaimResult(expectation, True)

    def evaluate_claim(self, expectation: s.Expectation, story: Trace, bound: str) -> ClaimResult:
        claim, gen = expectation.claim, story.gen
        which = f" ({expectation.every} {bound})" if bound else ""
        found = self._path(story)
        if isinstance(claim, s.Goes):
            if claim.never:
                names = self._names(claim.place, story, bound)
                hit = [leg.server.name for leg in gen.legs if leg.server.name in names]
                return ClaimResult(expectation, not hit, f"it went to {', '.join(hit)}{which}; {found}")
            return ClaimResult(
                expectation, self._went(story, claim.part, claim.place, bound) is True, f"{found}{which}"
            )
        if isinstance(claim, s.Ended):
            return ClaimResult(expectation, (story.end == claim.how) is claim.expected, found)
        if isinstance(claim, s.Resent):
            roles = [leg.server.role for leg in gen.legs]
            return ClaimResult(expectation, (len(roles) != len(set(roles))) is claim.expected, found)
        if isinstance(claim, s.LegCount):
            good = len(gen.legs) == claim.count if claim.exactly else len(gen.legs) <= claim.count
            return ClaimResult(expectation, good, f"{len(gen.legs)} legs: {found}")
        if isinstance(claim, s.Answered):
            if claim.within is None:
                if story.end not in ("throttled", "terminated"):
                    raise Vacuous(f"it was {story.end or 'never answered'}, not given up")
                late = (story.answered_at or 0) - story.last_leg_ended
                return ClaimResult(expectation, late <= 0, f"{late / 10:.1f} ms after its last leg was back")
            took = None if story.answered_at is None else story.answered_at - gen.arrived
            return ClaimResult(
                expectation,
                took is not None and took <= claim.within,
                f"{'never' if took is None else f'after {took / 10:.0f} ms'}; {found}",
            )
        if isinstance(claim, s.Released):
            if not story.ever_held:
                raise Vacuous("nothing was held for it")
            return ClaimResult(
                expectation,
                story.longest_idle_hold <= claim.within,
                f"held {story.longest_idle_hold / 10:.0f} ms with no leg out",
            )
        assert isinstance(claim, s.RuleHolds)
        broken = [text for rule, text in self.dry.violations if claim.name in (None, rule)]
        return ClaimResult(expectation, not broken, "; ".join(broken[:3]))

    # Shares.

    def _counted(self, claim: s.Share, bound: str) -> tuple[int, int]:
        hits = total = 0
        for story in self.stories:
            if not story.gen.over and not story.gen.legs:
                continue
            total += 1
            hits += (
                story.end == claim.target
                if isinstance(claim.target, str)
                else bool(self._went(story, claim.part, claim.target, bound))
            )
        return hits, total

    def _share(self, expectation: s.Expectation, claim: s.Share, bound: str, bounds: int) -> ClaimResult:
        hits, total = self._counted(claim, bound)
        looks = max(1, (self.traffic.count or 1) // LOOKS)
        low, high = wilson_interval(hits, total, 1 - (1 - claim.confidence / 100) / (bounds * looks))
        where = f" for {expectation.every} {bound}" if bound else ""
        seen = f"{hits} of {total}{where}, so {low:.1%} to {high:.1%} with {claim.confidence:g}% confidence"
        if claim.low / 100 <= low and high <= claim.high / 100:
            return ClaimResult(expectation, True, seen)
        if high < claim.low / 100 or low > claim.high / 100:
            return ClaimResult(expectation, False, seen)
        return ClaimResult(expectation, False, f"{seen}: too close to tell, say more turns")

    def _decided(self, shares: list[s.Expectation]) -> bool:
        """Whether more generations would change nothing. Those under way count as what they will be, so they are let
        end first; time that they take goes by for all."""
        self.dry.run_until(self.dry.now + LEAD)
        return all("too close" not in result.reason for result in map(self._finding, shares))


def wilson_interval(hits: int, total: int, confidence: float) -> tuple[float, float]:
    """Wilson's wilson_interval for a share, as parts of 1."""
    if not total:
        return 0.0, 1.0
    z = NormalDist().inv_cdf(0.5 + confidence / 2)
    p, weight = hits / total, z * z / total
    middle, half = (
        (p + weight / 2) / (1 + weight),
        z / (1 + weight) * (p * (1 - p) / total + weight / total / 4) ** 0.5,
    )
    return max(0.0, middle - half) if hits else 0.0, min(1.0, middle + half) if hits < total else 1.0


# What a failure hangs on.


@dataclass(slots=True)
class FailureCause:
    """Circumstances that the failure required, and single changes that would turn it."""

    required: list[str]
    fixes: list[str]


def minimize_failure(judge: Evaluator, plan: Plan, most: int = 60) -> FailureCause:
    """Leaves out circumstances for as long as it still fails, then looks for the smallest change that makes it hold."""
    tried = 0

    def holds(changed: Plan) -> bool | None:
        """None: can't apply, or its situation does not come about."""
        nonlocal tried
        tried += 1
        try:
            verdict = judge.verdict(changed)
        except BadStatement:
            return None
        return None if verdict.vacuous else verdict.passed

    at = 0
    while at < len(plan.circumstances) and tried < most:
        fewer = replace(plan, circumstances=plan.circumstances[:at] + plan.circumstances[at + 1 :])
        if holds(fewer) is False:
            plan = fewer
        else:
            at += 1
    turns = [text for text, changed in changes(judge, plan) if tried < most and holds(changed)]
    return FailureCause([one.text() for one in plan.circumstances], turns)


def changes(judge: Evaluator, plan: Plan) -> Iterator[tuple[str, Plan]]:
    """Plans one step away, smallest steps first, each with how to say it."""
    for at, one in enumerate(plan.circumstances):
        rest = plan.circumstances[:at], plan.circumstances[at + 1 :]
        yield f'without "{one.text()}"', replace(plan, circumstances=rest[0] + rest[1])
        if isinstance(one, s.ServerCondition) and one.amount.how != "some":
            some = replace(one, amount=s.Amount("some", 1))
            yield f'with "{some.text()}"', replace(plan, circumstances=(*rest[0], some, *rest[1]))
    asking = plan.statement.traffic
    if asking is None:
        return
    asked: list[tuple[str, s.Traffic]] = [
        (f"for {name}", replace(asking, products=(name,)))
        for name in judge.deployment.products
        if asking.products != (name,)
    ]
    if asking.opening is not None:
        asked.append(("without its opening", replace(asking, opening=None)))
    if asking.turn == "first":
        asked.append(("for a later turn", replace(asking, turn="later")))
    else:
        asked.append(("for a first turn", replace(asking, turn="first")))
    asked += [
        (
            f"with a prompt of {asking.prompt_tok // 4} tokens",
            replace(asking, prompt_tok=max(1, asking.prompt_tok // 4)),
        ),
        (
            f"with a prompt of {asking.prompt_tok * 4} tokens",
            replace(asking, prompt_tok=asking.prompt_tok * 4),
        ),
    ]
    for text, changed in asked:
        yield text, replace(plan, statement=replace(plan.statement, traffic=changed))
