"""The record's bytes: small whatever the number of profiles, for verdicts stand in it by their digest alone."""

import msgspec

from stackpitch.duties.vocabulary.change.states import Record
from stackpitch.duties.vocabulary.errors import RecordMalformed, VerdictsTooLarge

LARGEST = 256 * 1024
FORM = b"vocabulary 1\n"
DECODER = msgspec.json.Decoder(Record)


def written(record: Record) -> bytes:
    """Raises VerdictsTooLarge."""
    found = FORM + msgspec.json.encode(record)
    if len(found) > LARGEST:
        raise VerdictsTooLarge(len(found), LARGEST)
    return found


def read(raw: bytes) -> Record:
    """Raises RecordMalformed: nothing is begun anew on top of what can't be read."""
    if not raw:
        return Record()
    if not raw.startswith(FORM):
        raise RecordMalformed("of another form", len(raw))
    try:
        return DECODER.decode(raw[len(FORM) :])
    except msgspec.DecodeError as wrong:
        raise RecordMalformed(str(wrong)[:120], len(raw)) from None
