"""What judging 1,000 profiles over a vocabulary of 128,000 costs, and what each generation costs with and without token ids.

    python -m benchmarks.vocabulary
"""

import json
import random
import time
from collections.abc import Callable
from typing import Any

from rich.console import Console
from rich.table import Table

from stackpitch.duties.vocabulary import catalogue
from stackpitch.duties.vocabulary.catalogue.form import LETTERS
from stackpitch.duties.vocabulary.profiles import Profiles
from stackpitch.duties.vocabulary.verdicts import Judge, Pair, measured

SIZE, COMMON, PROFILES = 128_000, 100_000, 1_000


def grown(seed: int) -> list[tuple[str, str]]:
    """Merges that make a vocabulary of so many; the first ones are the same for all seeds."""
    first, other, merges, tokens, known = random.Random(1), random.Random(seed), [], list(LETTERS), set(LETTERS)
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
    return json.dumps({
        "version": "1.0", "added_tokens": [{"id": end, "content": "</s>", "special": True, "single_word": False,
                                            "lstrip": False, "rstrip": False, "normalized": False}],
        "pre_tokenizer": {"type": "ByteLevel", "add_prefix_space": False, "trim_offsets": True, "use_regex": True},
        "decoder": {"type": "ByteLevel", "add_prefix_space": True, "trim_offsets": True, "use_regex": True},
        "model": {"type": "BPE", "vocab": numbers, "merges": merges}}).encode()


def profiles() -> Profiles:
    """50 biased ids each, 10 of them bans, 10 banned words of 1 to 3 tokens, a stop; a fifth with 500 allowed ids."""
    chance, found = random.Random(3), {}
    for number in range(PROFILES):
        ids = [chance.randrange(1, SIZE) for _ in range(60)]
        given: dict[str, Any] = {
            "logit_bias": {str(one): -100.0 if place < 10 else 1.5 for place, one in enumerate(ids[:50])},
            "stop_token_ids": [0],
            "bad_words_ids": [[chance.randrange(1, SIZE) for _ in range(1 + place % 3)] for place in range(10)],
            "stop": ["\n\n"], "top_k": 40, "top_p": 0.9, "min_tokens": 5, "max_tokens": 800}
        if number % 5 == 0:
            given["allowed_token_ids"] = [chance.randrange(SIZE) for _ in range(500)]
        found[f"p{number}"] = {"product": "chat", "parameters": given}
    return Profiles.model_validate({"vocabulary": "old", "profiles": found})


def timed(call: Callable[[], Any]) -> tuple[Any, float]:
    begun = time.perf_counter()
    found = call()
    return found, time.perf_counter() - begun


def judging() -> Any:
    old, new = written(2), written(4)
    table = Table(title=f"{PROFILES:,} profiles over {SIZE:,} tokens", title_justify="left")
    for column in ("step", "seconds"):
        table.add_column(column, justify="right")
    before, seconds = timed(lambda: catalogue.vocabulary(old, "old", "old"))
    table.add_row(f"one vocabulary read, {len(old) / 2**20:.1f} MiB", f"{seconds:.2f}")
    after = catalogue.vocabulary(new, "new", "new")
    pair = Pair(before, after)
    _, seconds = timed(lambda: (pair.table, pair.fresh, pair.runs))
    table.add_row(f"the table of ids, {len(pair.runs)} runs, {len(pair.fresh.ids)} new tokens", f"{seconds:.2f}")
    texts = [before.text(tuple(range(at, at + 300))).decode("utf-8", "replace") for at in range(1000, 60_000, 1000)]
    ratio, seconds = timed(lambda: measured(before, after, texts))
    table.add_row(f"ratio over {ratio.old} tokens", f"{seconds:.2f}")
    judge = Judge(pair, ratio, profiles(), {"old": before.digest})
    found, longest = [], 0.0
    steps, begun = judge.steps(), time.perf_counter()
    while (one := timed(lambda: next(steps, None)))[0] is not None:
        found.append(one[0])
        longest = max(longest, one[1])
    table.add_row("judged", f"{time.perf_counter() - begun:.2f}")
    table.add_row("longest step", f"{longest:.4f}")
    verdicts, seconds = timed(lambda: judge.done(found))
    raw, more = timed(verdicts.encoded)
    table.add_row(f"encoded, {len(raw) / 2**20:.2f} MiB, {sum(one.lost for one in found)} lost", f"{seconds + more:.2f}")
    Console(width=110).print(table)
    return verdicts


def main() -> None:
    judging()


if __name__ == "__main__":
    main()
