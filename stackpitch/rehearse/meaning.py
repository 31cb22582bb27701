"""What token ids say, by the `tokenizers` library alone: the gateway's own reading of vocabularies is not looked at.

Texts are compared as clients meant them: a ban of " bal" is the same ban whatever its ids are.
"""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from tokenizers import Tokenizer

FIELDS = ("logit_bias", "stop_token_ids", "allowed_token_ids", "bad_words_ids")
Said = dict[str, list[str]]  # by field; sorted, each text once


class Meaning:
    """One vocabulary, from a file in the tokenizer.json form."""

    def __init__(self, path: str) -> None:
        self.tokenizer = Tokenizer.from_str(Path(path).read_text())

    @property
    def size(self) -> int:
        return int(self.tokenizer.get_vocab_size())

    def text(self, numbers: Sequence[int]) -> str:
        """An id that no token has says so, and so equals nothing that a client meant."""
        if any(self.tokenizer.id_to_token(one) is None for one in numbers):
            return f"nothing: {list(numbers)}"
        return str(self.tokenizer.decode(list(numbers), skip_special_tokens=False))

    def said(self, fields: Mapping[str, Any]) -> Said:
        """Of the fields that hold token ids, as they stand in a leg's body."""
        found: Said = {}
        for name in FIELDS:
            value = fields.get(name)
            if not value:
                continue
            if name == "logit_bias":
                texts = {f"{self.text([int(number)])}={bias:g}" for number, bias in value.items()}
            elif name == "bad_words_ids":
                texts = {self.text(one) for one in value}
            else:
                texts = {self.text([one]) for one in value}
            found[name] = sorted(texts)
        return found
