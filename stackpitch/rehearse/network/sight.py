"""What the network makes out of a message that it passes on, for the records."""

from typing import Any

import msgspec

from stackpitch.duties.calls import ANSWER_DECODER, CALL_DECODER

PATH = "/duty"


class _Lease(msgspec.Struct):
    ticks: int  # what the owner will count, in tenths of a millisecond


class _Service(msgspec.Struct):
    model: str
    version: str  # "": it is withdrawn


class _Summary(msgspec.Struct):
    digest: str


class _Change(msgspec.Struct):
    old: str
    new: str
    profiles: str
    word: str
    summary: _Summary | None = None


class _Tell(msgspec.Struct):
    change: _Change


def of_change(body: bytes) -> dict[str, Any]:
    """What a change of vocabulary is about, and the digest of the verdict on it once there is one."""
    try:
        change = msgspec.json.decode(body, type=_Tell).change
    except msgspec.DecodeError:
        return {}
    about = {"change": change.word, "digests": [change.old, change.new, change.profiles]}
    return about | ({"verdict": change.summary.digest} if change.summary is not None else {})


def of_call(path: str, body: bytes) -> dict[str, Any]:
    """Empty for anything but a duty's call; `unread` for one that is malformed."""
    if path != PATH:
        return {}
    try:
        call = CALL_DECODER.decode(body)
    except msgspec.DecodeError:
        return {"unread": len(body)}
    found: dict[str, Any] = {
        "duty": call.duty,
        "kind": call.kind,
        "stamp": [call.stamp.term, call.stamp.start],
        "said": [call.sender, call.to],
    }
    if call.kind == "lease":
        try:
            found["ticks"] = msgspec.json.decode(call.body, type=_Lease).ticks
        except msgspec.DecodeError:
            pass  # its receiver will say so
    elif call.duty == "weights" and call.kind == "service":
        try:
            service = msgspec.json.decode(call.body, type=_Service)
            found["serves"] = [service.model, service.version]
        except msgspec.DecodeError:
            pass  # likewise
    elif call.duty == "vocabulary" and call.kind == "change":
        found |= of_change(call.body)
    return found


def of_answer(path: str, status: int, body: bytes) -> dict[str, Any]:
    if path != PATH or status != 200:
        return {"status": status}
    try:
        answer = ANSWER_DECODER.decode(body)
    except msgspec.DecodeError:
        return {"status": status, "unread": len(body)}
    return {"status": status, "word": answer.word, "knows": [answer.stamp.term, answer.stamp.start]}
