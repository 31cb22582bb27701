"""A process that is killed, and its successor under the same address and configuration."""

from pathlib import Path

from crossing_gateway import RunningGateway
from crossing_workers import STREAM_HEAD, fleet
from platform_script import READ, STREAM, event


def test_a_successor_serves_and_does_nothing_for_what_was_lost(tmp_path: Path) -> None:
    """Killed with a connection just accepted, and with requests unread, during prefill and mid-stream: their clients see
    their connections end. The successor sends nothing on for them, nor releases what it never held, and serves all
    that come anew, with workers that still answer the dead."""
    workers = fleet("r1*", "w1*")
    with RunningGateway(tmp_path, workers) as gateway:
        prefill, streaming = gateway.ask("order"), gateway.ask("order")
        read = workers[0].next(prefill.name)
        workers[0].next(streaming.name).answer(READ)
        write = workers[1].next(streaming.name)
        write.send(STREAM_HEAD + event("first"))
        accepted = gateway.client()
        gateway.looked()
        with gateway.stopped():
            unread = gateway.ask("order")
            gateway.process.kill()
        for one in (prefill, streaming, accepted, unread):
            _, got = one.ended()
            assert not got.endswith(b"0\r\n\r\n"), "a stream that was not whole ended as if it were"
        gateway.replace()
        read.answer(READ)
        for _ in range(3):
            client = gateway.ask("order")
            workers[0].next(client.name).answer(READ)
            workers[1].next(client.name).answer(STREAM)
            answer = client.answer()
            assert (answer.status, answer.whole) == (200, True), f"{answer}"
        sent = {
            one.name: [worker.attempts(one.name) for worker in workers]
            for one in (prefill, streaming, unread)
        }
        assert [len(found) for found in sent[prefill.name]] == [1, 0]
        assert [len(found) for found in sent[streaming.name]] == [1, 1]
        assert [len(found) for found in sent[unread.name]] == [0, 0]
