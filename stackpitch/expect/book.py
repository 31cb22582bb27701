"""The statements of all files: resolves names, expands situations and finds contradictions. Pure."""

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass, replace

from stackpitch.expect import syntax as s
from stackpitch.expect.deployment import Deployment, ServerSets, list_names
from stackpitch.expect.parse import BadStatement


@dataclass(frozen=True, slots=True)
class Plan:
    """A statement with its situations expanded to circumstances."""

    statement: s.Statement
    file: str
    circumstances: tuple[s.Circumstance, ...]  # without `Given`

    @property
    def location(self) -> str:
        """File and line of the statement, for messages."""
        return f"{self.file}:{self.statement.line}"


class Book:
    """The definitions, situations and statements of all files, by name.

    Raises BadStatement on a name that is used twice.
    """

    def __init__(self, pages: Iterable[s.StatementFile]) -> None:
        self.definitions: dict[str, s.Definition] = {}
        self.situations: dict[str, s.Situation] = {}
        self.statements: dict[str, tuple[str, s.Statement]] = {}  # file and statement
        for page in pages:
            for item in page.items:
                names_in_use: Container[str] = self.statements
                if isinstance(item, s.Definition):
                    names_in_use = self.definitions
                elif isinstance(item, s.Situation):
                    names_in_use = self.situations
                if item.name in names_in_use:
                    raise BadStatement(
                        f'{page.file}:{item.line}: "{item.name}" is already defined in another file'
                    )
                if isinstance(item, s.Definition):
                    self.definitions[item.name] = item
                elif isinstance(item, s.Situation):
                    self.situations[item.name] = item
                else:
                    self.statements[item.name] = page.file, item

    def plan(self, name: str) -> Plan:
        """Expands the situations of a statement. Raises BadStatement if one is unknown or recursive."""
        file, statement = self.statements[name]
        return Plan(
            statement, file, tuple(self._flatten(statement.circumstances, f"{file}:{statement.line}", ()))
        )

    def _flatten(
        self, circumstances: Iterable[s.Circumstance], location: str, open_situations: tuple[str, ...]
    ) -> Iterator[s.Circumstance]:
        for circumstance in circumstances:
            if not isinstance(circumstance, s.Given):
                yield circumstance
                continue
            if circumstance.name not in self.situations:
                raise BadStatement(
                    f'{location}: no situation "{circumstance.name}"; there are: {list_names(self.situations)}'
                )
            if circumstance.name in open_situations or len(open_situations) > 20:
                raise BadStatement(f'{location}: situation "{circumstance.name}" leads back to itself')
            yield from self._flatten(
                self.situations[circumstance.name].circumstances,
                location,
                (*open_situations, circumstance.name),
            )

    def check(self, plan: Plan, deployment: Deployment, sets: ServerSets) -> None:
        """Raises BadStatement if the statement can't apply to the configuration."""
        location, statement = plan.location, plan.statement
        askings = [
            circumstance.traffic
            for circumstance in plan.circumstances
            if isinstance(circumstance, s.EarlierTraffic)
        ]
        askings += [statement.traffic] if statement.traffic is not None else []
        for asking in askings:
            for product in asking.products:
                if product not in deployment.products:
                    raise BadStatement(
                        f'{location}: no product "{product}" in this configuration; there are: '
                        f"{list_names(deployment.products)}"
                    )
            for customer in asking.customers or ():
                if customer not in deployment.customers:
                    raise BadStatement(
                        f'{location}: no customer "{customer}" in this configuration; there are: '
                        f"{list_names(deployment.customers)}"
                    )
            if asking.customers == () and not deployment.customers:
                raise BadStatement(f"{location}: every customer: this configuration has none")
        for circumstance in plan.circumstances:
            if isinstance(circumstance, s.ServerCondition | s.Deploy):
                names = sets.select(circumstance.where, location)
                if (
                    isinstance(circumstance, s.ServerCondition)
                    and circumstance.amount.how in ("some", "all but")
                    and circumstance.amount.number > len(names)
                ):
                    raise BadStatement(
                        f'{location}: "{circumstance.where.text()}" means {len(names)} servers, not '
                        f"{circumstance.amount.number:g}"
                    )
        for then in statement.expectations:
            claim = then.claim
            if then.of is not None:
                sets.select(then.of, location)
            place = (
                claim.place
                if isinstance(claim, s.Goes)
                else claim.target
                if isinstance(claim, s.Share)
                else None
            )
            if isinstance(place, s.Where):
                sets.select(place, location)
            if (
                isinstance(place, s.DynamicPlace)
                and place.reference.startswith("that ")
                and place.reference != f"that {then.every}"
            ):
                raise BadStatement(
                    f'{location}: "{place.text()}": nothing says which; begin with "for every {place.reference[5:]},"'
                )
            if isinstance(claim, s.Share) and (
                statement.traffic is None or (statement.traffic.count or 1) < 20
            ):
                raise BadStatement(f'{location}: "{claim.text()}": a share is of many; say 20 turns at least')

    def contradictions(self, sets: ServerSets) -> list[tuple[str, str, str]]:
        """Pairs of statements that can't both hold: their names, and the two claims that contradict.

        A statement is also compared with itself. Only statements with equal circumstances and equal requests,
        but for the products, are compared.
        """
        groups: dict[object, list[s.Statement]] = {}
        for name in self.statements:
            plan = self.plan(name)
            asking = plan.statement.traffic
            key = None if asking is None else (plan.circumstances, replace(asking, products=()))
            groups.setdefault(key, []).append(plan.statement)
        contradictions = []
        for group in groups.values():
            for index, statement in enumerate(group):
                for other in group[index:]:
                    clash_text = self._find_clash(statement, other, sets)
                    if clash_text is not None:
                        contradictions.append((statement.name, other.name, clash_text))
        return contradictions

    @staticmethod
    def _find_clash(statement: s.Statement, other: s.Statement, sets: ServerSets) -> str | None:
        if statement.traffic is not None and other.traffic is not None:
            products, other_products = set(statement.traffic.products), set(other.traffic.products)
            if products and other_products and not products & other_products:
                return None
        for index, then in enumerate(statement.expectations):
            for other_then in other.expectations[index + 1 :] if statement is other else other.expectations:
                if (then.every, then.of) == (other_then.every, other_then.of) and (
                    claims_clash(then.claim, other_then.claim, sets)
                    or claims_clash(other_then.claim, then.claim, sets)
                ):
                    return f'"{then.text()}" and "{other_then.text()}"'
        return None


def claims_clash(claim: s.Claim, other: s.Claim, sets: ServerSets) -> bool:
    """Whether no generation can satisfy both claims, as far as that can be told without playing it.

    Not symmetric: call it with the claims in both orders.
    """
    if isinstance(claim, s.Ended) and isinstance(other, s.Ended):
        return claim.expected and (
            (other.expected and claim.how != other.how) or (not other.expected and claim.how == other.how)
        )
    if isinstance(claim, s.Ended) and isinstance(other, s.Goes):
        return claim.expected and claim.how == "throttled" and not other.never and other.phase == "written"
    if isinstance(claim, s.Goes) and isinstance(other, s.Goes) and not claim.never:
        if isinstance(claim.place, s.Where) and isinstance(other.place, s.Where):
            names, other_names = sets.select(claim.place, ""), sets.select(other.place, "")
            if other.never:
                return names <= other_names
            roles = {server.name: server.role for server in sets.deployment.fleet}
            comparable = claim.phase == other.phase and (
                claim.phase != "any"
                or {roles[name] for name in names} & {roles[name] for name in other_names}
            )
            return bool(comparable) and not names & other_names
        return other.never and claim.place == other.place
    if isinstance(claim, s.LegCount) and isinstance(other, s.LegCount):
        return other.exactly and (other.count != claim.count if claim.exactly else other.count > claim.count)
    if isinstance(claim, s.LegCount) and isinstance(other, s.Resent):
        return other.expected and claim.count < 2
    if isinstance(claim, s.Resent) and isinstance(other, s.Resent):
        return claim.expected != other.expected
    if isinstance(claim, s.Share) and isinstance(other, s.Share):
        return (
            claim.phase == other.phase
            and claim.target == other.target
            and (claim.high < other.low or other.high < claim.low)
        )
    if isinstance(claim, s.SettingClaim) and isinstance(other, s.SettingClaim):
        return claim.path == other.path and claim.value != other.value
    return False
