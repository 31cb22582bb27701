"""What judging 1,000 profiles over a vocabulary of 128,000 costs, and what each generation costs with and without token ids.

python -m benchmarks.vocabulary
"""

import json
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from stackpitch.duties.calls import Stamp
from stackpitch.duties.vocabulary import catalogue
from stackpitch.duties.vocabulary.acting import Acting, Asked, Known, Seen, Told, asked
from stackpitch.duties.vocabulary.catalogue.form import LETTERS
from stackpitch.duties.vocabulary.change import Change, Summary
from stackpitch.duties.vocabulary.profiles import Profiles
from stackpitch.duties.vocabulary.verdicts import Judge, Pair, Verdicts, measured
from stackpitch.duties.vocabulary.verdicts.pair import Run

SIZE, COMMON, PROFILES = 128_000, 100_000, 1_000


def grown(seed: int) -> list[tuple[str, str]]:
    """Merges that make a vocabulary of so many; the first ones are the same for all seeds."""
    first, other, merges, tokens, known = (
        random.Random(1),
        random.Random(seed),
        [],
        list(LETTERS),
        set(LETTERS),
    )
    common = [token for token in tokens if token.isascii() and token.isalpha()] + ["\u0120"]
    while len(tokens) < SIZE - 1:
        chance = first if len(tokens) < COMMON else other
        left, right = chance.choice(common), chance.choice(common[:1000])
        if len(left + right) <= 16 and left + right not in known and "\u0120" not in right:
            merges.append((left, right))
            for made in (tokens, common):
                made.append(left + right)
            known.add(left + right)
    return merges


def written(seed: int) -> bytes:
    """As tokenizer.json has it; the second one has its end token last, and a tenth of its ids elsewhere."""
    merges = grown(seed)
    tokens = ["</s>", *LETTERS, *map("".join, merges)]
    if seed != 2:
        tokens = [*tokens[1:], tokens[0]]
        some = random.Random(seed).sample(range(SIZE), SIZE // 10)
        for one, other in zip(some[::2], some[1::2]):
            tokens[one], tokens[other] = tokens[other], tokens[one]
    numbers = {token: number for number, token in enumerate(tokens)}
    end = numbers.pop("</s>")
    return json.dumps(
        {
            "version": "1.0",
            "added_tokens": [
                {
                    "id": end,
                    "content": "</s>",
                    "special": True,
                    "single_word": False,
                    "lstrip": False,
                    "rstrip": False,
                    "normalized": False,
                }
            ],
            "pre_tokenizer": {
                "type": "ByteLevel",
                "add_prefix_space": False,
                "trim_offsets": True,
                "use_regex": True,
            },
            "decoder": {
                "type": "ByteLevel",
                "add_prefix_space": True,
                "trim_offsets": True,
                "use_regex": True,
            },
            "model": {"type": "BPE", "vocab": numbers, "merges": merges},
        }
    ).encode()


def profiles(exact: list[int], words: list[int]) -> Profiles:
    """50 biased ids each, 10 of them bans, 10 banned words of 1 to 3 tokens, a stop; a fifth with 500 allowed ids. Half of
    them hold ids at random, the others `exact` ones, and bans of `words` that no new token holds."""
    chance, found = random.Random(3), {}
    for number in range(PROFILES):
        known, banned = (exact, words) if number % 2 else (range(1, SIZE), range(1, SIZE))
        ids = chance.sample(banned, 10) + chance.sample(known, 40)
        given: dict[str, Any] = {
            "logit_bias": {str(one): -100.0 if place < 10 else 1.5 for place, one in enumerate(ids[:50])},
            "stop_token_ids": [0],
            "bad_words_ids": [chance.sample(banned, 1 + place % 3) for place in range(10)],
            "stop": ["\n\n"],
            "top_k": 40,
            "top_p": 0.9,
            "min_tokens": 5,
            "max_tokens": 800,
        }
        if number % 5 == 0:
            given["allowed_token_ids"] = [0, *chance.sample(known, 500)]
        found[f"p{number}"] = {"product": "chat", "parameters": given}
    return Profiles.model_validate({"vocabulary": "old", "profiles": found})


def timed(call: Callable[[], Any]) -> tuple[Any, float]:
    begun = time.perf_counter()
    found = call()
    return found, time.perf_counter() - begun


def judging() -> Verdicts:
    old, new = written(2), written(4)
    table = Table(title=f"{PROFILES:,} profiles over {SIZE:,} tokens", title_justify="left")
    for column in ("step", "seconds"):
        table.add_column(column, justify="right")
    before, seconds = timed(lambda: catalogue.vocabulary(old, "old", "old"))
    table.add_row(f"one vocabulary read, {len(old) / 2**20:.1f} MiB", f"{seconds:.2f}")
    after = catalogue.vocabulary(new, "new", "new")
    pair = Pair(before, after)
    _, seconds = timed(lambda: (pair.table, pair.fresh, pair.runs))
    table.add_row(
        f"the table of ids, {len(pair.runs)} runs, {len(pair.fresh.ids)} new tokens", f"{seconds:.2f}"
    )
    texts = [
        before.text(tuple(range(at, at + 300))).decode("utf-8", "replace") for at in range(1000, 60_000, 1000)
    ]
    ratio, seconds = timed(lambda: measured(before, after, texts))
    table.add_row(f"ratio over {ratio.old} tokens", f"{seconds:.2f}")
    exact = [number for number, there in enumerate(pair.table) if there >= 0 and number]
    words = [
        one
        for one in exact
        if len(before.pieces[one] or b"") > 8 and not pair.fresh.holding(before.text((one,)).strip())
    ]
    judge = Judge(pair, ratio, profiles(exact, words[:2000]), {"old": before.digest})
    found, longest = [], 0.0
    steps, begun = judge.steps(), time.perf_counter()
    while (one := timed(lambda: next(steps, None)))[0] is not None:
        found.append(one[0])
        longest = max(longest, one[1])
    table.add_row("judged", f"{time.perf_counter() - begun:.2f}")
    table.add_row("longest step", f"{longest:.4f}")
    verdicts, seconds = timed(lambda: judge.done(found))
    raw, more = timed(verdicts.encoded)
    table.add_row(
        f"encoded, {len(raw) / 2**20:.2f} MiB, {sum(one.lost for one in found)} lost", f"{seconds + more:.2f}"
    )
    Console(width=110).print(table)
    return verdicts


def acting(verdicts: Verdicts) -> None:
    """What comes on top of a generation; best of five."""
    digests = verdicts.digests
    known = Known()
    change = Change(
        1, "mixed", digests.old, digests.new, digests.profiles, Summary(verdicts.digest(), PROFILES, 0, 0.0)
    )
    assert known.take(Told(Stamp(1), change, verdicts))
    one = Acting(known)
    one.seen = Seen({digests.old: "old", digests.new: "new"}, digests.profiles)
    one.listed({"w1": digests.old, "w2": digests.new})
    plain = {
        name: msgspec.Raw(b'"x"')
        for name in ("model", "messages", "stream", "max_tokens", "temperature", "user")
    }
    if not verdicts.runs:  # too many to go with these verdicts: as many as may
        verdicts = msgspec.structs.replace(
            verdicts, runs=tuple(Run(10 * number, 9, number) for number in range(8_000))
        )
    some = plain | {
        "stop_token_ids": msgspec.Raw(json.dumps([run.begin for run in verdicts.runs[:3]]).encode())
    }
    bias = plain | {
        "logit_bias": msgspec.Raw(json.dumps({str(run.begin): 1.5 for run in verdicts.runs[:50]}).encode())
    }
    good = next((found.name for found in verdicts.profiles if not found.lost), None)
    table = Table(title="One generation, microseconds (best of five)", title_justify="left")
    for column in ("generation", "microseconds"):
        table.add_column(column, justify="right")
    for name, fields, profile in (
        ("without token ids", plain, None),
        ("3 stop ids", some, None),
        ("50 biased ids", bias, None),
        ("3 stop ids and a profile", some, good),
    ):
        call = partial(
            lambda fields, profile: one.decide(Asked(asked(fields), digests.old, profile)), fields, profile
        )
        table.add_row(name, f"{best(call):.2f}")
    Console(width=110).print(table)


def best(call: Callable[[], Any], rounds: int = 20_000) -> float:
    return min(timed(lambda: [call() for _ in range(rounds)])[1] for _ in range(5)) / rounds * 1e6


def main() -> None:
    acting(judging())


if __name__ == "__main__":
    main()
