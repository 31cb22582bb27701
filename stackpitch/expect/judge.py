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

RELEASE = 100 * MS  # what is held with no leg out may wait so long; in a dry world nothing needs longer
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
class Finding:
    """One claim in one play."""

    then: s.Then
    held: bool
    why: str = ""


@dataclass(slots=True)
class Verdict:
    statement: s.Statement
    file: str
    passed: bool = True
    vacuous: str = ""  # what did not come about
    error: str = ""  # why it can't apply
    failed: list[tuple[Variant | None, Finding]] = field(default_factory=list)
    decisions: list[str] = field(default_factory=list)  # what became of the generations, a line each
    plays: int = 0

    def word(self) -> str:
        return (
            "can't apply"
            if self.error
            else "vacuous"
            if self.vacuous
            else "holds"
            if self.passed
            else "fails"
        )

    def why(self) -> str:
        if self.error or self.vacuous:
            return self.error or f"its situation never came about: {self.vacuous}"
        return "; ".join(f"{one.then.text()}: {one.why}" for _, one in self.failed[:3])


@dataclass(slots=True)
class Touched:
    """What the plays of some statements came by; `stackpitch expect --coverage` shows what is left."""

    products: set[str] = field(default_factory=set)
    customers: set[str] = field(default_factory=set)
    racks: set[str] = field(default_factory=set)
    states: set[str] = field(default_factory=set)
    outcomes: set[str] = field(default_factory=set)
    ends: set[str] = field(default_factory=set)

    def add(self, other: "Touched") -> None:
        for one in fields(self):
            getattr(self, one.name).update(getattr(other, one.name))


class Judge:
    """One configuration and one book."""

    def __init__(
        self, book: Book, of: Deployment, draws: int = 3, make: Callable[..., Brain] = RuledBrain
    ) -> None:
        self.book, self.of, self.draws, self.make = book, of, draws, make
        self.sets = ServerSets(of, book.definitions)
        self.touched = Touched()

    def all(self, names: list[str] | None = None) -> Iterator[Verdict]:
        for name in names if names is not None else self.book.statements:
            yield self.judge(name)

    def judge(self, name: str) -> Verdict:
        file, statement = self.book.statements[name]
        try:
            plan = self.book.plan(name)
            self.book.check(plan, self.of, self.sets)
            return self.verdict(plan)
        except BadStatement as wrong:
            return Verdict(statement, file, passed=False, error=str(wrong))

    def variants(self, asking: s.Asking) -> Iterator[Variant]:
        products = asking.products or tuple(self.of.products)
        customers: tuple[str | None, ...] = (
            (None,) if asking.customers is None else (asking.customers or tuple(self.of.customers))
        )
        for draw in range(self.draws if asking.count is None else 1):
            for product in products:
                for customer in customers:
                    yield Variant(product, customer, draw)

    def verdict(self, plan: Plan, first_only: bool = True) -> Verdict:
        """Raises BadStatement. Stops at the first play that fails unless told otherwise."""
        verdict = Verdict(plan.statement, plan.file)
        if plan.statement.asking is None:
            for then in plan.statement.thens:
                finding = self._fact(then, plan.location)
                if not finding.held:
                    verdict.failed.append((None, finding))
            verdict.passed = not verdict.failed
            return verdict
        for variant in self.variants(plan.statement.asking):
            play = Play(self, plan, variant)
            verdict.plays += 1
            try:
                findings = play.run()
            except Vacuous as wrong:
                verdict.vacuous, verdict.passed = f"{wrong} ({variant.text()})", False
                return verdict
            verdict.decisions += play.decisions()
            verdict.failed += [(variant, one) for one in findings if not one.held]
            if verdict.failed and first_only:
                break
        verdict.passed = not verdict.failed
        return verdict

    def _fact(self, then: s.Then, at: str) -> Finding:
        claim = then.claim
        if isinstance(claim, s.Count):
            count = len(self.sets.select(claim.where, at))
            return Finding(
                then, count >= claim.count if claim.least else count == claim.count, f"there are {count}"
            )
        if isinstance(claim, s.Each):
            names = self.sets.select(claim.where, at)
            wrong = [
                one
                for one in self.of.fleet
                if one.name in names
                and (one.state != "ready" if claim.weight is None else one.weight != claim.weight)
            ]
            said = [
                f"{one.name} {f'is {one.state}' if claim.weight is None else f'weighs {one.weight:g}'}"
                for one in wrong
            ]
            return Finding(then, not wrong, ", ".join(said[:5]))
        assert isinstance(claim, s.Fact)
        value: Any = self.of.settings_tree
        for step in claim.path.split("."):
            if not isinstance(value, dict) or step not in value:
                raise BadStatement(f'{at}: no setting "{claim.path}"; found none of the name "{step}"')
            value = value[step]
        return Finding(then, value == claim.value, f"it is {value!r}")


class Play:
    """One statement, one product, one customer, one draw."""

    def __init__(self, judge: Judge, plan: Plan, variant: Variant, explain: bool = False) -> None:
        asking = plan.statement.asking
        assert asking is not None
        self.judge, self.plan, self.variant, self.asking = judge, plan, variant, asking
        self.mark = f"{plan.statement.name} {variant.product} {variant.customer} {variant.draw}"
        clock = next((one for one in plan.circumstances if isinstance(one, s.Clock)), s.Clock(12 * 60))
        self.dry = DryRun(judge.of, self.mark, explain, clock.day, clock.minute, judge.make)
        self.stories: list[Trace] = []
        self.script = [(one.part, one.what) for one in plan.circumstances if isinstance(one, s.Happens)]
        self.leaves = next((one.when for one in plan.circumstances if isinstance(one, s.Leaves)), "")
        self.deploy: tuple[Time, Time] | None = None  # since when and until when one runs
        self.live = True

    def run(self) -> list[Finding]:
        """Raises Vacuous and BadStatement."""
        count = self.asking.count or 1
        before = [self._turns(number) for number in range(count)]
        for one in self.plan.circumstances:
            self._circumstance(one)
        shares = [then for then in self.plan.statement.thens if isinstance(then.claim, s.Share)]
        only_shares = 0 < len(shares) == len(self.plan.statement.thens)
        gap = round(SECOND / self.asking.rate) if self.asking.rate else 50 * MS
        if self.deploy is not None and not self.asking.rate:
            begin, end = self.deploy
            gap = (end - begin) // (count + 1)
            self.dry.run_until(begin + gap)
        for number in range(count):
            self.stories.append(self._turn(number, before[number], TURNS[self.asking.turn], main=True))
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
        findings, vacuous = list[Finding](), list[Vacuous]()
        for then in self.plan.statement.thens:
            try:
                findings.append(self._finding(then))
            except Vacuous as wrong:
                vacuous.append(wrong)
        if vacuous and all(one.held for one in findings):
            raise vacuous[0]
        return findings  # a claim that failed says more than one that could not be looked at

    # What comes before.

    def _turns(self, number: int) -> Trace | None:
        """The earlier turns of a session, with all servers as the fleet's file has them."""
        story = None
        for turn in range(TURNS[self.asking.turn]):
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
        asking: s.Asking | None = None,
        product: str | None = None,
        session: str = "",
    ) -> Trace:
        asking = asking or self.asking
        prompt = asking.prompt_tok + turn * (asking.answer_tok + asking.adding_tok)
        customer = self.variant.customer
        return self.dry.submit(
            self.judge.of.products[product or self.variant.product],
            self.judge.of.customers[customer] if customer is not None else None,
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
        if isinstance(one, s.Clock):
            self.judge.touched.states.add("clock")
        elif isinstance(one, s.While):
            names = choose_servers(
                self.judge.sets.select(one.where, self.plan.location), one.amount, self.mark
            )
            if not names:
                raise Vacuous(f"{one.amount.text()}{one.where.text()} is no server at all")
            self.judge.touched.states.add(one.state)
            dry.set_state(names, one.state, one.number)
        elif isinstance(one, s.Load):
            self._load(one.rate)
            dry.run_until(dry.now + LEAD)
        elif isinstance(one, s.Deploy):
            self._deploy(one)
        elif isinstance(one, s.Restart):
            dry.restart()
        elif isinstance(one, s.Pause):
            dry.run_until(dry.now + one.time)
        elif isinstance(one, s.History):
            asking = one.asking
            products = asking.products or tuple(self.judge.of.products)
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
        dry, products, numbers = self.dry, tuple(self.judge.of.products), iter(range(1 << 30))
        asking = s.Asking(None, "first", ())

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
        self.judge.touched.states |= {"drains", "gone", "cold"}
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
        touched = self.judge.touched
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

        if place.what == "owner":
            if story.previous_turn is None or story.previous_turn.served_by is None:
                raise Vacuous("it has no earlier turn that a writer served")
            return frozenset((story.previous_turn.served_by.name,))
        if place.what == "holder":
            if not story.prefix_cells:
                raise Vacuous("no rack held its opening when it came")
            return those(lambda one: one.cell in story.prefix_cells)
        if place.what == "same rack":
            read = [leg.server for leg in story.gen.legs if leg.outcome == "read"]
            if not read:
                raise Vacuous("no reader read it")
            return those(lambda one: one.cell == read[-1].cell)
        if place.what in ("another rack", "another server"):
            if len(story.gen.legs) < 1:
                raise Vacuous("no leg was sent")
            first = story.gen.legs[0].server
            if place.what == "another rack":
                return those(lambda one: one.cell != first.cell)
            return those(lambda one: one is not first)
        what = {"that rack": "cell", "that zone": "zone", "that server": "name"}[place.what]
        return those(lambda one: str(getattr(one, what)) == bound)

    def _went(self, story: Trace, which: s.Part, place: s.Place, bound: str) -> bool | None:
        """Whether it went there; None if it was not served at all."""
        names = self._names(place, story, bound)
        legs = story.gen.legs
        if which == "written":
            return story.served_by.name in names if story.served_by is not None else None
        if which == "read" or (isinstance(place, s.Dynamic) and place.what == "holder"):
            read = next((leg.server for leg in reversed(legs) if leg.outcome == "read"), story.served_by)
            return read.name in names if read is not None else None
        if isinstance(place, s.Dynamic) and place.what in ("another rack", "another server"):
            return story.served_by.name in names if story.served_by is not None else None
        roles = {one.role for one in self.dry.servers.values() if one.name in names}
        ours = [leg for leg in legs if leg.server.role in roles]
        return all(leg.server.name in names for leg in ours) if ours else None

    def _bounds(self, then: s.Then) -> list[str]:
        if then.every is None:
            return [""]
        names = (
            self.judge.sets.select(then.of, self.plan.location) if then.of else frozenset(self.dry.servers)
        )
        what = {"rack": "cell", "zone": "zone", "server": "name"}[then.every]
        return sorted({str(getattr(one, what)) for one in self.dry.servers.values() if one.name in names})

    def _finding(self, then: s.Then) -> Finding:
        for bound in self._bounds(then):
            if isinstance(then.claim, s.Share):
                finding = self._share(then, then.claim, bound, len(self._bounds(then)))
                if not finding.held:
                    return finding
                continue
            for story in self.stories:
                finding = self._one(then, story, bound)
                if not finding.held:
                    return finding
        return Finding(then, True)

    def _one(self, then: s.Then, story: Trace, bound: str) -> Finding:
        claim, gen = then.claim, story.gen
        which = f" ({then.every} {bound})" if bound else ""
        found = self._path(story)
        if isinstance(claim, s.Goes):
            if claim.never:
                names = self._names(claim.place, story, bound)
                hit = [leg.server.name for leg in gen.legs if leg.server.name in names]
                return Finding(then, not hit, f"it went to {', '.join(hit)}{which}; {found}")
            return Finding(then, self._went(story, claim.part, claim.place, bound) is True, f"{found}{which}")
        if isinstance(claim, s.Ended):
            return Finding(then, (story.end == claim.how) is claim.wanted, found)
        if isinstance(claim, s.Resent):
            roles = [leg.server.role for leg in gen.legs]
            return Finding(then, (len(roles) != len(set(roles))) is claim.wanted, found)
        if isinstance(claim, s.Legs):
            good = len(gen.legs) == claim.count if claim.exactly else len(gen.legs) <= claim.count
            return Finding(then, good, f"{len(gen.legs)} legs: {found}")
        if isinstance(claim, s.Answered):
            if claim.within is None:
                if story.end not in ("throttled", "terminated"):
                    raise Vacuous(f"it was {story.end or 'never answered'}, not given up")
                late = (story.answered_at or 0) - story.last_leg_ended
                return Finding(then, late <= 0, f"{late / 10:.1f} ms after its last leg was back")
            took = None if story.answered_at is None else story.answered_at - gen.arrived
            return Finding(
                then,
                took is not None and took <= claim.within,
                f"{'never' if took is None else f'after {took / 10:.0f} ms'}; {found}",
            )
        if isinstance(claim, s.Released):
            if not story.ever_held:
                raise Vacuous("nothing was held for it")
            return Finding(
                then,
                story.longest_idle_hold <= claim.within,
                f"held {story.longest_idle_hold / 10:.0f} ms with no leg out",
            )
        assert isinstance(claim, s.Rules)
        broken = [text for rule, text in self.dry.violations if claim.name in (None, rule)]
        return Finding(then, not broken, "; ".join(broken[:3]))

    # Shares.

    def _counted(self, claim: s.Share, bound: str) -> tuple[int, int]:
        hits = total = 0
        for story in self.stories:
            if not story.gen.over and not story.gen.legs:
                continue
            total += 1
            hits += (
                story.end == claim.what
                if isinstance(claim.what, str)
                else bool(self._went(story, claim.part, claim.what, bound))
            )
        return hits, total

    def _share(self, then: s.Then, claim: s.Share, bound: str, bounds: int) -> Finding:
        hits, total = self._counted(claim, bound)
        looks = max(1, (self.asking.count or 1) // LOOKS)
        low, high = interval(hits, total, 1 - (1 - claim.confidence / 100) / (bounds * looks))
        where = f" for {then.every} {bound}" if bound else ""
        seen = f"{hits} of {total}{where}, so {low:.1%} to {high:.1%} with {claim.confidence:g}% confidence"
        if claim.low / 100 <= low and high <= claim.high / 100:
            return Finding(then, True, seen)
        if high < claim.low / 100 or low > claim.high / 100:
            return Finding(then, False, seen)
        return Finding(then, False, f"{seen}: too close to tell, say more turns")

    def _decided(self, shares: list[s.Then]) -> bool:
        """Whether more generations would change nothing. Those under way count as what they will be, so they are let
        end first; time that they take goes by for all."""
        self.dry.run_until(self.dry.now + LEAD)
        return all("too close" not in finding.why for finding in map(self._finding, shares))


def interval(hits: int, total: int, confidence: float) -> tuple[float, float]:
    """Wilson's interval for a share, as parts of 1."""
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
class Cause:
    """Circumstances that the failure needs, and single changes that would turn it."""

    needs: list[str]
    turns: list[str]


def shrink(judge: Judge, plan: Plan, most: int = 60) -> Cause:
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
    return Cause([one.text() for one in plan.circumstances], turns)


def changes(judge: Judge, plan: Plan) -> Iterator[tuple[str, Plan]]:
    """Plans one step away, smallest steps first, each with how to say it."""
    for at, one in enumerate(plan.circumstances):
        rest = plan.circumstances[:at], plan.circumstances[at + 1 :]
        yield f'without "{one.text()}"', replace(plan, circumstances=rest[0] + rest[1])
        if isinstance(one, s.While) and one.amount.how != "some":
            some = replace(one, amount=s.Amount("some", 1))
            yield f'with "{some.text()}"', replace(plan, circumstances=(*rest[0], some, *rest[1]))
    asking = plan.statement.asking
    if asking is None:
        return
    asked: list[tuple[str, s.Asking]] = [
        (f"for {name}", replace(asking, products=(name,)))
        for name in judge.of.products
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
        yield text, replace(plan, statement=replace(plan.statement, asking=changed))
