"""Settings that lack something, as the real process and the bench's adapter read them; and what servers tell that can't be."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from copy import deepcopy
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from platform_stage import SETTINGS
from test_benchlink import ASK, CONFIG, GEN, START, run_batches

from stackpitch.benchlink.codec import WireError
from stackpitch.gateway.engines import EngineBackend
from stackpitch.interface import MS, SECOND, Report
from stackpitch.plausible import SHARE_TOLERANCE, PlausibilityFilter
from stackpitch.wire import engine, platform

GONE = object()


def changed(tree: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """`a.b`: the value there; GONE takes it out."""
    tree = deepcopy(tree)
    for path, value in changes.items():
        *parts, last = path.split(".")
        at = tree
        for part in parts:
            at = at[part]
        if value is GONE:
            del at[last]
        else:
            at[last] = value
    return tree


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        port: int = one.getsockname()[1]
        return port


def started(folder: Path, config: str | dict[str, Any]) -> "subprocess.Popen[str]":
    (folder / "c").write_text(config if isinstance(config, str) else json.dumps(config))
    return subprocess.Popen(
        [sys.executable, "-m", "stackpitch.platform"],
        env=os.environ | {"RELAY_CONFIG": str(folder / "c")},
        stdin=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        cwd=Path(__file__).parent.parent,
    )


def config(**parts: Any) -> dict[str, Any]:
    return {
        "name": "n",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1f",
        "limits": {"sockets": 64},
        "known": {"revision": 1, "complete": True, "members": []},
        "settings": SETTINGS,
    } | parts


BAD_SETTINGS: list[tuple[dict[str, Any], str]] = [
    ({"models": []}, "config.extra.dutyByKind"),
    ({"models": [], "extra.dutyByKind": []}, "config.extra.dutyByKind"),
    ({"models": ["r"]}, "config.extra.dutyByKind"),
    ({"models": GONE}, "config.models"),
    ({"models": ["r", 7]}, "config.models"),
    ({"extra.dutyByKind": ["read", "read"]}, "config.extra.dutyByKind"),
    ({"extra.dutyByKind": ["read", ["write"]]}, "config.extra.dutyByKind"),
    ({"extra.dutyByKind": ["write", "write"], "extra.localRead": False}, "config.extra.dutyByKind"),
    ({"extra.kvTokens": [1000, 0]}, "config.extra.kvTokens[1]"),
    ({"extra.kvTokens": [0, 1000]}, "config.extra.kvTokens[0]"),
    ({"extra.kvTokens": [1000, -5]}, "config.extra.kvTokens[1]"),
    ({"extra.kvTokens": [1000, "many"]}, "config.extra.kvTokens[1]"),
    ({"extra.kvTokens": [1000, 1e300]}, "config.extra.kvTokens[1]"),
    ({"extra.kvTokens": [1000]}, "config.extra.kvTokens"),
    ({"extra.kvTokens": GONE}, "config.extra.kvTokens"),
    ({"extra": GONE}, "config.extra"),
    ({"classes": []}, "config.classes"),
    ({"classes": GONE}, "config.classes"),
    ({"classes": {"chat": 1}}, "config.classes"),
    ({"extra.aimUsPer1000PromptTokens": ["x", 1]}, "config.extra.aimUsPer1000PromptTokens[0]"),
    ({"extra.tokenAimMs": [60, None]}, "config.extra.tokenAimMs[1]"),
    ({"tenants": 3}, "config.tenants"),
    ({"tenants": [{"share": 1}]}, "config.tenants[0].name"),
    ({"report": "piggyback"}, "config.report"),
]


@pytest.mark.parametrize(
    "changes, named", BAD_SETTINGS, ids=[f"{at}-{named}" for at, (_, named) in enumerate(BAD_SETTINGS)]
)
def test_settings_that_cannot_be_used_end_the_gateway_at_its_start(
    tmp_path: Path, changes: dict[str, Any], named: str
) -> None:
    process = started(tmp_path, config(settings=changed(SETTINGS, changes)))
    _, said = process.communicate(timeout=30)
    assert (
        process.returncode == 2
        and said.startswith(f"stackpitch: {named.replace('config', 'config.settings')}: ")
        and said.count("\n") == 1
    ), said


@pytest.mark.parametrize(
    "given, named",
    [
        (config(limits={"sockets": 64, "memory_mb": 0}), "limits.memory_mb"),
        (config(limits={"sockets": 64, "memory_mb": "x"}), "config.limits.memory_mb"),
        (config(seed="xyz"), "seed"),
        (config(known={"members": 3}), "known"),
        (config(known=[]), "known"),
        ("{not json", "RELAY_CONFIG"),
        ("[]", "config"),
        ("[" * 100_000, "RELAY_CONFIG"),
    ],
)
def test_a_configuration_that_cannot_be_used_ends_it_too(tmp_path: Path, given: Any, named: str) -> None:
    process = started(tmp_path, given)
    _, said = process.communicate(timeout=30)
    assert process.returncode == 2 and said.startswith(f"stackpitch: {named}: ") and said.count("\n") == 1, (
        said[:300]
    )


CLASS = SETTINGS["classes"][0]


@pytest.mark.parametrize(
    "changes",
    [
        {"report": GONE, "tenants": [], "classes": [CLASS]},
        {
            "report": {"via": "silent"},
            "classes": [CLASS | {"name": f"c{at}"} for at in range(9)] + [CLASS],
            "tenants": [{"name": f"t{at}"} for at in range(7)],
            "extra.aimUsPer1000PromptTokens": [4e4],
            "extra.tokenAimMs": GONE,
        },
        {"models": ["m"], "extra.dutyByKind": ["both"], "extra.kvTokens": [1000], "report": {}},
        {
            "models": ["w"],
            "extra.dutyByKind": ["write"],
            "extra.kvTokens": [1000],
            "extra.tokenAimMs": [1, 2, 3, 4, 5],
        },
        {"extra.kvTokens": [1, 1000]},
    ],
)
def test_settings_with_other_kinds_classes_and_tenants_serve(tmp_path: Path, changes: dict[str, Any]) -> None:
    given = config(settings=changed(SETTINGS, changes))
    process = started(tmp_path, given)
    host, _, port = given["listen"].partition(":")

    def status(method: str, target: str, head: dict[str, str], body: bytes) -> int:
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        try:
            connection.request(method, target, body, head)
            return connection.getresponse().status
        finally:
            connection.close()

    try:
        for _ in range(300):
            try:
                if status("GET", "/-/ready", {}, b"") == 200:
                    break
            except OSError:
                assert process.poll() is None, "it has ended"
            time.sleep(0.05)
        head = {
            "req-id": "0" * 16,
            "req-kind": "chat",
            "req-deadline-ms": "2000",
            "req-extra": "prompt_len=500,max_out=9",
        }
        assert status("POST", "/v1/chat/completions", head, b"{}") == 429  # it knows no server
    finally:
        process.send_signal(signal.SIGTERM)
        _, said = process.communicate(timeout=30)
    assert process.returncode == 0 and "Traceback" not in said, said


@pytest.mark.parametrize(
    "changes, named",
    [
        ({"extra.kvTokens": [1000, 0]}, "config.extra.kvTokens[1]"),
        ({"extra.kvTokens": [1000]}, "config.extra.kvTokens"),
        ({"extra.kvTokens": [1000, float("nan")]}, "config.extra.kvTokens[1]"),
        ({"classes": []}, "config.classes"),
        ({"extra.dutyByKind": ["read", "read"]}, "config.extra.dutyByKind"),
        ({"extra.tokenAimMs": ["x"]}, "config.extra.tokenAimMs[0]"),
        ({"guarantees.warmUpMs": float("inf")}, "config.guarantees.warmUpMs"),
    ],
)
def test_the_adapter_names_the_setting_that_cannot_be_used(changes: dict[str, Any], named: str) -> None:
    with pytest.raises(WireError) as wrong:
        run_batches([f"PROVISION 7 {json.dumps(changed(CONFIG, changes))}"])
    assert str(wrong.value) == f"line 3: PROVISION field {named} is malformed"


@pytest.mark.parametrize(
    "changes, kind",
    [
        ({"models": ["d"], "extra.dutyByKind": ["both"], "extra.kvTokens": [9000]}, "d"),
        ({"models": ["d"], "extra.dutyByKind": ["write"], "extra.kvTokens": [9000], "tenants": []}, "d"),
        ({"report": {"via": "silent"}, "tenants": [{"name": "a"}], "extra.tokenAimMs": [60, 60, 60]}, "d"),
    ],
)
def test_the_adapter_works_by_what_is_there(changes: dict[str, Any], kind: str) -> None:
    start = [
        f"PROVISION 7 {json.dumps(changed(CONFIG, changes))}",
        "ROSTER_CHANGE Persisted 1 1",
        f"ROW w a {kind} 0 in_service 1 0",
    ]
    assert run_batches(start, [ASK])[1][0].startswith(f"ASSIGN {GEN} w ")


# What servers tell.


@pytest.mark.parametrize(
    "told, share, kind",
    [
        (None, None, None),
        (0, 0.0, None),
        (0.4, 0.4, None),
        (1, 1.0, None),
        ("0.4", 0.4, None),
        (1.2, 1.0, "load_clipped"),
        (-0.1, 0.0, "load_clipped"),
        (1 + SHARE_TOLERANCE, 1.0, "load_clipped"),
        (1.01 + SHARE_TOLERANCE, None, "load_dropped"),
        (-3, None, "load_dropped"),
        (1e300, None, "load_dropped"),
        (10**400, None, "load_dropped"),
        (float("nan"), None, "load_dropped"),
        (float("inf"), None, "load_dropped"),
        (-float("inf"), None, "load_dropped"),
        ("much", None, "load_dropped"),
        (True, None, "load_dropped"),
        ([], None, "load_dropped"),
    ],
)
def test_a_share_told(told: object, share: float | None, kind: str | None) -> None:
    plausibility = PlausibilityFilter()
    assert plausibility.share(told) == share
    assert {one: count for one, count in plausibility.counts.items() if count} == ({kind: 1} if kind else {})


@pytest.mark.parametrize(
    "told, kept, kind",
    [
        (0, 0, None),
        (7, 7, None),
        (1000, 1000, None),
        (7.0, 7, None),
        (1001, 1000, "kept_clipped"),
        (10**400, 0, "kept_dropped"),
        (1e300, 1000, "kept_clipped"),
        (-1, 0, "kept_dropped"),
        (7.5, 0, "kept_dropped"),
        (float("nan"), 0, "kept_dropped"),
        (float("inf"), 0, "kept_dropped"),
        ("7", 0, "kept_dropped"),
        (None, 0, "kept_dropped"),
        (True, 0, "kept_dropped"),
        ({}, 0, "kept_dropped"),
    ],
)
def test_kept_tokens_told(told: object, kept: int, kind: str | None) -> None:
    plausibility = PlausibilityFilter()
    assert plausibility.cached_tok(told, 1000) == kept
    assert {one: count for one, count in plausibility.counts.items() if count} == ({kind: 1} if kind else {})


def test_kept_tokens_of_a_prompt_whose_length_is_not_told() -> None:
    plausibility = PlausibilityFilter()
    assert plausibility.cached_tok(7, 0) == 0 and not any(plausibility.counts.values())


def test_the_log_hears_of_doubts_at_a_low_rate() -> None:
    plausibility, said = PlausibilityFilter(), []
    for now in range(0, 60 * SECOND, 10 * MS):  # 6,000 of them
        plausibility.server = f"w{now}"
        plausibility.share(9)
        said.append(plausibility.due_log_fields(now))
    lines = [one for one in said if one is not None]
    assert (
        len(lines) == 6
        and lines[0] == {"last": "w0", "load_dropped": 1}
        and lines[-1]["load_dropped"] == 5001
    )
    assert plausibility.due_log_fields(10**9) == {"last": f"w{60 * SECOND - 10 * MS}", "load_dropped": 6000}
    assert plausibility.due_log_fields(2 * 10**9) is None  # nothing came since


@pytest.mark.parametrize(
    "text, found, kinds",
    [
        ("util=500,queue=2", (None, None, 2), {"load_dropped": 1}),
        ("x0=1.2,queue=nan", (1.0, None, None), {"load_clipped": 1, "load_dropped": 1}),
        ("x0=-0.1,inflight=many", (0.0, None, None), {"load_clipped": 1}),
    ],
)
def test_one_bad_figure_of_a_load_line_costs_itself_alone(
    text: str, found: tuple, kinds: dict[str, int]
) -> None:
    plausibility = PlausibilityFilter()
    assert platform.parse_load_report(text, plausibility) == Report(*found)
    assert {one: count for one, count in plausibility.counts.items() if count} == kinds


def test_a_read_is_well_whatever_it_tells_of_kept_tokens() -> None:
    for told, found in (("7", 7), ('"7"', "7"), ("null", ""), ("-3", -3), ("1" + "0" * 30, 10**30)):
        assert platform.parse_cached_tokens(b'{"cached_tokens":%b}' % told.encode()) == found
        answer = (
            b'{"kv_transfer_params":{"state_id":"s"},"usage":{"prompt_tokens_details":{"cached_tokens":%b}}}'
            % told.encode()
        )
        assert engine.parse_read_answer(answer).usage.cached_tok == (None if told == "null" else found)
    assert (
        platform.parse_cached_tokens(b"{}") == 0
        and platform.parse_cached_tokens(b"[]") is None
        and platform.parse_cached_tokens(b"{") is None
    )


@pytest.mark.parametrize(
    "prompt, told, kept, kinds",
    [
        (1300, 1300, 1000, {}),
        (1300, 1301, 1000, {"kept_clipped": 1}),
        (0, 1300, 1000, {"kept_clipped": 1}),
        (1300, -1, 0, {"kept_dropped": 1}),
        (1300, True, 0, {"kept_dropped": 1}),
    ],
)
def test_kept_tokens_over_our_own_reckoning_of_the_prompt(
    prompt: int, told: Any, kept: int, kinds: dict[str, int]
) -> None:
    """Of 1,000 by its bytes; the engine counts more."""
    plausibility, usage = PlausibilityFilter(), engine.Usage(prompt, 0, {"cached_tokens": told})
    assert plausibility.cached_tok(usage.cached_tok_within(1000), 1000) == kept
    assert {one: count for one, count in plausibility.counts.items() if count} == kinds


@pytest.mark.parametrize(
    "text, found, kinds",
    [
        ("TEXT a=0.5,b=9,c=3", (0.5, None, 3), {"load_dropped": 1}),
        ('JSON {"a": 1.2}', (1.0, None, None), {"load_clipped": 1}),
        ("TEXT a=-80", (None, None, None), {"load_dropped": 1}),
    ],
)
def test_a_report_of_an_engine(text: str, found: tuple, kinds: dict[str, int]) -> None:
    front = EngineBackend(("a", "b", "c"))
    front.host = SimpleNamespace(plausibility=PlausibilityFilter())  # type: ignore[assignment]
    assert front.parse_report(text) == Report(*found)
    assert {one: count for one, count in front.host.plausibility.counts.items() if count} == kinds
    with pytest.raises(ValueError):
        front.parse_report(
            "TEXT a=0.5,b=nan"
        )  # half a report might mislead: unread, and counted so by the host


@pytest.mark.parametrize(
    "usage, counted",
    [
        ("x0:nan", "load_dropped=1"),
        ("x0:inf,utilization:0.5", "load_dropped=1"),
        ("x0:-9", "load_dropped=1"),
        ("x0:big", "load_dropped=1"),
        ("x0:1.1", "load_clipped=1"),
        ("x0:1e999", "load_dropped=1"),
        ("x0:0.5", None),
        ("outstanding:-9", None),
    ],
)
def test_the_adapter_counts_what_cannot_be(usage: str, counted: str | None) -> None:
    said = run_batches(START, [ASK], [f"COMPLETED {GEN} 0 r prefilled 20.5 0 7 {usage}"])[2]
    assert [line for line in said if line.startswith("RECORD")] == (
        [f"RECORD implausible last=r {counted}"] if counted else []
    )
    assert any(line.startswith(f"ASSIGN {GEN} w ") for line in said)


@pytest.mark.parametrize(
    "detail, counted",
    [
        ("-7", "kept_dropped=1"),
        ("nan", "kept_dropped=1"),
        ("inf", "kept_dropped=1"),
        ("101", "kept_clipped=1"),
        ("x", "kept_dropped=1"),
        ("100", None),
    ],
)
def test_the_adapter_counts_kept_tokens_that_cannot_be(detail: str, counted: str | None) -> None:
    said = run_batches(START, [ASK], [f"COMPLETED {GEN} 0 r prefilled 20.5 0 {detail} -"])[2]
    assert [line for line in said if line.startswith("RECORD")] == (
        [f"RECORD implausible last=r {counted}"] if counted else []
    )
    assert any(line.startswith(f"ASSIGN {GEN} w ") for line in said)


def test_a_gateway_whose_lines_nobody_reads_any_more_serves_on(tmp_path: Path) -> None:
    """The other end of its standard error closes; the line that tells of the reload can't be written."""
    given = config()
    process = started(tmp_path, given)
    assert process.stderr is not None
    process.stderr.readline()
    process.stderr.close()
    port = int(given["listen"].rpartition(":")[2])
    for _ in range(3):
        process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        connection.request("GET", "/-/healthy")
        assert connection.getresponse().status == 200
        connection.close()
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
