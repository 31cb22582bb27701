"""Workers that drain, vanish, are replaced, hang or break off: one final answer to the client, nothing of a
stray answer reaches another request.

Stand-in workers hold each attempt; discovery's news, strays on kept connections and further requests are put
into the gateway's sockets before, in the same turn or after.
"""

import time
from pathlib import Path

import pytest
from crossing_clients import Client, in_body
from crossing_gateway import RunningGateway, fill_the_budget, side_by_side
from crossing_sockets import wait_delivered, wait_for
from crossing_workers import STREAM_END, STREAM_HEAD, Attempt, Worker, attempt_anywhere, fleet
from platform_script import READ, SETTINGS, STREAM, event

from stackpitch.wire import http

SLOW_CONNECT = SETTINGS["bounds"] | {"connectTimeoutMs": 3000}
GAP = 5.0  # seconds for which a client is kept waiting at most after a worker's last event
STRAY = STREAM_HEAD + event("stray") + STREAM_END
STRAYS = {
    "a whole answer": STRAY,
    "half a line": b"HTTP/1.1 20",
    "half a stream": STREAM_HEAD + event("stray"),
    "a read's answer": http.response(202, b'{"cached_tokens":77}'),
    "noise": b"\x00stray\r\n\r\n",
}


def one_answer(client: Client, marker: bytes = b"") -> None:
    """Whole, without anything stray, and nothing behind it."""
    answer = client.answer()
    assert (
        (answer.status, answer.whole) == (200, True) and b"stray" not in answer.body and marker in answer.body
    ), f"{answer}"
    nothing_more(client)


def nothing_more(client: Client) -> None:
    """Another answer on the same connection is that to its next request."""
    client.send(b"GET /-/healthy HTTP/1.1\r\nhost: a\r\n\r\n")
    answer = client.answer()
    assert answer.body == b"{}", f"behind the answer came {answer}"


@pytest.mark.parametrize("role", ["prefill", "decode"])
@pytest.mark.parametrize(
    "when", ["with the answer", "at rest", "same turn as the next request", "shut, with the next request"]
)
def test_a_stray_on_a_connection(tmp_path: Path, when: str, role: str) -> None:
    """Behind the whole answer of an attempt, as its connection rests, and as it would be used again."""
    workers = fleet("r1*", "w1*")
    reader, writer = workers
    with RunningGateway(tmp_path, workers) as gateway:
        for kind, stray in STRAYS.items():
            first = gateway.ask("chat")
            read = reader.next(first.name)
            read.answer(READ + (stray if (when, role) == ("with the answer", "prefill") else b""))
            write = writer.next(first.name)
            write.answer(STREAM + (stray if (when, role) == ("with the answer", "decode") else b""))
            one_answer(first)
            spoilt = read if role == "prefill" else write
            if when == "at rest":
                spoilt.send(stray)
                wait_delivered(spoilt.stream)
            with gateway.stopped():
                second = gateway.ask("chat")
                if "next request" in when:
                    spoilt.send(stray)
                    wait_delivered(spoilt.stream)
                if when.startswith("shut"):
                    spoilt.close()
            reader.next(second.name).answer(READ)
            writer.next(second.name).answer(STREAM_HEAD + event(f"of {second.name}") + STREAM_END)
            try:
                one_answer(second, b"of " + second.name.encode())
            except AssertionError as wrong:
                raise AssertionError(f"{kind}: {wrong}") from None
            first.close()
            second.close()


CHANGES = ["draining", "removed", "replaced"]


@pytest.mark.parametrize("stage", ["prefill", "decode", "mid-stream"])
def test_a_list_that_crosses_an_attempt(tmp_path: Path, stage: str) -> None:
    """The worker drains, vanishes, or another id stands at its address, in the same turn as its answer: the
    attempt goes on and what comes next goes elsewhere, or to the new one."""
    workers = fleet("r1*", "w1*")
    at = 0 if stage == "prefill" else 1
    with RunningGateway(tmp_path, workers) as gateway:
        discovery, name = gateway.discovery, workers[at].name
        for number, change in enumerate(CHANGES):
            client = gateway.ask("order")
            read = workers[0].next(client.name)
            write: Attempt | None = None
            if stage != "prefill":
                read.answer(READ)
                write = workers[1].next(client.name)
            if stage == "mid-stream":
                assert write is not None
                write.send(STREAM_HEAD + event("first"))
                assert client.answer(until=in_body(b"first")).status == 200
            with gateway.stopped():
                if change == "replaced":
                    discovery.tell(name, phase="removed")
                    name = f"{workers[at].name[0]}{number + 10}"
                    discovery.tell(name, **workers[at].member | {"id": name})
                else:
                    discovery.tell(name, phase=change)
                if stage == "prefill":
                    read.answer(READ)
                elif write is not None:
                    write.answer(STREAM if stage == "decode" else event("last") + STREAM_END)
            if write is None:
                workers[1].next(client.name).answer(STREAM)
            if stage == "mid-stream":
                assert client.rest_of_answer().count(b"last") == 1
                nothing_more(client)
            else:
                one_answer(client)
            discovery.taken()
            if change != "replaced":
                discovery.tell(name, **workers[at].member | {"id": name})
                discovery.taken()
            other = gateway.ask("order")
            workers[0].next(other.name).answer(READ)
            workers[1].next(other.name).answer(STREAM)
            one_answer(other)


def test_an_attempt_that_waited_is_not_sent_to_a_worker_that_drains(tmp_path: Path) -> None:
    """It waits for a place among the connections to workers; a watch since the new list shows that the
    gateway has it, and only then a place comes free."""
    side_by_side(waits_as_it_drains, tmp_path, ["draining", "removed"])


def waits_as_it_drains(folder: Path, change: str) -> None:
    workers = fleet("r1*", "w1")
    with RunningGateway(folder, workers, sockets=32, bounds=SLOW_CONNECT) as gateway:
        attempts = fill_the_budget(gateway, workers[0])
        waiting = gateway.ask("order")
        gateway.looked()
        told = gateway.discovery.tell("r1", phase=change)
        gateway.discovery.taken()
        attempts[0].answer(READ)
        answer = waiting.answer()
        assert answer.whole, f"{answer}"
        sent = workers[0].attempts(waiting.name)
        assert not sent, (
            f"an attempt began {sent[0].began - told:.3f} s after the list had said that r1 is {change}"
        )


def test_an_attempt_whose_connection_was_in_the_making(tmp_path: Path) -> None:
    """The list says that its worker drains or is gone before its connection comes about."""
    side_by_side(connects_as_it_drains, tmp_path, ["draining", "removed"])


def connects_as_it_drains(folder: Path, change: str) -> None:
    workers = [Worker("r1"), Worker("w1", full=True)]
    with RunningGateway(folder, workers, bounds=SLOW_CONNECT) as gateway:
        client = gateway.ask("order")
        wait_for(lambda: workers[1].connecting() == 1, "no connection to the decode worker is in the making")
        told = gateway.discovery.tell("w1", phase=change)
        gateway.discovery.taken()
        workers[1].accept()
        answer = client.answer()
        assert answer.whole, f"{answer}"
        sent = workers[1].attempts(client.name)
        assert not sent, (
            f"an attempt began {sent[0].began - told:.3f} s after the list had said that w1 is {change}"
        )


def test_workers_that_hang_or_break_off(tmp_path: Path) -> None:
    """Before the first event another worker answers; after it the stream ends, without its last chunk, in 5 s
    at most. All at once, and whoever asks meanwhile is served."""
    workers = fleet("r1", "w1*", "w2*", "w3*", "w4*")
    writers = workers[1:]
    with RunningGateway(tmp_path, workers) as gateway:
        hung = gateway.ask("chat")
        first = attempt_anywhere(writers, hung.name)
        wait_for(
            lambda: sum(len(one.attempts(hung.name)) for one in writers) > 1,
            "no further attempt after a hung one",
        )
        second = next(one for worker in writers for one in worker.attempts(hung.name) if one is not first)
        wait_for(lambda: bool(second.whole), "it is not whole")
        with gateway.stopped():
            second.answer(STREAM)
            first.answer(STRAY)
        one_answer(hung)
        clients: dict[str, Client] = {}
        attempts: dict[str, Attempt] = {}
        for what in (
            "hangs after an event",
            "hangs in an event",
            "resets after an event",
            "closes after an event",
            "closes in an event",
            "ends without [DONE]",
        ):
            clients[what] = gateway.ask("order", 9000)
            attempts[what] = attempt_anywhere(writers, clients[what].name)
            attempts[what].send(STREAM_HEAD + event("first"))
            assert clients[what].answer(until=in_body(b"first")).status == 200
        last = time.monotonic()
        for what in ("hangs in an event", "closes in an event"):
            attempts[what].send(event("second")[:30])
        with gateway.stopped():
            attempts["resets after an event"].reset()
            attempts["closes after an event"].close()
            attempts["closes in an event"].close()
            attempts["ends without [DONE]"].answer(http.LAST_CHUNK)
        for what, client in clients.items():
            ending, rest = client.ended()
            assert ending == "end", f"{what}: {ending}"
            assert b"first" not in rest and not rest.endswith(http.LAST_CHUNK), f"{what}: {rest!r}"
            took = time.monotonic() - last
            assert took <= GAP, f"{what}: ended after {took:.1f} s"
