"""The file of sampling profiles: named sets of parameters by customer or product, and the vocabulary each was written for.

{"version": 1, "vocabulary": "base-1", "customers": {"harbour": "base-2"}, "products": {"chat": "base-1"},
 "profiles": {"harbour-strict": {"customer": "harbour", "revenue": 3, "parameters": {"stop_token_ids": [2]}}}}
"""

from collections.abc import Collection, Mapping
from hashlib import sha256
from pathlib import Path
from typing import Annotated

import msgspec
from pydantic import Field, model_validator

from stackpitch.duties.vocabulary.errors import ProfilesRejected
from stackpitch.duties.vocabulary.parameters import Parameters
from stackpitch.settings import BadSettings
from stackpitch.settings.load import check, evaluate
from stackpitch.settings.model import Name, StrictModel

MOST_BYTES, MOST_PROFILES = 32 << 20, 20_000


class Profile(StrictModel):
    customer: Name | None = None
    product: Name | None = None
    vocabulary: Name | None = None  # None: the default of its customer, else of its product, else of the file
    revenue: Annotated[float, Field(ge=0)] = 1.0  # of its generations, in any one unit over the file
    parameters: Parameters

    @model_validator(mode="after")
    def belongs_to_one(self) -> "Profile":
        if (self.customer is None) == (self.product is None):
            raise ValueError("allowed: a customer or a product, one of them")
        return self


class Profiles(StrictModel):
    version: Annotated[int, Field(ge=0)] = 0
    vocabulary: Name | None = None
    customers: dict[Name, Name] = {}  # vocabulary by customer
    products: dict[Name, Name] = {}
    profiles: Annotated[dict[Name, Profile], Field(max_length=MOST_PROFILES)] = {}

    def default(self, customer: str | None, product: str | None) -> str | None:
        return self.customers.get(customer or "") or self.products.get(product or "") or self.vocabulary

    def written_for(self, name: str) -> str | None:
        """The name of the vocabulary that a profile speaks of."""
        one = self.profiles[name]
        return one.vocabulary or self.default(one.customer, one.product)

    def digest(self) -> str:
        """Of what they say, the version too, whatever their order or form: raising the version has them judged anew."""
        return sha256(msgspec.json.encode(self.model_dump(), order="deterministic")).hexdigest()[:32]


def read_profiles(
    path: Path,
    vocabularies: Collection[str],
    customers: Collection[str] | None = None,
    products: Collection[str] | None = None,
    given: Mapping[str, str] | None = None,
) -> Profiles:
    """Raises ProfilesRejected. Names are held against those given; None: not known here, not checked."""
    try:
        size = path.stat().st_size
    except OSError as wrong:
        raise ProfilesRejected(str(path), (f"{path}: {wrong.strerror}",)) from None
    if size > MOST_BYTES:
        raise ProfilesRejected(
            str(path), (f"{path}: (whole): found {size} bytes; allowed: up to {MOST_BYTES}",)
        )
    try:
        found = check(Profiles, evaluate(path, given), path)
    except BadSettings as wrong:
        raise ProfilesRejected(str(path), tuple(str(wrong).splitlines())) from None
    if wrongs := unknown(found, vocabularies, customers, products):
        raise ProfilesRejected(str(path), tuple(f"{path}: {one}" for one in wrongs))
    return found


def unknown(
    found: Profiles,
    vocabularies: Collection[str],
    customers: Collection[str] | None,
    products: Collection[str] | None,
) -> list[str]:
    """Names that nothing has, and profiles that no vocabulary can be found for."""
    named: list[tuple[str, str, Collection[str] | None]] = []
    if found.vocabulary is not None:
        named.append(("vocabulary", found.vocabulary, vocabularies))
    for field, table, known in (
        ("customers", found.customers, customers),
        ("products", found.products, products),
    ):
        for name, of in table.items():
            named += [(field, name, known), (f"{field}.{name}", of, vocabularies)]
    for name, one in found.profiles.items():
        for field, value, known in (
            ("customer", one.customer, customers),
            ("product", one.product, products),
            ("vocabulary", one.vocabulary, vocabularies),
        ):
            if value is not None:
                named.append((f"profiles.{name}.{field}", value, known))
    wrong = [
        f"{field}: found {value!r}; allowed: {', '.join(sorted(known)[:20]) or 'none'}"
        for field, value, known in named
        if known is not None and value not in known
    ]
    wrong += [
        f"profiles.{name}.vocabulary: found none; allowed: one here, or a default of its customer, product or the file"
        for name in found.profiles
        if found.written_for(name) is None
    ]
    return wrong
