"""Which gateways a trouble strikes."""

import msgspec

from stackpitch.loop import Coro
from stackpitch.rehearse.day import Trouble
from stackpitch.rehearse.director.calls import call
from stackpitch.rehearse.director.places import HOST, Post
from stackpitch.rehearse.director.stage import Stage

OWNER, RECEIVER = "owner", "receiver"


def gateways(stage: Stage, trouble: Trouble) -> Coro[list[Post]]:
    """Those named, or a part of all by chance. An owner that the network has not seen yet is g0."""
    posts = list(stage.posts.values())
    if not trouble.names:
        return stage.random.sample(posts, max(1, min(len(posts), round(trouble.part * len(posts)))))
    found: dict[str, Post] = {}
    for name in trouble.names:
        if name.partition(".")[0] == OWNER:
            name = yield from owner(stage, name.partition(".")[2] or stage.day.duties.names[0])
        elif name.partition(".")[0] == RECEIVER:
            name = receiver(stage, name.partition(".")[2])
        found[name] = stage.posts[name]
    return list(found.values())


def owner(stage: Stage, duty: str) -> Coro[str]:
    assert stage.net is not None
    answer = yield from call(stage.world, (HOST, stage.net.port), "/owner", b"")
    known = (
        msgspec.json.decode(b"".join(answer.pieces)) if answer is not None and answer.status == 200 else {}
    )
    return f"g{known.get(duty, 0)}"


def receiver(stage: Stage, site: str) -> str:
    """The first of its gateways that runs, as the owner takes them too."""
    assert stage.day.weights is not None
    names = [f"g{number}" for number in stage.day.weights.sites[site].gateways]
    running = [
        name for name in names if (child := stage.posts[name].child) is not None and child.code() is None
    ]
    return (running or names)[0]
