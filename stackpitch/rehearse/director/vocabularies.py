"""Two vocabularies and the sampling profiles of a day, made from its seed.

Of the words that they are trained on some are common to both, in another order and number, so that most tokens are there
twice under other ids. The first ids are special ones: the end of text is 1 in the old one and 0 in the new one, where 1 is
ordinary text.
"""

from pathlib import Path
from typing import Any

import msgspec
from tokenizers import Tokenizer, decoders, models, pre_tokenizers, trainers

from stackpitch.duties.vocabulary.catalogue import digest_of
from stackpitch.loop import Random
from stackpitch.rehearse.clients.sessions import WORDS
from stackpitch.rehearse.day import Day
from stackpitch.rehearse.dayvocabulary import Which
from stackpitch.rehearse.meaning import FIELDS, Meaning

END = "</s>"
SPECIALS: dict[Which, list[str]] = {"old": ["<pad>", END], "new": [END]}
MOST_IDS = 2000
END_ID, WORDS_FROM = 1, 258  # in the old one: bytes and special tokens are below


def trained(words: list[str], specials: list[str]) -> bytes:
    """A byte-level BPE, as a tokenizer.json; the same words give the same bytes."""
    made = Tokenizer(models.BPE())
    made.pre_tokenizer = pre_tokenizers.ByteLevel(add_prefix_space=False)
    made.decoder = decoders.ByteLevel()
    made.train_from_iterator(
        [" ".join(words)],
        trainers.BpeTrainer(
            vocab_size=MOST_IDS,
            special_tokens=specials,
            show_progress=False,
            initial_alphabet=sorted(pre_tokenizers.ByteLevel.alphabet()),
        ),
    )
    return made.to_str().encode()


class Vocabularies:
    """Files in the day's folder. `digests`: as the fleet's list names them."""

    def __init__(self, day: Day, random: Random, folder: Path) -> None:
        told = day.vocabulary
        assert told is not None
        self.day, self.set, self.random, self.folder = day, told, random, folder
        self.files: dict[Which, str] = {}
        self.digests: dict[Which, str] = {}
        self.listing, self.profiles = str(folder / "vocabularies.json"), str(folder / "profiles.json")
        self.edits = 0  # of the profiles' file
        self.made: dict[str, Any] = {}  # profiles that no edit changes
        self.lost: list[int] = []  # ids of the old one whose text is no token of the new one

    def lay_out(self) -> None:
        words = self.random.sample(WORDS, self.set.words)
        common = round(self.set.words * self.set.common)
        own = (self.set.words - common) // 2
        for which, some in (("old", words[: common + own]), ("new", words[:common] + words[common + own :])):
            repeated = [word for word in some for _ in range(self.random.randrange(2, 9))]
            self.random.shuffle(repeated)
            raw = trained(repeated, SPECIALS[which])  # type: ignore[index]
            path = self.folder / f"{which}.tokenizer.json"
            path.write_bytes(raw)
            self.files[which] = str(path)  # type: ignore[index]
            self.digests[which] = digest_of(raw, path.name, (END,))  # type: ignore[index]
        samples = [" ".join(self.random.choices(words, k=40)) for _ in range(8)]
        Path(self.listing).write_bytes(
            msgspec.json.encode(
                {
                    "vocabularies": {
                        which: {"file": path, "end": [END]} for which, path in self.files.items()
                    },
                    "samples": samples,
                }
            )
        )
        self.write_profiles()

    def write_profiles(self) -> None:
        """With every call another version: an operator's edit. The first one's profiles keep their meaning but for a ban of
        little revenue; later ones have one more, with most of the revenue, that loses its own, so that their change is held."""
        self.edits += 1
        if self.edits == 1:
            self.lay_out_profiles()
        profiles = self.made
        if self.edits > 1:
            mask = {"allowed_token_ids": self.random.sample(self.lost, min(3, len(self.lost)))}
            profiles = profiles | {
                "lost": {
                    "product": next(iter(self.day.products)),
                    "vocabulary": "old",
                    "revenue": 1000,
                    "parameters": mask,
                }
            }
        text = msgspec.json.encode(
            {
                "version": self.edits,
                "vocabulary": "old",
                "products": dict.fromkeys(self.set.new_products, "new"),
                "profiles": profiles,
            }
        )
        beside = Path(self.profiles + ".new")
        beside.write_bytes(text)
        beside.replace(self.profiles)

    def lay_out_profiles(self) -> None:
        own, new = Meaning(self.files["old"]), Meaning(self.files["new"])
        known = frozenset(new.text([number]) for number in range(new.size))
        kept = [number for number in range(WORDS_FROM, own.size) if own.text([number]) in known]
        self.lost = [number for number in range(WORDS_FROM, own.size) if number not in kept]
        for number in range(self.set.profiles):
            whose = (
                {"product": self.random.choice(list(self.day.products))}
                if number % 2 or not self.day.customers
                else {"customer": self.random.choice(list(self.day.customers))}
            )
            some = self.random.sample(kept, 6)
            parameters: dict[str, Any] = self.random.choice(
                (
                    {"logit_bias": {str(one): 3.0 for one in some[:2]}},
                    {"stop_token_ids": [END_ID, some[0]]},
                    {"allowed_token_ids": [END_ID, *some]},
                    {"temperature": 0.7, "top_p": 0.9},
                )
            )
            self.made[f"p{number}"] = whose | {"vocabulary": "old", "revenue": 10, "parameters": parameters}
        ban = {
            "bad_words_ids": [
                [self.random.choice(kept)],
                [self.random.choice(kept), self.random.choice(self.lost)],
            ]
        }
        self.made["ban"] = {"product": next(iter(self.day.products)), "vocabulary": "old", "parameters": ban}

    @property
    def lasting(self) -> dict[str, dict[str, Any]]:
        """Of profiles that no edit changes: the fields with token ids."""
        found = {
            name: {field: value for field, value in one["parameters"].items() if field in FIELDS}
            for name, one in self.made.items()
        }
        return {name: one for name, one in found.items() if one}
