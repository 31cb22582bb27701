"""Token ids that clients ask with, and the texts that they mean by them (`x_meant`, read by engines for the records)."""

from typing import Any

from stackpitch.loop import Random
from stackpitch.rehearse.clients.settings import Speaking
from stackpitch.rehearse.clients.turn import Turn
from stackpitch.rehearse.meaning import FIELDS, Meaning

VOCABULARY, PROFILE = (
    "token_vocabulary",
    "sampling_profile",
)  # of a body: what its ids are written for, what fills them in
BYTES = 258  # ids under it are single bytes and special tokens: nobody bans those by hand, but for the end of text


class Speech:
    """`kept`: ids by vocabulary whose text is a token of every other one as well; `lost`: the others."""

    def __init__(self, settings: Speaking) -> None:
        self.set = settings
        self.meanings = {name: Meaning(path) for name, path in settings.files.items()}
        texts = {
            name: [one.text([number]) for number in range(one.size)] for name, one in self.meanings.items()
        }
        self.kept: dict[str, list[int]] = {}
        self.lost: dict[str, list[int]] = {}
        for name, own in texts.items():
            others = [frozenset(other) for which, other in texts.items() if which != name]
            words = [number for number in range(BYTES, len(own))]
            self.kept[name] = [one for one in words if all(own[one] in other for other in others)]
            self.lost[name] = [one for one in words if one not in self.kept[name]]

    def speak(self, random: Random, turn: Turn) -> None:
        """Gives a turn's body token ids, or none."""
        if random.random() >= self.set.share:
            return
        if self.set.profiles and random.random() < self.set.profiled:
            name = random.choice(list(self.set.profiles))
            turn.fields = {PROFILE: name, "x_meant": self.meant("old", self.set.profiles[name], name)}
            return
        default = self.set.products.get(turn.product.name, self.set.default)
        written, stated = default, dict[str, Any]()
        if random.random() < self.set.named:
            written = random.choice(list(self.meanings))
            stated[VOCABULARY] = written
        loses = random.random() < self.set.lost and self.lost[written]
        fields = self.fields(random, written, random.sample(FIELDS, random.choice((1, 1, 2))), bool(loses))
        turn.fields = stated | fields | {"x_meant": self.meant(written, fields)}

    def meant(self, written: str, fields: dict[str, Any], profile: str = "") -> dict[str, Any]:
        return {
            "written": written,
            "asked": fields,
            "meant": self.meanings[written].said(fields),
            "profile": profile,
        }

    def fields(self, random: Random, written: str, names: list[str], loses: bool) -> dict[str, Any]:
        def some(count: int) -> list[int]:
            found = random.sample(self.kept[written], min(count, len(self.kept[written])))
            return [*found[1:], random.choice(self.lost[written])] if loses else found

        made: dict[str, Any] = {}
        for name in names:
            if name == "logit_bias":
                made[name] = {str(one): random.choice((-100.0, -2.0, 4.0)) for one in some(3)}
            elif name == "bad_words_ids":
                made[name] = [[one] for one in some(2)]
            else:
                made[name] = some(8 if name == "allowed_token_ids" else 2)
        return made
