"""Whole processes on loopback: short days, gateways broken on purpose, and a published client library."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import openai
import pytest
from duties_stage import free
from played_days import ROOT, Play, Played, as_processes, plays

RULES = ("answered", "effects", "drains", "cold", "pinned")


SMALL = "tests/days/small.jsonnet"


def broken(rule: str) -> list[Play]:
    """What they break does not depend on speed, but for the server that is to fall over: nothing else takes its time."""
    return [as_processes(SMALL, f"play={rule}", more=("--broken", rule), alone=rule == "cold")]


@plays(broken)
@pytest.mark.parametrize("rule", RULES)
def test_a_gateway_broken_on_purpose_is_caught(rule: str, played: list[Played]) -> None:
    found = played[0].found
    assert found["rules"][rule] > 0 and found["exit"] == 1, found["rules"]
    breach = next(one for one in found["breaches"] if one["rule"] == rule)
    assert breach["story"] and breach["text"]


@plays(lambda play: [as_processes(SMALL, f"play={play}")])
@pytest.mark.parametrize("play", ["storm", "all-cold"])
def test_a_day_keeps_all_rules(play: str, played: list[Played]) -> None:
    found = played[0].found
    assert not any(found["rules"].values()) and found["exit"] == 0, found["breaches"][:3]
    assert found["generations"] > 30 and found["ends"]["streamed"] > 15
    if play == "storm":
        assert found["legs"] > found["generations"]
        assert found["ends"].get("broken") or found["ends"].get("refused"), "no client met the killed gateway"


@pytest.fixture
def ports(tmp_path: Path) -> Iterator[tuple[int, Path]]:
    """A gateway and two stand-in engines; yields the door's port and the engines' records."""
    blocks = [
        16_400 + (os.getpid() + step) % 150 * 10 for step in range(150)
    ]  # below those of days, above those of duties
    base = next(one for one in blocks if all(map(free, range(one, one + 10))))
    names = {"r1": "reader", "w1": "writer"}
    records, processes = tmp_path / "records", []
    for number, (name, role) in enumerate(names.items()):
        (tmp_path / name).write_text(
            json.dumps(
                {
                    "name": name,
                    "port": base + 2 * number,
                    "role": role,
                    "control_port": base + 2 * number + 1,
                    "records": str(records),
                }
            )
        )
    kinds = {role: {"role": role, "memory_tok": 100000} for role in names.values()}
    product = {"slo_ms": 1000, "time_limit_ms": 1500}
    (tmp_path / "fleet").write_text(
        json.dumps(
            {
                "version": 1,
                "servers": [
                    {"name": name, "host": "127.0.0.1", "port": base + 2 * number, "kind": role}
                    for number, (name, role) in enumerate(names.items())
                ],
            }
        )
    )
    (tmp_path / "gateway").write_text(
        json.dumps(
            {
                "roster": str(tmp_path / "fleet"),
                "kinds": kinds,
                "door": {"port": base + 9},
                "admin": {"port": base + 8},
                "products": {
                    "ask": {"effect": "idempotent", "models": ["ask"], **product},
                    "order": {"effect": "side-effecting", "models": ["order"], **product},
                },
            }
        )
    )
    stackpitch = [sys.executable, "-m", "stackpitch"]
    for words in (
        ["engine", tmp_path / "r1"],
        ["engine", tmp_path / "w1"],
        ["serve", "-c", tmp_path / "gateway"],
    ):
        processes.append(subprocess.Popen([*stackpitch, *words], cwd=ROOT))
    try:
        for port in (base, base + 2, base + 9):
            wait_for(port)
        yield base, records
        processes[2].send_signal(signal.SIGTERM)
        assert processes[2].wait(10) == 0
    finally:
        for process in processes:
            process.kill()
            process.wait()


def wait_for(port: int) -> None:
    import socket

    for _ in range(300):
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise AssertionError(f"nothing listens on {port}")


def test_a_published_client_library_streams_and_does_not_repeat_what_was_terminated(
    ports: tuple[int, Path],
) -> None:
    base, records = ports
    client = openai.OpenAI(base_url=f"http://127.0.0.1:{base + 9}/v1", api_key="k", max_retries=3)
    say = [{"role": "system", "content": "be brief"}, {"role": "user", "content": "hello"}]
    stream = client.chat.completions.create(model="ask", messages=say, stream=True, max_tokens=12)
    words = [one.choices[0].delta.content for one in stream if one.choices]
    assert len(words) == 12 and all(words)
    whole = client.chat.completions.create(model="ask", messages=say, max_tokens=6)
    assert whole.usage.completion_tokens == 6 and len(whole.choices[0].message.content.split()) == 6
    text = client.completions.create(model="ask", prompt="once upon", max_tokens=4)
    assert len(text.choices[0].text.split()) == 4
    assert [one.id for one in client.models.list()] == ["ask", "order"]
    with pytest.raises(openai.BadRequestError, match="allowed: ask, order"):
        client.chat.completions.create(model="nope", messages=say)

    trouble = json.dumps({"name": "lose-answer", "strength": 1.0, "on": True}).encode()
    import urllib.request

    urllib.request.urlopen(
        urllib.request.Request(f"http://127.0.0.1:{base + 3}/t", trouble), timeout=5
    ).read()
    with pytest.raises(openai.InternalServerError) as caught:
        client.chat.completions.create(model="order", messages=say, stream=True, max_tokens=5)
    assert caught.value.status_code == 502 and caught.value.code == "terminated"
    lines = [json.loads(line) for line in records.read_text().splitlines()]
    assert sum(one["what"] == "ran" and one["product"] == "order" for one in lines) == 1
    assert (
        sum(one["what"] == "leg" and one["product"] == "order" and one["who"] == "w1" for one in lines) == 1
    )
