"""From a token as the file writes it to the bytes that it stands for. Pure.

Published forms: byte-level (each byte a letter, after GPT-2), metaspace (a low block for a space, `<0x0A>` for a byte),
word pieces (`##` goes on within a word), and whole words, which are joined by a space.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any

BLOCK = "\N{LOWER ONE EIGHTH BLOCK}"
BYTE = re.compile(r"<0x([0-9A-Fa-f]{2})>")


def _letters() -> dict[str, int]:
    """Letter to byte: printable bytes are themselves, the others follow from U+0100 on in their order."""
    plain = [*range(0x21, 0x7F), *range(0xA1, 0xAD), *range(0xAE, 0x100)]
    others = [one for one in range(256) if one not in plain]
    return {chr(one): one for one in plain} | {chr(0x100 + place): one for place, one in enumerate(others)}


LETTERS = _letters()


def _byte_level(token: str) -> bytes:
    try:
        return bytes([LETTERS[one] for one in token])
    except KeyError:  # not written by letters, as some added ones are
        return token.encode()


def _metaspace(token: str) -> bytes:
    found = BYTE.fullmatch(token)
    return bytes([int(found[1], 16)]) if found else token.replace(BLOCK, " ").encode()


def _word_piece(token: str) -> bytes:
    return token[2:].encode() if token.startswith("##") and len(token) > 2 else f" {token}".encode()


def _word(token: str) -> bytes:
    return f" {token}".encode()


def _parts(tree: Any) -> Iterator[dict[str, Any]]:
    """The named part, or those of a sequence."""
    if isinstance(tree, dict):
        yield tree
        for name in ("decoders", "pretokenizers", "normalizers"):
            inner = tree.get(name)
            for one in inner if isinstance(inner, list) else []:
                yield from _parts(one)


def reader(tree: dict[str, Any]) -> Callable[[str], bytes]:
    """Of the model's tokens, by what the file says of decoding."""
    parts = [one for name in ("decoder", "pre_tokenizer", "normalizer") for one in _parts(tree.get(name))]
    kinds = {one.get("type") for one in parts}
    replaces = any(one.get("type") == "Replace" and BLOCK in str(one) for one in parts)
    model = tree["model"].get("type")
    if "ByteLevel" in kinds:
        return _byte_level
    if "Metaspace" in kinds or replaces or "ByteFallback" in kinds:
        return _metaspace
    if model == "WordPiece":
        return _word_piece
    if model == "WordLevel":
        return _word
    return str.encode
