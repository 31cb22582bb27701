"""`min_tokens`, `max_tokens` and its bounds: counted in tokens, so rescaled by the measured ratio."""

from typing import Any

from stackpitch.duties.vocabulary.verdicts.case import Case
from stackpitch.duties.vocabulary.verdicts.words import FieldVerdict, Finding, kept, lost

MOST = 1_000_000  # that a request may ask for


def judge(case: Case) -> list[FieldVerdict]:
    given, ratio = case.given, case.ratio
    found: list[FieldVerdict] = []
    least, most = given.min_tokens, given.max_tokens
    if most is not None:
        found.append(_scaled(case, "max_tokens", most, ratio.scaled(most)))
    if given.max_tokens_bounds is not None:
        bounds = given.max_tokens_bounds
        before = {"least": bounds.least, "most": bounds.most}
        after = {"least": min(MOST, ratio.scaled(bounds.least)), "most": min(MOST, ratio.scaled(bounds.most))}
        word, reason = ("rescaled", ratio.text()) if after != before else ("same", ratio.text())
        found.append(kept("max_tokens_bounds", word, reason, after))  # type: ignore[arg-type]
    if least is not None:
        found.append(_least(case, least))
    return found


def _scaled(case: Case, field: str, before: int, after: int) -> FieldVerdict:
    if after > MOST:
        wrong = Finding(
            "out of range",
            str(before),
            f"{before} tokens of {case.pair.old.name}",
            f"{after} tokens for the same text",
            f"{case.ratio.text()}; at most {MOST} are allowed",
            "ask for less",
        )
        return lost(field, [wrong])
    told: Any = after
    return kept(
        field, "rescaled" if after != before else "same", f"{before} to {after}: {case.ratio.text()}", told
    )


def _least(case: Case, least: int) -> FieldVerdict:
    """Engines keep back the end tokens they know of, and those of `stop_token_ids`, until so many tokens are written."""
    pair, given = case.pair, case.given
    after = case.ratio.scaled(least)
    if not least:
        return kept("min_tokens", "same", "off", 0)
    contents = {pair.old.pieces[one] for one in pair.old.ends}
    named = {
        there for one in given.stop_token_ids or [] if (fate := pair.fate(one)).exact for there in fate.into
    }
    strangers = [
        one for one in sorted(pair.new.ends) if pair.new.pieces[one] not in contents and one not in named
    ]
    meant = f"at least {least} tokens before the end"
    if strangers:
        return lost(
            "min_tokens",
            [
                Finding(
                    "without effect",
                    str(least),
                    meant,
                    f"an answer that {pair.new.says(strangers[0])} may end at once",
                    f"{pair.new.name} ends with id {strangers[0]}, which is not kept back by what the profile names",
                    f"name id {strangers[0]} in stop_token_ids of a profile for {pair.new.name}",
                )
            ],
        )
    may = {
        there
        for one in given.allowed_token_ids or []
        if (fate := pair.fate(one)).exact
        for there in fate.into
    }
    if given.allowed_token_ids is not None and may and may <= pair.new.ends | named:
        was = set(given.allowed_token_ids) <= pair.old.ends | set(given.stop_token_ids or [])
        if not was:
            return lost(
                "min_tokens",
                [
                    Finding(
                        "contradictory",
                        str(least),
                        meant,
                        "no token that may be written before the end",
                        "allowed_token_ids leaves end tokens only",
                        "allow others, or take it out",
                    )
                ],
            )
    return _scaled(case, "min_tokens", least, after)
