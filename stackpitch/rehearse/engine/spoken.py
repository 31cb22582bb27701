"""What a leg's token ids say at an engine, for the records. The client's own word on what it meant is in `x_meant`."""

from typing import Any

from stackpitch.rehearse.engine.machine import Machine
from stackpitch.rehearse.engine.work import Work


def spoken(machine: Machine, work: Work, fields: dict[str, Any], refused: bool, guarded: bool) -> None:
    """`guarded`: the gateway said which vocabulary the ids are for. `x_meant`: the vocabulary `written` for, the fields as
    they were `asked` and the texts `meant`, by field, and the `profile` that gives them."""
    if machine.meaning is None:
        return
    told = fields.get("x_meant") or {"written": "", "asked": {}, "meant": {}, "profile": ""}
    said = machine.meaning.said(fields)
    if said or told["meant"]:
        machine.recorder.note(
            "spoke",
            key=work.key,
            leg=work.leg,
            gateway=work.gateway,
            vocabulary=machine.set.vocabulary,
            refused=refused,
            guarded=guarded,
            said=said,
            ids={name: fields[name] for name in said},
            written=told["written"],
            asked=told["asked"],
            meant=told["meant"],
            profile=told["profile"],
        )
