"""A client that has left may come again with the id of its request; what has an effect then runs once all the same."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from crossing_clients import Client, chat_request, in_body
from crossing_gateway import RunningGateway, side_by_side
from crossing_sockets import fresh_id
from crossing_workers import DECLINED, STREAM_HEAD, Attempt, Worker, fleet
from platform_script import STREAM, event

PAUSE = 0.3  # seconds in which an attempt that must not begin would have begun
MUCH = 3 << 20  # bytes of requests that a client leaves unread


def leaves_in_its_stream(client: Client, attempt: Attempt) -> None:
    attempt.send(STREAM_HEAD + event("one"))
    client.answer(until=in_body(b"one"))
    client.leave("reset")
    attempt.send(event("two"))
    attempt.close()


def leaves_before_its_answer(client: Client, attempt: Attempt) -> None:
    client.leave("reset")
    attempt.answer(STREAM)


def has_its_answer(client: Client, attempt: Attempt) -> None:
    attempt.answer(STREAM)
    assert client.answer().status == 200


def attempt_breaks(client: Client, attempt: Attempt) -> None:
    attempt.reset()
    assert client.answer().status == 502


def attempt_is_declined(client: Client, attempt: Attempt) -> None:
    attempt.answer(DECLINED)
    assert client.answer().status == 429


@dataclass(frozen=True)
class Case:
    """`ends`: how the first request of an id ends; `again`: the status that a second one of the same id gets."""

    product: str
    ends: Callable[[Client, Attempt], None]
    again: int

    def __str__(self) -> str:
        return f"{self.product} {self.ends.__name__}"


CASES = [
    Case("order", leaves_in_its_stream, 409),
    Case("order", leaves_before_its_answer, 409),
    Case("order", has_its_answer, 409),
    Case("order", attempt_breaks, 409),
    Case("pay", leaves_in_its_stream, 409),
    Case("order", attempt_is_declined, 200),
    Case("chat", leaves_in_its_stream, 200),
]


def comes_again(folder: Path, case: Case) -> None:
    workers = fleet("r1", "w1*")
    with RunningGateway(folder, workers, bounds={"maxAttempts": 2, "retryAfter": True}) as gateway:
        client = gateway.ask(case.product)
        case.ends(client, workers[1].next(client.name))
        gateway.looked()
        workers[1].script = lambda attempt: attempt.answer(STREAM)
        before = len(workers[1].attempts(client.name))
        again = gateway.client()
        again.send(chat_request(client.name, case.product))
        assert again.answer().status == case.again
        gateway.looked()
        assert len(workers[1].attempts(client.name)) - before == (case.again == 200)


def test_an_id_that_comes_again_after_its_client_left_runs_once(tmp_path: Path) -> None:
    """Guards against an effect that happens twice, as the first request of the id was forgotten with its client."""
    side_by_side(comes_again, tmp_path, CASES)


def sends_much_and_closes(client: Client, names: list[str]) -> None:
    one = b"".join(chat_request(name, "order", body=b"x" * 10_000) for name in names)
    client.socket.setblocking(False)
    sent = 0
    while sent < len(one):
        try:
            sent += client.socket.send(one[sent : sent + 65536])
        except BlockingIOError:
            break
    client.socket.close()


def no_attempts(workers: list[Worker], names: list[str]) -> bool:
    return not any(worker.attempts(name) for worker in workers for name in names)


def test_what_a_client_left_unread_is_not_sent_on(tmp_path: Path) -> None:
    """Its system holds megabytes of requests as it closes; the gateway finds them and the end in one turn."""
    workers = fleet("r1", "w1")
    with RunningGateway(tmp_path, workers) as gateway:
        names = [fresh_id() for _ in range(MUCH // 10_000)]
        client = gateway.client()
        with gateway.stopped(PAUSE):
            sends_much_and_closes(client, names)
        gateway.served()
        assert no_attempts(workers, names)
