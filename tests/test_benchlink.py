"""The simulator adapter: its replies, and the errors that it ends with on invalid input."""

import io
import json

import pytest

from stackpitch.benchlink.codec import WireError
from stackpitch.benchlink.host import serve

GEN, CONFIG = (
    "112a8d6f5d3a91c4",
    {
        "balancers": 1,
        "zone": "a",
        "models": ["p", "d"],
        "discovery": "on_request",
        "unheard_of": 1,
        "classes": [
            {"name": "chat", "effect": "single_shot", "aimMs": 1000.0, "deadlineMs": 4000.0, "worth": 1.0}
        ],
        "bounds": {"maxAttempts": 4, "secondCopies": True},
        "extra": {
            "dutyByKind": ["read", "write"],
            "kvTokens": [1000, 90000],
            "localRead": True,
            "releaseMs": 300.0,
        },
        "guarantees": {"coldFrom": 0.3, "warmUpMs": 9000.0, "fallMultiple": 2.0, "fallMs": 1000.0},
    },
)
START = [
    f"PROVISION 7 {json.dumps(CONFIG)}",
    "ROSTER_CHANGE Persisted 1 2",
    "ROW r a p 0 in_service 1 -",
    "ROW w a d 0 in_service 1 0",
]
ASK = f"INGRESS {GEN} - - chat 100 - 8000.25 - - 50 - -"


def run_batches(*batches: list[str], who: int = 3) -> list[list[str]]:
    """The lines of the reply to each batch, without its AT and EOR."""
    text = ""
    for number, lines in enumerate(batches, 1):
        text += "\n".join([f"BATCH {7000 + number}.5 {number}", f"SWITCH_TO {who}", *lines, "EOF_BATCH", ""])
    sink = io.BytesIO()
    serve(io.BytesIO(text.encode()), sink)
    replies = sink.getvalue().decode().split("EOR ")[:-1]
    return [
        [line for line in reply.splitlines()[1 if position else 0 :] if not line.startswith("AT")]
        for position, reply in enumerate(replies)
    ]


def test_a_generation_is_read_written_and_removed() -> None:
    replies = run_batches(
        START,
        [ASK],
        [f"COMPLETED {GEN} 0 r prefilled 20.5 0 7 -"],
        [f"UNDER_WAY {GEN} w 1 9.25"],
        [f"COMPLETED {GEN} 1 w pass 90 1 - utilization:0.5,x0:0.25"],
        [f"LEFT {GEN}"],
    )
    assert replies[0] == ["KEEP_INFORMED 1"]
    assert replies[1][0].startswith(f"ASSIGN {GEN} r ")
    wait, assign = replies[2]
    assert assign == f"ASSIGN {GEN} w 996.7"  # never past 8000.2, the time limit in whole tenths
    assert wait == "TIMER 285.0 1"  # the KV state is released then if no writer has fetched it
    assert replies[3:] == [[], [], []]


def test_a_restart_discards_all_state() -> None:
    assert (
        run_batches(START, [ASK], ["CRASH_NOW", *START], [f"COMPLETED {GEN} 0 r prefilled 20 0 - -"])[3] == []
    )


def test_an_exception_in_the_module_becomes_a_fault_message(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("stackpitch.brain.Reader.route", lambda *_: 1 // 0)
    assert run_batches(START, [ASK])[1][0].startswith("FAULT ZeroDivisionError at ")


@pytest.mark.parametrize(
    "lines, expected",
    [
        (["NONSENSE 1"], "line 3: unknown message 'NONSENSE'"),
        ([ASK], "line 3: INGRESS for instance 3, which has no PROVISION"),
        ([*START, ASK.replace(" 100 ", " ten ")], "line 7: INGRESS field nPrompt"),
        ([*START, ASK.replace("chat", "talk")], "line 7: INGRESS field type"),
        ([*START, ASK.rsplit(" ", 1)[0]], "line 7: INGRESS lacks field expectedMs"),
        ([*START, "ROSTER_CHANGE Complete 2 1", "REMINDER 1"], "line 8: ROSTER_CHANGE wants 1 members"),
        ([START[0].replace('"models"', '"m"')], "line 3: PROVISION field config.models"),
        (["PROVISION 7 {"], "line 3: PROVISION field config"),
        (["BATCH 1 2"], "line 3: BATCH before"),
    ],
)
def test_malformed_input_names_line_and_field(lines: list[str], expected: str) -> None:
    with pytest.raises(WireError, match=expected.replace("(", r"\(")):
        run_batches(lines)
