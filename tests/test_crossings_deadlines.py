"""The deadline told to a worker is at most what the client has left at that moment, with 0.15 s of slack.

The client notes when its first byte went out. Stand-in workers note when an attempt's first byte came and
what its `req-deadline-ms` says, and let it hang or break, or stand behind a full backlog; attempts of clients
that have left hold all connections that may be open to workers.
"""

import time
from pathlib import Path

from crossing_clients import Client, chat_request
from crossing_gateway import RunningGateway, fill_the_budget, side_by_side
from crossing_sockets import fresh_id, wait_for
from crossing_workers import Attempt, Worker, fleet
from platform_script import READ, SETTINGS, STREAM

SLACK_MS = 150
SLOW_CONNECT = SETTINGS["bounds"] | {"connectTimeoutMs": 3000}


def check(attempt: Attempt, began: float, limit_ms: int) -> None:
    """`began`: when the client's first byte had gone out."""
    left = limit_ms - (attempt.began - began) * 1000
    assert attempt.deadline_ms <= left + SLACK_MS, (
        f"{attempt.worker.name} was told {attempt.deadline_ms} ms, "
        f"but the client has {left:.0f} of {limit_ms} ms left"
    )


def test_first_attempts(tmp_path: Path) -> None:
    """Of products with short and long limits, at prefill and at decode, also where the request comes in
    pieces."""
    workers = fleet("r1*", "w1*")
    with RunningGateway(tmp_path, workers) as gateway:
        for product in ("chat", "pay", "order"):
            for limit_ms, pieces in ((400, 1), (900, 3), (3000, 2)):
                client = gateway.client()
                client.name = fresh_id()
                request = chat_request(client.name, product, limit_ms)
                client.send(request[:50])
                began = time.monotonic()
                for _ in range(pieces - 1):
                    gateway.looked()
                    time.sleep(0.1)
                client.send(request[50:])
                attempt = workers[0].next(client.name)
                check(attempt, began, limit_ms)
                time.sleep(0.05)
                attempt.answer(READ)
                further = workers[1].next(client.name)
                check(further, began, limit_ms)
                further.answer(STREAM)
                assert client.answer().status == 200
                client.close()


def test_further_attempts(tmp_path: Path) -> None:
    """At each prefill worker the attempt hangs or breaks after a while, then at each decode worker."""
    side_by_side(fails_again_and_again, tmp_path, ["time-out", "reset"])


def fails_again_and_again(folder: Path, fault: str) -> None:
    workers = fleet("r1*", "r2*", "w1*", "w2*")
    with RunningGateway(folder, workers) as gateway:
        client = gateway.ask(limit_ms=3000)
        seen: list[Attempt] = []

        def further(count: int) -> Attempt:
            def come() -> bool:
                seen[:] = sorted(
                    (one for worker in workers for one in worker.attempts(client.name) if one.whole),
                    key=lambda one: one.began,
                )
                return len(seen) >= count

            wait_for(come, f"attempt {count} did not begin")
            check(seen[-1], client.asked, 3000)
            return seen[-1]

        first = further(1)
        if fault == "reset":
            time.sleep(0.3)
            first.reset()
        further(2).answer(READ)
        third = further(3)
        if fault == "reset":
            time.sleep(0.2)
            third.reset()
        further(4).answer(STREAM)
        assert client.answer().status == 200


def test_after_a_wait_for_a_full_backlog(tmp_path: Path) -> None:
    """The connection comes about when the system tries again, a second later."""
    workers = [Worker("r1"), Worker("w1", full=True)]
    with RunningGateway(tmp_path, workers, bounds=SLOW_CONNECT) as gateway:
        clients = {limit_ms: gateway.ask("order", limit_ms) for limit_ms in (1600, 2500, 8000)}
        wait_for(
            lambda: workers[1].connecting() == len(clients),
            "no connections to the decode worker are in the making",
        )
        workers[1].accept()
        attempts = {limit_ms: workers[1].next(client.name) for limit_ms, client in sorted(clients.items())}
        assert all(client.answer().status == 200 for client in clients.values())
        for limit_ms, attempt in attempts.items():
            check(attempt, clients[limit_ms].asked, limit_ms)


def test_after_a_wait_for_a_place(tmp_path: Path) -> None:
    """All connections that may be open to workers are held by others' attempts; one is given back or dropped
    after 0.45 s."""
    side_by_side(waits_for_a_place, tmp_path, ["given back", "dropped"])


def waits_for_a_place(folder: Path, how: str) -> None:
    workers = fleet("r1*", "w1")
    with RunningGateway(folder, workers, sockets=32, bounds=SLOW_CONNECT) as gateway:
        attempts = fill_the_budget(gateway, workers[0])
        client = gateway.ask("order", 700)
        gateway.looked()
        time.sleep(0.45)
        assert not workers[0].attempts(client.name), "it does not wait for a place"
        if how == "given back":
            attempts[0].answer(READ)
        else:
            attempts[0].reset()
        check(workers[0].next(client.name), client.asked, 700)


def test_a_request_that_waited_for_the_process(tmp_path: Path) -> None:
    """It lay in the gateway's socket for 0.5 s, on a new connection or on a kept one, before the process went
    on. The system knows how long ago bytes came (`TCP_INFO`, `tcpi_last_data_recv`)."""
    workers = fleet("r1", "w1")
    with RunningGateway(tmp_path, workers) as gateway:
        kept = gateway.ask()
        assert kept.answer().status == 200
        with gateway.stopped(0.5):
            clients: list[Client] = [gateway.ask(limit_ms=800), kept.ask(limit_ms=800)]
        for client in clients:
            check(workers[0].next(client.name), client.asked, 800)


def test_a_process_that_did_not_run_while_its_last_attempt_timed_out(tmp_path: Path) -> None:
    """It finds the attempt's time-out and its own watch on the request due in one turn. The module answers: a chat may
    be asked for again."""
    workers = fleet("r1*", "w1")
    with RunningGateway(tmp_path, workers) as gateway:
        client = gateway.ask("chat", 500)
        workers[0].next(client.name)
        gateway.looked()
        with gateway.stopped(0.7):
            pass
        assert client.answer().status == 429
