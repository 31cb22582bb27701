"""What led to a breach."""

from stackpitch.rehearse.rules.seen import Seen


def story(day: Seen, key: str) -> list[str]:
    """All that clients and engines saw of one generation, in order; of an engine that fell, what came just before."""
    seen = list(day.by_key.get(key, ()))
    for fall in [one for one in day.fell if one["who"] == key]:
        seen = [
            one for one in day.records if one["who"] == key and fall["at"] - 20_000 <= one["at"] <= fall["at"]
        ]
    states = {one["state"] for one in seen if "state" in one}
    if states:
        seen += [one for one in day.records if one["what"] in ("held", "freed") and one["state"] in states]
    seen.sort(key=lambda one: one["at"])
    begin = seen[0]["at"] if seen else 0
    skip = ("at", "who", "what", *(("key",) if seen and key in day.by_key else ()))
    return [
        f"{(one['at'] - begin) / 10:9.1f} ms  {one['who']:8} {one['what']:9} "
        + " ".join(
            f"{name}={value}" for name, value in one.items() if name not in skip and value not in (None, "")
        )
        for one in seen
    ]
