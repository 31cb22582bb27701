"""Bad input costs its own connection alone, with an answer where one is owed: others are served at the same
time.

Clients and stand-in workers send what is spoilt in one instant with good requests: the process is stopped,
all of it is put into its sockets, and one turn of its loop finds it.
"""

import json
import signal
import time
from pathlib import Path

from crossing_clients import Client, chat_request, in_body
from crossing_discovery import ListDiscovery
from crossing_gateway import RunningGateway
from crossing_sockets import fresh_id
from crossing_workers import STREAM_HEAD, Attempt, attempt_anywhere, fleet
from platform_script import READ, STREAM, WHOLE, event
from test_crossings_ends import BAD

ODD_HEADS = {
    "no id": {b"req-id": b"x-id"},
    "no kind": {b"req-kind": b"x-kind"},
    "an unknown kind": {b"chat\r\n": b"talk\r\n"},
    "no deadline": {b"req-deadline-ms": b"x-deadline"},
    "a bad deadline": {b"8000": b"8e3"},
    "a bad extra": {b"prompt_len=": b"prompt_len"},
    "another path": {b"/v1/chat/completions": b"/v1/other"},
    "another method": {b"POST ": b"PUT "},
    "an upgrade": {b"req-id": b"connection: upgrade\r\nupgrade: websocket\r\nreq-id"},
    "two lengths": {b"req-id": b"content-length: 99\r\nreq-id"},
    "length and chunks": {b"req-id": b"transfer-encoding: chunked\r\nreq-id"},
}


def test_bad_requests_in_one_turn_with_good_ones(tmp_path: Path) -> None:
    """Each bad one gets an error of its own; good ones before, between and after them are all answered, also
    a second on a connection kept from before, and a stream under way goes on."""
    workers = fleet("r1*", "w1*")
    with RunningGateway(tmp_path, workers) as gateway:
        under_way, kept = gateway.ask("order"), gateway.ask("order")
        workers[0].next(kept.name).answer(READ)
        workers[1].next(kept.name).answer(STREAM)
        assert kept.answer().status == 200
        workers[0].next(under_way.name).answer(READ)
        rest = workers[1].next(under_way.name)
        rest.send(STREAM_HEAD + event("first"))
        assert under_way.answer(until=in_body(b"first")).status == 200
        workers[0].script = lambda attempt: attempt.answer(READ)
        workers[1].script = lambda attempt: attempt.answer(STREAM)
        bad: dict[str, Client] = {}
        good: list[Client] = [kept]
        with gateway.stopped():
            for what, changes in ODD_HEADS.items():
                request = chat_request(fresh_id())
                for old, new in changes.items():
                    assert old in request, what
                    request = request.replace(old, new, 1)
                bad[what] = gateway.client()
                bad[what].send(request)
                good.append(gateway.ask())
            for what, (data, status) in BAD.items():
                if status == 400 and len(data) < 200:
                    bad[what] = gateway.client()
                    bad[what].send(data)
                    good.append(gateway.ask())
            kept.ask()
            rest.send(event("second"))
        for number, client in enumerate(good):
            assert client.answer().status == 200, f"good request {number}"
        found = {}
        for what, client in bad.items():
            answer = client.answer()
            if not (answer.whole and 400 <= answer.status < 500 and client.ended() == ("end", b"")):
                found[what] = answer
        assert not found, f"{found}"
        rest.answer(event("last") + STREAM[len(STREAM_HEAD) :])
        got = b"".join(data for _, data in under_way.pieces) + under_way.rest_of_answer()
        assert got.count(b"second") == 1 and got.endswith(b"0\r\n\r\n"), f"{got[-200:]!r}"


def test_spoilt_answers_in_one_turn_with_good_ones(tmp_path: Path) -> None:
    """Of a decode worker, to one request of two; the other one's answer comes whole, and nothing of the
    spoilt one is in it."""
    workers = fleet("r1*", "w1*", "w2*", "w3*", "w4*")
    kinds = ("noise", "bad-head", "long-head", "bad-chunk", "unfit-chunk", "no-event")
    with RunningGateway(tmp_path, workers) as gateway:
        for kind in kinds:
            spoilt, good = gateway.ask("order"), gateway.ask("order")
            writes: dict[str, Attempt] = {}
            for client in (spoilt, good):
                workers[0].next(client.name).answer(READ)
            for client in (spoilt, good):
                writes[client.name] = attempt_anywhere(workers[1:], client.name)
            with gateway.stopped():
                writes[spoilt.name].answer(WHOLE[kind].replace(b"|", b""))
                writes[good.name].answer(STREAM)
            answer = good.answer()
            assert answer.status == 200 and answer.whole and b"noise" not in answer.body, f"{kind}: {answer}"
            other = spoilt.answer()
            assert other.status in (200, 429, 502) and b"noise" not in other.body, f"{kind}: {other}"
            assert other.whole if other.status != 200 else (not other.whole and other.ending == "end"), (
                f"{kind}: {other}"
            )
            for client in (spoilt, good):
                client.close()


def test_a_configuration_that_is_still_being_written_at_its_signal(tmp_path: Path) -> None:
    """Nobody sends the signal again: the address that the whole file names is asked in time."""
    workers = fleet("r1", "w1")
    with RunningGateway(tmp_path, workers) as gateway:
        other = ListDiscovery(workers)
        file = tmp_path / "c"
        whole = json.dumps(json.loads(file.read_text()) | {"discovery": f"127.0.0.1:{other.port}"})
        file.write_text(whole[: len(whole) // 2])
        gateway.signal(signal.SIGHUP)
        time.sleep(0.5)
        file.write_text(whole)
        other.taken()
        gateway.served()
