"""Evaluates statements against dry runs of the decision module. Pure: a verdict depends on its input alone.

A statement is run once for each product and customer that it names. A statement about a single generation is
also run with several draws, which vary session names and random choices; its claims must hold in every run.
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

# The longest that KV state or a reservation may be held with no leg outstanding; a dry run needs no longer.
RELEASE_LIMIT = 100 * MS
CHECK_INTERVAL = 40  # generations between two checks whether a share is decided, which ends the run early
LOAD_LEAD_TIME = 2 * SECOND  # background load runs this long before the generations of the statement arrive
# Turns of the session that are played before the turn that a statement names.
EARLIER_TURNS = {"first": 0, "second": 1, "later": 1, "third": 2}


class Vacuous(Exception):
    """The situation that a statement describes did not occur in the run, so the statement proves nothing."""


@dataclass(frozen=True, slots=True)
class Variant:
    """What one run of a statement is for: a product, a customer (None: no customer) and a draw from 0."""

    product: str
    customer: str | None
    draw: int

    def text(self) -> str:
        """The variant as reports print it."""
        return self.product + (f" from {self.customer}" if self.customer else "") + f", play {self.draw + 1}"


@dataclass(slots=True)
class ClaimResult:
    """The result of one expectation in one run."""

    expectation: s.Expectation
    holds: bool
    reason: str = ""


@dataclass(slots=True)
class Verdict:
    """The result of one statement over all its runs."""

    statement: s.Statement
    file: str
    passed: bool = True
    vacuous: str = ""  # what did not occur, if the statement is vacuous
    error: str = ""  # why the statement can't apply to the configuration
    failed: list[tuple[Variant | None, ClaimResult]] = field(default_factory=list)
    decisions: list[str] = field(default_factory=list)  # one line for each generation: its legs and its end
    plays: int = 0  # runs

    def label(self) -> str:
        """The verdict in a word, as reports print it."""
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
        """Why the statement does not hold: its error, what did not occur, or the first three failed claims."""
        if self.error or self.vacuous:
            return self.error or f"its situation never came about: {self.vacuous}"
        return "; ".join(f"{result.expectation.text()}: {result.reason}" for _, result in self.failed[:3])


@dataclass(slots=True)
class Coverage:
    """What the runs of some statements exercised; `stackpitch expect --coverage` shows the rest."""

    products: set[str] = field(default_factory=set)
    customers: set[str] = field(default_factory=set)
    racks: set[str] = field(default_factory=set)
    states: set[str] = field(default_factory=set)
    outcomes: set[str] = field(default_factory=set)
    ends: set[str] = field(default_factory=set)

    def add(self, other: "Coverage") -> None:
        """Merges `other` into this coverage."""
        for item in fields(self):
            getattr(self, item.name).update(getattr(other, item.name))


class Evaluator:
    """Evaluates the statements of one book against one configuration."""

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
        """The verdicts of the named statements, or of all, in order."""
        for name in names if names is not None else self.book.statements:
            yield self.evaluate(name)

    def evaluate(self, name: str) -> Verdict:
        """The verdict on one statement; one that can't apply has its `error` set."""
        file, statement = self.book.statements[name]
        try:
            plan = self.book.plan(name)
            self.book.check(plan, self.deployment, self.sets)
            return self.verdict(plan)
        except BadStatement as error:
            return Verdict(statement, file, passed=False, error=str(error))

    def variants(self, traffic: s.Traffic) -> Iterator[Variant]:
        """The runs that a statement with this traffic needs; several draws only for a single generation."""
        products = traffic.products or tuple(self.deployment.products)
        customers: tuple[str | None, ...] = (
            (None,) if traffic.customers is None else (traffic.customers or tuple(self.deployment.customers))
        )
        for draw in range(self.draws if traffic.count is None else 1):
            for product in products:
                for customer in customers:
                    yield Variant(product, customer, draw)

    def verdict(self, plan: Plan, first_only: bool = True) -> Verdict:
        """Runs a plan in all variants, or up to the first that fails. Raises BadStatement."""
        verdict = Verdict(plan.statement, plan.file)
        if plan.statement.traffic is None:
            for expectation in plan.statement.expectations:
                result = self._check_configuration(expectation, plan.location)
                if not result.holds:
                    verdict.failed.append((None, result))
            verdict.passed = not verdict.failed
            return verdict
        for variant in self.variants(plan.statement.traffic):
            run = StatementRun(self, plan, variant)
            verdict.plays += 1
            try:
                results = run.run()
            except Vacuous as error:
                verdict.vacuous, verdict.passed = f"{error} ({variant.text()})", False
                return verdict
            verdict.decisions += run.decisions()
            verdict.failed += [(variant, failure) for failure in results if not failure.holds]
            if verdict.failed and first_only:
                break
        verdict.passed = not verdict.failed
        return verdict

    def _check_configuration(self, expectation: s.Expectation, at: str) -> ClaimResult:
        """Checks a claim about settings or the server list, which needs no run. Raises BadStatement."""
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
            mismatched = [
                server
                for server in self.deployment.fleet
                if server.name in names
                and (server.state != "ready" if claim.weight is None else server.weight != claim.weight)
            ]
            descriptions = [
                f"{server.name} {f'is {server.state}' if claim.weight is None else f'weighs {server.weight:g}'}"
                for server in mismatched
            ]
            return ClaimResult(expectation, not mismatched, ", ".join(descriptions[:5]))
        assert isinstance(claim, s.SettingClaim)
        value: Any = self.deployment.settings_tree
        for step in claim.path.split("."):
            if not isinstance(value, dict) or step not in value:
                raise BadStatement(f'{at}: no setting "{claim.path}"; found none of the name "{step}"')
            value = value[step]
        return ClaimResult(expectation, value == claim.value, f"it is {value!r}")


class StatementRun:
    """One dry run of a statement for one variant. `explain` records the figures behind each decision."""

    def __init__(self, evaluator: Evaluator, plan: Plan, variant: Variant, explain: bool = False) -> None:
        traffic = plan.statement.traffic
        assert traffic is not None
        self.evaluator, self.plan, self.variant, self.traffic = evaluator, plan, variant, traffic
        self.run_id = f"{plan.statement.name} {variant.product} {variant.customer} {variant.draw}"
        clock = next(
            (circumstance for circumstance in plan.circumstances if isinstance(circumstance, s.TimeOfDay)),
            s.TimeOfDay(12 * 60),
        )
        self.dry = DryRun(
            evaluator.deployment, self.run_id, explain, clock.day, clock.minute, evaluator.make_brain
        )
        self.stories: list[Trace] = []
        self.leg_events = [
            (circumstance.leg, circumstance.event)
            for circumstance in plan.circumstances
            if isinstance(circumstance, s.LegEvent)
        ]
        self.client_leaves = next(
            (
                circumstance.when
                for circumstance in plan.circumstances
                if isinstance(circumstance, s.ClientLeaves)
            ),
            "",
        )
        self.deploy_window: tuple[Time, Time] | None = None  # start and end
        self.load_running = True

    def run(self) -> list[ClaimResult]:
        """Plays the run and checks every expectation. Raises Vacuous and BadStatement."""
        count = self.traffic.count or 1
        earlier = [self._play_earlier_turns(number) for number in range(count)]
        for circumstance in self.plan.circumstances:
            self._apply_circumstance(circumstance)
        shares = [
            expectation
            for expectation in self.plan.statement.expectations
            if isinstance(expectation.claim, s.Share)
        ]
        only_shares = 0 < len(shares) == len(self.plan.statement.expectations)
        interval = round(SECOND / self.traffic.rate) if self.traffic.rate else 50 * MS
        if self.deploy_window is not None and not self.traffic.rate:
            begin, end = self.deploy_window
            interval = (end - begin) // (count + 1)
            self.dry.run_until(begin + interval)
        for number in range(count):
            self.stories.append(
                self._send_turn(number, earlier[number], EARLIER_TURNS[self.traffic.turn], main=True)
            )
            if number + 1 < count:
                self.dry.run_until(self.dry.now + interval)
                if (
                    only_shares
                    and number % CHECK_INTERVAL == CHECK_INTERVAL - 1
                    and self._shares_decided(shares)
                ):
                    break
        self.load_running = False
        self.dry.run_to_end()
        self.dry.finish(RELEASE_LIMIT)
        self._record_coverage()
        # It is enough that the leg events occurred for one of the generations.
        pending_events = min((story.scripted_events for story in self.stories), key=len)
        if pending_events:
            raise Vacuous(f"its {pending_events[0][0]} never came to where it {pending_events[0][1]}")
        if self.client_leaves and all(story.end != "departed" for story in self.stories):
            raise Vacuous("its client had its answer before it could leave")
        results, vacuous = list[ClaimResult](), list[Vacuous]()
        for expectation in self.plan.statement.expectations:
            try:
                results.append(self._evaluate_expectation(expectation))
            except Vacuous as error:
                vacuous.append(error)
        # A failed claim says more than one that could not be checked, so it takes precedence.
        if vacuous and all(result.holds for result in results):
            raise vacuous[0]
        return results

    # Traffic and circumstances before the generations that the statement is about.

    def _play_earlier_turns(self, number: int) -> Trace | None:
        """Plays the earlier turns of session `number`, with all servers still as the fleet file lists them.

        Raises Vacuous.
        """
        story = None
        for turn in range(EARLIER_TURNS[self.traffic.turn]):
            story = self._send_turn(number, story, turn)
            self.dry.run_to_end(60 * SECOND)
            if story.end != "streamed":
                raise Vacuous(f"its earlier turn was {story.end}, not streamed")
        return story

    def _send_turn(
        self,
        number: int,
        earlier: Trace | None,
        turn: int,
        main: bool = False,
        traffic: s.Traffic | None = None,
        product: str | None = None,
        session: str = "",
    ) -> Trace:
        traffic = traffic or self.traffic
        prompt = traffic.prompt_tok + turn * (traffic.answer_tok + traffic.adding_tok)
        customer = self.variant.customer
        return self.dry.submit(
            self.evaluator.deployment.products[product or self.variant.product],
            self.evaluator.deployment.customers[customer] if customer is not None else None,
            session or f"{self.run_id} {number}",
            traffic.opening,
            traffic.opening_tok,
            prompt,
            traffic.answer_tok,
            traffic.again,
            earlier,
            main,
            self.leg_events if main else (),
            self.client_leaves if main else "",
        )

    def _apply_circumstance(self, circumstance: s.Circumstance) -> None:
        dry = self.dry
        if isinstance(circumstance, s.TimeOfDay):
            self.evaluator.coverage.states.add("clock")
        elif isinstance(circumstance, s.ServerCondition):
            names = choose_servers(
                self.evaluator.sets.select(circumstance.where, self.plan.location),
                circumstance.amount,
                self.run_id,
            )
            if not names:
                raise Vacuous(f"{circumstance.amount.text()}{circumstance.where.text()} is no server at all")
            self.evaluator.coverage.states.add(circumstance.state)
            dry.set_state(names, circumstance.state, circumstance.number)
        elif isinstance(circumstance, s.BackgroundLoad):
            self._start_background_load(circumstance.rate)
            dry.run_until(dry.now + LOAD_LEAD_TIME)
        elif isinstance(circumstance, s.Deploy):
            self._schedule_deploy(circumstance)
        elif isinstance(circumstance, s.Restart):
            dry.restart()
        elif isinstance(circumstance, s.Pause):
            dry.run_until(dry.now + circumstance.time)
        elif isinstance(circumstance, s.EarlierTraffic):
            traffic = circumstance.traffic
            products = traffic.products or tuple(self.evaluator.deployment.products)
            interval = round(SECOND / traffic.rate) if traffic.rate else 50 * MS
            for number in range(traffic.count or 1):
                for turn in range(EARLIER_TURNS[traffic.turn] + 1):
                    self._send_turn(
                        number,
                        None,
                        turn,
                        traffic=traffic,
                        product=products[number % len(products)],
                        session=f"{self.run_id} before {circumstance.line} {number}",
                    )
                    dry.run_until(dry.now + interval)
            if not traffic.rate:
                dry.run_to_end(60 * SECOND)

    def _start_background_load(self, rate: float) -> None:
        """Sends first turns at `rate` a second, cycling through all products, until the run ends its own."""
        dry, products, numbers = self.dry, tuple(self.evaluator.deployment.products), iter(range(1 << 30))
        traffic = s.Traffic(None, "first", ())

        def send_next() -> None:
            if self.load_running:
                number = next(numbers)
                self._send_turn(
                    number,
                    None,
                    0,
                    traffic=traffic,
                    product=products[number % len(products)],
                    session=f"{self.run_id} load {number}",
                )
                dry.schedule(dry.now + round(SECOND / rate), send_next)

        send_next()

    def _schedule_deploy(self, deploy: s.Deploy) -> None:
        """Schedules a deploy in batches: each drains, leaves the list, and comes back cold."""
        dry, names = (
            self.dry,
            choose_servers(
                self.evaluator.sets.select(deploy.where, self.plan.location), s.Amount(), self.run_id
            ),
        )
        batches = [names[offset : offset + deploy.size] for offset in range(0, len(names), deploy.size)]
        batch_interval = max(1, deploy.time // len(batches))
        self.deploy_window = dry.now, dry.now + deploy.time
        self.evaluator.coverage.states |= {"drains", "gone", "cold"}
        for number, batch in enumerate(batches):
            start = dry.now + number * batch_interval
            dry.schedule(start, lambda batch=batch: dry.set_state(batch, "drains"))  # type: ignore[misc]
            dry.schedule(start + batch_interval // 2, lambda batch=batch: dry.set_state(batch, "gone"))  # type: ignore[misc]
            dry.schedule(start + batch_interval, lambda batch=batch: dry.set_state(batch, "cold"))  # type: ignore[misc]

    # Results.

    def decisions(self) -> list[str]:
        """One line for each of the first 200 generations: the variant, its legs and its end."""
        return [f"{self.variant.text()}: {self._describe_path(story)}" for story in self.stories[:200]]

    def _describe_path(self, story: Trace) -> str:
        legs = [f"{leg.server.name} {leg.outcome or 'out'}" for leg in story.gen.legs]
        return ", ".join([*legs, story.end or "no answer"])

    def _record_coverage(self) -> None:
        coverage = self.evaluator.coverage
        coverage.products.add(self.variant.product)
        if self.variant.customer is not None:
            coverage.customers.add(self.variant.customer)
        for story in self.stories:
            coverage.ends.add(story.end)
            for leg in story.gen.legs:
                coverage.racks.add(f"{leg.server.zone}/{leg.server.cell}")
                coverage.outcomes.add(leg.outcome or "out")

    def _resolve_place(self, place: s.Place, story: Trace, binding: str) -> frozenset[str]:
        """The servers that a place means for this generation; `binding` is the value of the quantifier.

        Raises Vacuous.
        """
        if isinstance(place, s.Where):
            return self.evaluator.sets.select(place, self.plan.location)
        servers = self.dry.servers.values()

        def matching(predicate: Callable[[Server], bool]) -> frozenset[str]:
            return frozenset(server.name for server in servers if predicate(server))

        if place.reference == "owner":
            if story.previous_turn is None or story.previous_turn.served_by is None:
                raise Vacuous("it has no earlier turn that a writer served")
            return frozenset((story.previous_turn.served_by.name,))
        if place.reference == "holder":
            if not story.prefix_cells:
                raise Vacuous("no rack held its opening when it came")
            return matching(lambda server: server.cell in story.prefix_cells)
        if place.reference == "same rack":
            read = [leg.server for leg in story.gen.legs if leg.outcome == "read"]
            if not read:
                raise Vacuous("no reader read it")
            return matching(lambda server: server.cell == read[-1].cell)
        if place.reference in ("another rack", "another server"):
            if len(story.gen.legs) < 1:
                raise Vacuous("no leg was sent")
            first = story.gen.legs[0].server
            if place.reference == "another rack":
                return matching(lambda server: server.cell != first.cell)
            return matching(lambda server: server is not first)
        attribute = {"that rack": "cell", "that zone": "zone", "that server": "name"}[place.reference]
        return matching(lambda server: str(getattr(server, attribute)) == binding)

    def _went_to(self, story: Trace, phase: s.Phase, place: s.Place, binding: str) -> bool | None:
        """Whether the generation was served at the place in this phase; None if it was not served at all."""
        names = self._resolve_place(place, story, binding)
        legs = story.gen.legs
        if phase == "written":
            return story.served_by.name in names if story.served_by is not None else None
        if phase == "read" or (isinstance(place, s.DynamicPlace) and place.reference == "holder"):
            read = next((leg.server for leg in reversed(legs) if leg.outcome == "read"), story.served_by)
            return read.name in names if read is not None else None
        if isinstance(place, s.DynamicPlace) and place.reference in ("another rack", "another server"):
            return story.served_by.name in names if story.served_by is not None else None
        roles = {server.role for server in self.dry.servers.values() if server.name in names}
        role_legs = [leg for leg in legs if leg.server.role in roles]
        return all(leg.server.name in names for leg in role_legs) if role_legs else None

    def _quantified_values(self, expectation: s.Expectation) -> list[str]:
        """The racks, zones or servers that "for every" ranges over; one empty name without a quantifier."""
        if expectation.every is None:
            return [""]
        names = (
            self.evaluator.sets.select(expectation.of, self.plan.location)
            if expectation.of
            else frozenset(self.dry.servers)
        )
        attribute = {"rack": "cell", "zone": "zone", "server": "name"}[expectation.every]
        return sorted(
            {str(getattr(server, attribute)) for server in self.dry.servers.values() if server.name in names}
        )

    def _evaluate_expectation(self, expectation: s.Expectation) -> ClaimResult:
        for binding in self._quantified_values(expectation):
            if isinstance(expectation.claim, s.Share):
                result = self._share(
                    expectation, expectation.claim, binding, len(self._quantified_values(expectation))
                )
                if not result.holds:
                    return result
                continue
            for story in self.stories:
                result = self.evaluate_claim(expectation, story, binding)
                if not result.holds:
                    return result
        return ClaimResult(expectation, True)

    def evaluate_claim(self, expectation: s.Expectation, story: Trace, binding: str) -> ClaimResult:
        """Checks a claim about single generations for one of them. Raises Vacuous."""
        claim, gen = expectation.claim, story.gen
        suffix = f" ({expectation.every} {binding})" if binding else ""
        path = self._describe_path(story)
        if isinstance(claim, s.Goes):
            if claim.never:
                names = self._resolve_place(claim.place, story, binding)
                forbidden = [leg.server.name for leg in gen.legs if leg.server.name in names]
                return ClaimResult(
                    expectation, not forbidden, f"it went to {', '.join(forbidden)}{suffix}; {path}"
                )
            return ClaimResult(
                expectation,
                self._went_to(story, claim.phase, claim.place, binding) is True,
                f"{path}{suffix}",
            )
        if isinstance(claim, s.Ended):
            return ClaimResult(expectation, (story.end == claim.how) is claim.expected, path)
        if isinstance(claim, s.Resent):
            roles = [leg.server.role for leg in gen.legs]
            return ClaimResult(expectation, (len(roles) != len(set(roles))) is claim.expected, path)
        if isinstance(claim, s.LegCount):
            holds = len(gen.legs) == claim.count if claim.exactly else len(gen.legs) <= claim.count
            return ClaimResult(expectation, holds, f"{len(gen.legs)} legs: {path}")
        if isinstance(claim, s.Answered):
            if claim.within is None:
                if story.end not in ("throttled", "terminated"):
                    raise Vacuous(f"it was {story.end or 'never answered'}, not given up")
                delay = (story.answered_at or 0) - story.last_leg_ended
                return ClaimResult(
                    expectation, delay <= 0, f"{delay / 10:.1f} ms after its last leg was back"
                )
            latency = None if story.answered_at is None else story.answered_at - gen.arrived
            return ClaimResult(
                expectation,
                latency is not None and latency <= claim.within,
                f"{'never' if latency is None else f'after {latency / 10:.0f} ms'}; {path}",
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

    def _count_hits(self, claim: s.Share, binding: str) -> tuple[int, int]:
        """How many generations meet the claim, and of how many; those that wait unsent don't count."""
        hits = total = 0
        for story in self.stories:
            if not story.gen.over and not story.gen.legs:
                continue
            total += 1
            hits += (
                story.end == claim.target
                if isinstance(claim.target, str)
                else bool(self._went_to(story, claim.phase, claim.target, binding))
            )
        return hits, total

    def _share(
        self, expectation: s.Expectation, claim: s.Share, binding: str, binding_count: int
    ) -> ClaimResult:
        hits, total = self._count_hits(claim, binding)
        # Bonferroni correction: one test for each value of the quantifier and each early check.
        checks = max(1, (self.traffic.count or 1) // CHECK_INTERVAL)
        low, high = wilson_interval(hits, total, 1 - (1 - claim.confidence / 100) / (binding_count * checks))
        where = f" for {expectation.every} {binding}" if binding else ""
        summary = (
            f"{hits} of {total}{where}, so {low:.1%} to {high:.1%} with {claim.confidence:g}% confidence"
        )
        if claim.low / 100 <= low and high <= claim.high / 100:
            return ClaimResult(expectation, True, summary)
        if high < claim.low / 100 or low > claim.high / 100:
            return ClaimResult(expectation, False, summary)
        return ClaimResult(expectation, False, f"{summary}: too close to tell, say more turns")

    def _shares_decided(self, shares: list[s.Expectation]) -> bool:
        """Whether more generations would change no result.

        Time is advanced first, so that generations under way end and count with their final outcome.
        """
        self.dry.run_until(self.dry.now + LOAD_LEAD_TIME)
        return all("too close" not in result.reason for result in map(self._evaluate_expectation, shares))


def wilson_interval(hits: int, total: int, confidence: float) -> tuple[float, float]:
    """The Wilson score interval for a share, as fractions of 1."""
    if not total:
        return 0.0, 1.0
    z = NormalDist().inv_cdf(0.5 + confidence / 2)
    p, weight = hits / total, z * z / total
    center, half_width = (
        (p + weight / 2) / (1 + weight),
        z / (1 + weight) * (p * (1 - p) / total + weight / total / 4) ** 0.5,
    )
    return max(0.0, center - half_width) if hits else 0.0, min(
        1.0, center + half_width
    ) if hits < total else 1.0


# Causes of a failure.


@dataclass(slots=True)
class FailureCause:
    """The circumstances that a failure requires, and single changes that would make the statement hold."""

    required: list[str]
    fixes: list[str]


def minimize_failure(evaluator: Evaluator, plan: Plan, max_attempts: int = 60) -> FailureCause:
    """Drops circumstances while the statement still fails, then finds single changes that make it hold.

    At most `max_attempts` changed plans are evaluated.
    """
    attempts = 0

    def holds(changed: Plan) -> bool | None:
        """None: the changed statement can't apply, or its situation does not occur."""
        nonlocal attempts
        attempts += 1
        try:
            verdict = evaluator.verdict(changed)
        except BadStatement:
            return None
        return None if verdict.vacuous else verdict.passed

    index = 0
    while index < len(plan.circumstances) and attempts < max_attempts:
        reduced = replace(plan, circumstances=plan.circumstances[:index] + plan.circumstances[index + 1 :])
        if holds(reduced) is False:
            plan = reduced
        else:
            index += 1
    fixes = [
        text
        for text, changed in single_changes(evaluator, plan)
        if attempts < max_attempts and holds(changed)
    ]
    return FailureCause([circumstance.text() for circumstance in plan.circumstances], fixes)


def single_changes(evaluator: Evaluator, plan: Plan) -> Iterator[tuple[str, Plan]]:
    """Plans that differ by one change, smallest changes first, each with a description."""
    for index, circumstance in enumerate(plan.circumstances):
        others = plan.circumstances[:index], plan.circumstances[index + 1 :]
        yield f'without "{circumstance.text()}"', replace(plan, circumstances=others[0] + others[1])
        if isinstance(circumstance, s.ServerCondition) and circumstance.amount.how != "some":
            single = replace(circumstance, amount=s.Amount("some", 1))
            yield f'with "{single.text()}"', replace(plan, circumstances=(*others[0], single, *others[1]))
    traffic = plan.statement.traffic
    if traffic is None:
        return
    variations: list[tuple[str, s.Traffic]] = [
        (f"for {name}", replace(traffic, products=(name,)))
        for name in evaluator.deployment.products
        if traffic.products != (name,)
    ]
    if traffic.opening is not None:
        variations.append(("without its opening", replace(traffic, opening=None)))
    if traffic.turn == "first":
        variations.append(("for a later turn", replace(traffic, turn="later")))
    else:
        variations.append(("for a first turn", replace(traffic, turn="first")))
    variations += [
        (
            f"with a prompt of {traffic.prompt_tok // 4} tokens",
            replace(traffic, prompt_tok=max(1, traffic.prompt_tok // 4)),
        ),
        (
            f"with a prompt of {traffic.prompt_tok * 4} tokens",
            replace(traffic, prompt_tok=traffic.prompt_tok * 4),
        ),
    ]
    for text, changed in variations:
        yield text, replace(plan, statement=replace(plan.statement, traffic=changed))
