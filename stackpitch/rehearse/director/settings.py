"""What the processes of a day are told at their start."""

from typing import Any

from stackpitch.rehearse.day import TRAFFIC_TROUBLES
from stackpitch.rehearse.director.places import HOST, Net, Post, Seat, Source
from stackpitch.rehearse.director.stage import Stage

WANTED = "wanted.json"


def site_folder(site: str) -> str:
    return f"site-{site}"


def engine(stage: Stage, seat: Seat) -> dict[str, Any]:
    day, made = stage.day, seat.made_of
    spoken = stage.vocabularies
    return {
        "name": seat.name,
        "port": seat.port,
        "control_port": seat.control,
        "seed": day.seed,
        "records": str(stage.folder / f"{seat.name}.jsonl"),
        "role": made.role,
        "cell": seat.cell,
        "memory_tok": made.memory_tok,
        "reports": day.reports,
        "local_reads": day.module.local_reads,
        "born_cold": seat.cold,
        "cold_from": day.module.cold_from,
        "warm_up_ms": day.module.warm_up_ms,
        "fall_multiple": day.module.fall_multiple,
        "fall_ms": day.rules.fall_ms,
        **{
            name: getattr(made, name)
            for name in (
                "slots",
                "queue",
                "kept_tok",
                "chunk",
                "step_ms",
                "per_seq_ms",
                "read_per_s",
                "near_per_s",
                "far_per_s",
            )
        },
        **(
            {"vocabulary": spoken.digests[seat.vocabulary], "tokenizer": spoken.files[seat.vocabulary]}
            if spoken
            else {}
        ),
    }


def gateway(stage: Stage, post: Post) -> dict[str, Any]:
    day = stage.day
    kinds = {name: {"role": one.role, "memory_tok": one.memory_tok} for name, one in day.kinds.items()}
    module = day.module.model_dump() | {
        "gateways": day.gateways,
        "number": post.number,
        "zone": day.module.zone or day.fleet[0].zone,
    }
    weights = stage.day.weights
    if weights is not None:
        module["zone"] = next(
            (name for name, one in weights.sites.items() if post.number in one.gateways), module["zone"]
        )
    found: dict[str, Any] = {
        "name": post.name,
        "seed": day.seed * 1000 + post.number,
        "roster": str(stage.folder / f"{post.name}.fleet"),
        "kept": str(stage.folder / f"{post.name}.kept"),
        "membership": day.membership.model_dump(),
        "door": {"port": post.port, "bytes_per_tok": day.bytes_per_tok},
        "admin": {"port": post.admin},
        "engines": day.engines.model_dump(),
        "module": module,
        "products": {name: one.model_dump() for name, one in day.products.items()},
        "customers": {name: one.model_dump() | {"keys": [name]} for name, one in day.customers.items()},
        "kinds": kinds,
        "load": day.load.model_dump(),
        "stop": {"finish_ms": 5000.0},
    }
    if stage.net is not None:
        found["duties"] = day.duties.model_dump() | {"file": post.votes}
        if stage.vocabularies is not None:
            found["duties"]["vocabulary"] = {
                "vocabularies": stage.vocabularies.listing,
                "profiles": stage.vocabularies.profiles,
                "most_share": stage.vocabularies.set.limit,
            }
        if weights is not None:
            found["duties"]["weights"] = {
                "wanted": str(stage.folder / WANTED),
                "folder": str(stage.folder / site_folder(module["zone"])),
            }
        found["peers"] = {
            "admin": [
                f"{HOST}:{stage.net.links.get((post.number, one.number), one.admin)}"
                for one in stage.posts.values()
            ]
        }
    return found


def network(stage: Stage, net: Net) -> dict[str, Any]:
    admin = {one.number: one.admin for one in stage.posts.values()}
    return {
        "port": net.port,
        "records": str(stage.folder / "network.jsonl"),
        "seed": stage.day.seed,
        "links": [
            {"sender": sender, "to": to, "port": port, "target": (HOST, admin[to])}
            for (sender, to), port in net.links.items()
        ],
    }


def origin(stage: Stage, place: Source) -> dict[str, Any]:
    return {
        "port": place.port,
        "control_port": place.control,
        "records": str(stage.folder / "origin.jsonl"),
        "seed": stage.day.seed,
        "files": place.files,
    }


def clients(stage: Stage) -> dict[str, Any]:
    day, spoken = stage.day, stage.vocabularies
    speaking = (
        {}
        if spoken is None
        else {
            "speaking": {
                "files": spoken.files,
                "default": "old",
                "products": dict.fromkeys(spoken.set.new_products, "new"),
                "share": spoken.set.share,
                "named": spoken.set.named,
                "lost": spoken.set.lost,
                "profiled": spoken.set.profiled,
                "profiles": spoken.lasting,
            }
        }
    )
    return {
        **speaking,
        "records": str(stage.folder / "clients.jsonl"),
        "seed": day.seed,
        "start": stage.start,
        "length_s": day.length_s,
        "gateways": {one.name: (HOST, one.port) for one in stage.posts.values()},
        "products": [
            {
                "name": name,
                "effect": one.effect,
                "scope": one.scope,
                "slo_ms": one.slo_ms,
                "slo_ms_per_ktok": one.slo_ms_per_ktok,
                "time_limit_ms": one.time_limit_ms,
                **day.traffic[name].model_dump(),
            }
            for name, one in day.products.items()
            if name in day.traffic
        ],
        "customers": {name: one.share for name, one in day.customers.items()},
        **day.clients.model_dump(),
        "surges": [
            {
                "kind": one.kind,
                "at_s": one.at_s,
                "for_s": one.for_s,
                "part": one.part,
                "strength": one.strength,
            }
            for one in day.troubles
            if one.kind in TRAFFIC_TROUBLES
        ],
    }
