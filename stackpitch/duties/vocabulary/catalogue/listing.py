"""The file that names vocabularies: `{"vocabularies": {NAME: {"file": PATH, "end": [CONTENT]}}, "samples": [TEXT]}`."""

from pathlib import Path
from typing import Annotated

from pydantic import Field

from stackpitch.duties.vocabulary.errors import ListingRejected, VocabularyUnknown
from stackpitch.settings import BadSettings, read
from stackpitch.settings.model import Name, StrictModel

Text = Annotated[str, Field(min_length=1, max_length=100_000)]


class Named(StrictModel):
    file: Annotated[str, Field(min_length=1)]  # tokenizer.json, beside the list or by its whole path
    end: list[
        Annotated[str, Field(min_length=1, max_length=200)]
    ] = []  # contents of end tokens; none: the usual names


class Listing(StrictModel):
    vocabularies: Annotated[dict[Name, Named], Field(min_length=1, max_length=64)]
    samples: Annotated[
        list[Text], Field(max_length=1000)
    ] = []  # texts by which limits counted in tokens are rescaled

    def known(self, name: str, where: str) -> Named:
        """Raises VocabularyUnknown."""
        if name not in self.vocabularies:
            raise VocabularyUnknown(where, name, tuple(sorted(self.vocabularies)))
        return self.vocabularies[name]


def read_listing(path: Path) -> Listing:
    """Raises ListingRejected."""
    try:
        return read(Listing, path)
    except BadSettings as wrong:
        raise ListingRejected(str(path), tuple(str(wrong).splitlines())) from None
