"""What a day's schema can't see."""

from stackpitch.rehearse.day import (
    ENGINE_TROUBLES,
    GATEWAY_TROUBLES,
    NETWORK_TROUBLES,
    TRAFFIC_TROUBLES,
    VOCABULARY_TROUBLES,
    VOTER_TROUBLES,
    WEIGHTS_TROUBLES,
    Day,
    Trouble,
)
from stackpitch.rehearse.director.troubles.struck import OWNER, RECEIVER


def check(day: Day) -> None:
    """Raises ValueError on what the schema can't see."""
    for name in day.traffic:
        if name not in day.products:
            raise ValueError(f"traffic.{name}: no such product; allowed: {', '.join(day.products)}")
    for number, group in enumerate(day.fleet):
        if group.kind not in day.kinds:
            raise ValueError(f"fleet.{number}.kind: found {group.kind!r}; allowed: {', '.join(day.kinds)}")
    for number, trouble in enumerate(day.troubles):
        if trouble.kind not in (
            *ENGINE_TROUBLES,
            *GATEWAY_TROUBLES,
            *VOTER_TROUBLES,
            *NETWORK_TROUBLES,
            *TRAFFIC_TROUBLES,
            *WEIGHTS_TROUBLES,
            *VOCABULARY_TROUBLES,
            "edits",
        ):
            raise ValueError(f"troubles.{number}.kind: found {trouble.kind!r}")
        among_gateways(day, f"troubles.{number}", trouble)
    check_weights(day)
    check_vocabulary(day)
    duties = day.duties
    if duties.voters and max(duties.voters) >= day.gateways:
        raise ValueError(
            f"duties.voters: found {duties.voters}; allowed: numbers under gateways ({day.gateways})"
        )
    if len(duties.voters) == 1:
        raise ValueError(
            f"duties.voters: found {duties.voters}; allowed: at least two in a day, as owners are judged by the "
            "network, on which a gateway's vote for itself does not pass"
        )


def among_gateways(day: Day, where: str, trouble: Trouble) -> None:
    if trouble.kind not in (*GATEWAY_TROUBLES, *VOTER_TROUBLES, *NETWORK_TROUBLES, *WEIGHTS_TROUBLES):
        return
    voters = [f"g{number}" for number in day.duties.voters]
    if not voters and trouble.kind not in GATEWAY_TROUBLES:
        raise ValueError(f"{where}.kind: found {trouble.kind!r}; allowed where the day has duties.voters")
    allowed = [f"g{number}" for number in range(day.gateways)]
    sites = list(day.weights.sites) if day.weights is not None else []
    if trouble.kind == "disk-full":
        allowed = sites
    allowed += [f"{RECEIVER}.{site}" for site in sites if trouble.kind in GATEWAY_TROUBLES]
    owners = [OWNER, *(f"{OWNER}.{name}" for name in day.duties.names)] if voters else []
    if trouble.kind in WEIGHTS_TROUBLES:
        owners = []
        if day.weights is None:
            raise ValueError(f"{where}.kind: found {trouble.kind!r}; allowed where the day has weights")
    if trouble.kind in VOTER_TROUBLES:
        allowed, owners = voters, []
        if len(trouble.names) < 1 + (trouble.kind == "voter-twin"):
            raise ValueError(
                f"{where}.names: found {len(trouble.names)}; {trouble.kind} wants voters' names: "
                f"{'whose file, and who is given it too' if trouble.kind == 'voter-twin' else 'at least one'}"
            )
    for name in (*trouble.names, *(one for pair in trouble.pairs for one in pair)):
        if name not in allowed + owners:
            raise ValueError(f"{where}.names: found {name!r}; allowed: {', '.join(allowed + owners)}")


def check_vocabulary(day: Day) -> None:
    told = day.vocabulary
    for number, trouble in enumerate(day.troubles):
        if trouble.kind in VOCABULARY_TROUBLES and told is None:
            raise ValueError(
                f"troubles.{number}.kind: found {trouble.kind!r}; allowed where the day has vocabulary"
            )
    if told is None:
        return
    if "vocabulary" not in day.duties.names or not day.duties.voters:
        raise ValueError(
            "vocabulary: found without its duty; allowed: with duties.voters and vocabulary among duties.names"
        )
    for name in told.new_products:
        if name not in day.products:
            raise ValueError(f"vocabulary.new_products: found {name!r}; allowed: {', '.join(day.products)}")


def check_weights(day: Day) -> None:
    """What goes into the wanted file is checked by its own schema once it is made."""
    weights = day.weights
    if weights is None:
        return
    if "weights" not in day.duties.names or not day.duties.voters:
        raise ValueError(
            "weights: found without its duty; allowed: with duties.voters and weights among duties.names"
        )
    for name, site in weights.sites.items():
        if max(site.gateways) >= day.gateways:
            raise ValueError(
                f"weights.sites.{name}.gateways: found {site.gateways}; allowed: numbers under gateways "
                f"({day.gateways})"
            )
    for name, model in weights.models.items():
        if model.vocabulary is not None and day.vocabulary is None:
            raise ValueError(
                f"weights.models.{name}.vocabulary: found {model.vocabulary!r}; allowed where the day has "
                "vocabulary"
            )
    groups = [("links", name, link.sites) for name, link in weights.links.items()]
    groups += [("models", name, model.sites) for name, model in weights.models.items()]
    for kind, name, sites in groups:
        for one in sites:
            if one not in weights.sites:
                raise ValueError(
                    f"weights.{kind}.{name}.sites: found {one!r}; allowed: {', '.join(weights.sites)}"
                )
    for number, edit in enumerate(weights.edits):
        if edit.link not in weights.links:
            raise ValueError(
                f"weights.edits.{number}.link: found {edit.link!r}; allowed: {', '.join(weights.links)}"
            )
