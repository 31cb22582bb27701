"""A file in the published tokenizer.json form into a vocabulary, checked whole. The one place with the `tokenizers` library.

The digest is that of what the file says: SHA-256 over its JSON with sorted keys and no spaces, pairs that are merged in one
of their two published forms, and the names of end tokens; without `truncation` and `padding`, which change no id's meaning.
So neither spaces, nor order, nor the library's version count.
"""

import json
from collections.abc import Iterable
from hashlib import sha256
from pathlib import Path
from typing import Any

from stackpitch.duties.vocabulary.catalogue.form import reader
from stackpitch.duties.vocabulary.catalogue.vocabulary import Vocabulary
from stackpitch.duties.vocabulary.errors import VocabularyMalformed, VocabularyTooLarge, VocabularyUnreadable

MOST_BYTES, MOST_IDS, LONGEST = 64 << 20, 2_097_152, 4096  # of the file; ids; bytes of one token
MODELS = ("BPE", "Unigram", "WordLevel", "WordPiece")
USUAL_ENDS = ("</s>", "<|endoftext|>", "<|end_of_text|>", "<|eot_id|>", "<|im_end|>", "<eos>", "<|end|>")


def read_vocabulary(path: Path, name: str = "", ends: tuple[str, ...] = ()) -> Vocabulary:
    return vocabulary(read_bytes(path), str(path), name or path.stem, ends)


def read_bytes(path: Path) -> bytes:
    """No more than is allowed, however large the file is."""
    try:
        with path.open("rb") as file:
            raw = file.read(MOST_BYTES + 1)
    except OSError as wrong:
        raise VocabularyUnreadable(
            str(path), "(whole)", str(wrong.strerror), "a file that can be read"
        ) from None
    if len(raw) > MOST_BYTES:
        raise VocabularyTooLarge(str(path), "(whole)", f"more than {MOST_BYTES} bytes", f"up to {MOST_BYTES}")
    return raw


def digest_of(raw: bytes, file: str, ends: tuple[str, ...] = ()) -> str:
    """Without the library: what a gateway that only compares digests needs."""
    return _digest(_tree(raw, file), ends)


def _once(file: str) -> Any:
    def made(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        found = dict(pairs)
        if len(found) < len(pairs):
            seen = set[str]()
            twice = next(name for name, _ in pairs if name in seen or seen.add(name))  # type: ignore[func-returns-value]
            raise VocabularyMalformed(file, twice[:60], "the name twice in one object", "each name once")
        return found

    return made


def _tree(raw: bytes, file: str) -> dict[str, Any]:
    try:
        tree = json.loads(raw.decode(), object_pairs_hook=_once(file))
    except (ValueError, RecursionError) as wrong:
        raise VocabularyMalformed(file, "(whole)", str(wrong)[:120], "JSON in UTF-8") from None
    if not isinstance(tree, dict) or not isinstance(tree.get("model"), dict):
        raise VocabularyMalformed(file, "model", "none", "an object with `model`, as tokenizer.json has it")
    return tree


def _digest(tree: dict[str, Any], ends: tuple[str, ...]) -> str:
    told = {name: value for name, value in tree.items() if name not in ("truncation", "padding")}
    merges = tree["model"].get("merges")
    if isinstance(merges, list):
        pairs = [one.split(" ") if isinstance(one, str) else one for one in merges]
        told["model"] = tree["model"] | {"merges": pairs}
    text = json.dumps([told, sorted(ends)], sort_keys=True, separators=(",", ":"), ensure_ascii=True)
    return sha256(text.encode()).hexdigest()[:32]


def _tokens(tree: dict[str, Any], file: str) -> list[tuple[str, int]]:
    """Of the model, by any of the published forms of `vocab`."""
    model = tree["model"]
    kind, vocab = model.get("type", "BPE"), model.get("vocab")
    if kind not in MODELS:
        raise VocabularyMalformed(file, "model.type", repr(kind)[:60], ", ".join(MODELS))
    if kind == "Unigram" and isinstance(vocab, list):
        pairs: Iterable[Any] = (
            (one[0] if isinstance(one, list) and one else None, place) for place, one in enumerate(vocab)
        )
    elif isinstance(vocab, dict):
        pairs = vocab.items()
    else:
        raise VocabularyMalformed(
            file, "model.vocab", type(vocab).__name__, "a list for Unigram, else an object"
        )
    found = []
    for token, number in pairs:
        if not isinstance(token, str) or type(number) is not int or number < 0:
            raise VocabularyMalformed(
                file, "model.vocab", f"{token!r:.60}: {number!r:.20}", "texts with ids from 0 on"
            )
        found.append((token, number))
    return found


def _added(tree: dict[str, Any], file: str) -> list[tuple[str, int, bool]]:
    found = []
    listed = tree.get("added_tokens") or []
    if not isinstance(listed, list):
        raise VocabularyMalformed(file, "added_tokens", type(listed).__name__, "a list")
    for place, one in enumerate(listed):
        token, number = (one.get("content"), one.get("id")) if isinstance(one, dict) else (None, None)
        if not isinstance(token, str) or type(number) is not int or number < 0:
            raise VocabularyMalformed(
                file, f"added_tokens.{place}", f"{one!r:.60}", "an object with `content` and `id`"
            )
        found.append((token, number, one.get("special") is True))
    return found


def vocabulary(raw: bytes, file: str, name: str = "", ends: tuple[str, ...] = ()) -> Vocabulary:
    """Raises VocabularyMalformed, VocabularyTooLarge. `ends`: contents of end tokens; none: the usual names that it has."""
    if len(raw) > MOST_BYTES:
        raise VocabularyTooLarge(file, "(whole)", f"{len(raw)} bytes", f"up to {MOST_BYTES}")
    tree = _tree(raw, file)
    tokens, added = _tokens(tree, file), _added(tree, file)
    highest = max([number for _, number in tokens] + [number for _, number, _ in added], default=-1)
    if highest < 0:
        raise VocabularyMalformed(file, "model.vocab", "no token", "at least one")
    if highest >= MOST_IDS:
        raise VocabularyTooLarge(file, "model.vocab", f"id {highest}", f"ids up to {MOST_IDS - 1}")
    pieces: list[bytes | None] = [None] * (highest + 1)
    read, contents = reader(tree), {number: token for token, number, _ in added}
    for token, number in tokens:
        if pieces[number] is not None:
            raise VocabularyMalformed(file, "model.vocab", f"id {number} for two tokens", "each id once")
        if number in contents and contents[number] != token:
            raise VocabularyMalformed(file, "added_tokens", f"id {number} for two tokens", "each id once")
        pieces[number] = read(token)
        if len(token) > LONGEST:
            raise VocabularyTooLarge(
                file, "model.vocab", f"a token of {len(token)} letters", f"up to {LONGEST}"
            )
    for token, number, _ in added:
        pieces[number] = token.encode()
    by_content = {token: number for token, number, _ in added} | dict(tokens)
    for one in ends:
        if one not in by_content:
            raise VocabularyMalformed(
                file, "end", repr(one)[:60], "the content of a token that the file holds"
            )
    specials = frozenset(number for _, number, special in added if special)
    ending = ends or tuple(token for token, number, special in added if special and token in USUAL_ENDS)
    return Vocabulary(
        _digest(tree, ends),
        name,
        pieces,
        specials,
        frozenset(by_content[one] for one in ending),
        _encoder(raw, file),
    )


def _encoder(raw: bytes, file: str) -> Any:
    from tokenizers import Tokenizer  # some MB, wanted only where something is judged

    try:
        made = Tokenizer.from_str(raw.decode())
    except (
        BaseException
    ) as wrong:  # the library raises nothing narrower, and for a panic of its own something wider
        if not isinstance(wrong, Exception) and type(wrong).__name__ != "PanicException":
            raise
        raise VocabularyMalformed(
            file, "(whole)", str(wrong)[:200], "what the tokenizers library takes"
        ) from None
    made.no_truncation()
    made.no_padding()
    return lambda text: made.encode(text, add_special_tokens=False).ids
