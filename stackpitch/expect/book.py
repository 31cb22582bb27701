"""All files of statements together: names looked up, situations put in, contradictions found. Pure."""

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass, replace

from stackpitch.expect import syntax as s
from stackpitch.expect.deployment import Deployment, Sets, shown
from stackpitch.expect.parse import BadStatement


@dataclass(frozen=True, slots=True)
class Plan:
    """A statement made ready for one configuration."""

    statement: s.Statement
    file: str
    circumstances: tuple[s.Circumstance, ...]  # none of them `Given`

    @property
    def at(self) -> str:
        return f"{self.file}:{self.statement.line}"


class Book:
    """Definitions, situations and statements of several pages. Raises BadStatement on names that occur twice."""

    def __init__(self, pages: Iterable[s.StatementFile]) -> None:
        self.definitions: dict[str, s.Definition] = {}
        self.situations: dict[str, s.Situation] = {}
        self.statements: dict[str, tuple[str, s.Statement]] = {}  # with the file
        for page in pages:
            for one in page.items:
                table: Container[str] = self.statements
                if isinstance(one, s.Definition):
                    table = self.definitions
                elif isinstance(one, s.Situation):
                    table = self.situations
                if one.name in table:
                    raise BadStatement(f'{page.file}:{one.line}: "{one.name}" stands in another file already')
                if isinstance(one, s.Definition):
                    self.definitions[one.name] = one
                elif isinstance(one, s.Situation):
                    self.situations[one.name] = one
                else:
                    self.statements[one.name] = page.file, one

    def plan(self, name: str) -> Plan:
        """Raises BadStatement on situations that are not there or lead back to themselves."""
        file, statement = self.statements[name]
        return Plan(
            statement, file, tuple(self._flat(statement.circumstances, f"{file}:{statement.line}", ()))
        )

    def _flat(
        self, circumstances: Iterable[s.Circumstance], at: str, inside: tuple[str, ...]
    ) -> Iterator[s.Circumstance]:
        for one in circumstances:
            if not isinstance(one, s.Given):
                yield one
                continue
            if one.name not in self.situations:
                raise BadStatement(f'{at}: no situation "{one.name}"; there are: {shown(self.situations)}')
            if one.name in inside or len(inside) > 20:
                raise BadStatement(f'{at}: situation "{one.name}" leads back to itself')
            yield from self._flat(self.situations[one.name].circumstances, at, (*inside, one.name))

    def check(self, plan: Plan, of: Deployment, sets: Sets) -> None:
        """Raises BadStatement if the statement can't apply to the configuration at all."""
        at, statement = plan.at, plan.statement
        asked = [one.traffic for one in plan.circumstances if isinstance(one, s.EarlierTraffic)]
        asked += [statement.traffic] if statement.traffic is not None else []
        for asking in asked:
            for product in asking.products:
                if product not in of.products:
                    raise BadStatement(
                        f'{at}: no product "{product}" in this configuration; there are: {shown(of.products)}'
                    )
            for customer in asking.customers or ():
                if customer not in of.customers:
                    raise BadStatement(
                        f'{at}: no customer "{customer}" in this configuration; there are: '
                        f"{shown(of.customers)}"
                    )
            if asking.customers == () and not of.customers:
                raise BadStatement(f"{at}: every customer: this configuration has none")
        for one in plan.circumstances:
            if isinstance(one, s.ServerCondition | s.Deploy):
                names = sets.select(one.where, at)
                if (
                    isinstance(one, s.ServerCondition)
                    and one.amount.how in ("some", "all but")
                    and one.amount.number > len(names)
                ):
                    raise BadStatement(
                        f'{at}: "{one.where.text()}" means {len(names)} servers, not {one.amount.number:g}'
                    )
        for then in statement.expectations:
            claim = then.claim
            if then.of is not None:
                sets.select(then.of, at)
            place = (
                claim.place
                if isinstance(claim, s.Goes)
                else claim.target
                if isinstance(claim, s.Share)
                else None
            )
            if isinstance(place, s.Where):
                sets.select(place, at)
            if (
                isinstance(place, s.DynamicPlace)
                and place.reference.startswith("that ")
                and place.reference != f"that {then.every}"
            ):
                raise BadStatement(
                    f'{at}: "{place.text()}": nothing says which; begin with "for every {place.reference[5:]},"'
                )
            if isinstance(claim, s.Share) and (
                statement.traffic is None or (statement.traffic.count or 1) < 20
            ):
                raise BadStatement(f'{at}: "{claim.text()}": a share is of many; say 20 turns at least')

    def contradictions(self, sets: Sets) -> list[tuple[str, str, str]]:
        """Pairs of statements that can't both hold: names, and the claims that clash."""
        groups: dict[object, list[s.Statement]] = {}
        for name in self.statements:
            plan = self.plan(name)
            asking = plan.statement.traffic
            key = None if asking is None else (plan.circumstances, replace(asking, products=()))
            groups.setdefault(key, []).append(plan.statement)
        found = []
        for group in groups.values():
            for number, one in enumerate(group):
                for other in group[number:]:
                    said = self._clash(one, other, sets)
                    if said is not None:
                        found.append((one.name, other.name, said))
        return found

    @staticmethod
    def _clash(one: s.Statement, other: s.Statement, sets: Sets) -> str | None:
        if one.traffic is not None and other.traffic is not None:
            ours, theirs = set(one.traffic.products), set(other.traffic.products)
            if ours and theirs and not ours & theirs:
                return None
        for number, mine in enumerate(one.expectations):
            for yours in other.expectations[number + 1 :] if one is other else other.expectations:
                if (mine.every, mine.of) == (yours.every, yours.of) and (
                    clash(mine.claim, yours.claim, sets) or clash(yours.claim, mine.claim, sets)
                ):
                    return f'"{mine.text()}" and "{yours.text()}"'
        return None


def clash(one: s.Claim, other: s.Claim, sets: Sets) -> bool:
    """Whether no generation can do both, as far as that shows without playing it. Ask both ways round."""
    if isinstance(one, s.Ended) and isinstance(other, s.Ended):
        return one.expected and (
            (other.expected and one.how != other.how) or (not other.expected and one.how == other.how)
        )
    if isinstance(one, s.Ended) and isinstance(other, s.Goes):
        return one.expected and one.how == "throttled" and not other.never and other.phase == "written"
    if isinstance(one, s.Goes) and isinstance(other, s.Goes) and not one.never:
        if isinstance(one.place, s.Where) and isinstance(other.place, s.Where):
            ours, theirs = sets.select(one.place, ""), sets.select(other.place, "")
            if other.never:
                return ours <= theirs
            roles = {server.name: server.role for server in sets.of.fleet}
            alike = one.phase == other.phase and (
                one.phase != "any" or {roles[name] for name in ours} & {roles[name] for name in theirs}
            )
            return bool(alike) and not ours & theirs
        return other.never and one.place == other.place
    if isinstance(one, s.LegCount) and isinstance(other, s.LegCount):
        return other.exactly and (other.count != one.count if one.exactly else other.count > one.count)
    if isinstance(one, s.LegCount) and isinstance(other, s.Resent):
        return other.expected and one.count < 2
    if isinstance(one, s.Resent) and isinstance(other, s.Resent):
        return one.expected != other.expected
    if isinstance(one, s.Share) and isinstance(other, s.Share):
        return (
            one.phase == other.phase
            and one.target == other.target
            and (one.high < other.low or other.high < one.low)
        )
    if isinstance(one, s.SettingClaim) and isinstance(other, s.SettingClaim):
        return one.path == other.path and one.value != other.value
    return False
