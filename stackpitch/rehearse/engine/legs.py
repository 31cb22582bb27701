"""Legs as they come over a connection: taken or refused, read, written, spoilt by what troubles the engine."""

import msgspec

from stackpitch.loop import ConnectionLost, Coro, Stream
from stackpitch.rehearse.engine.answers import event, usage
from stackpitch.rehearse.engine.machine import Machine
from stackpitch.rehearse.engine.spoken import spoken
from stackpitch.rehearse.engine.transfer import Transfer
from stackpitch.rehearse.engine.waits import hung, until
from stackpitch.rehearse.engine.work import Work, canonical
from stackpitch.wire import engine, http, orca, sse


class Legs:
    """Each method returns whether the connection may go on."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.transfer = Transfer(machine)

    def leg(self, stream: Stream, reader: http.RequestParser, ours: list[str]) -> Coro[bool]:
        machine = self.machine
        now = machine.world.now()
        fields = msgspec.json.decode(reader.body())
        transfer = msgspec.convert(fields["kv_transfer_params"], engine.Transfer)
        part = "read" if transfer.do_remote_decode else "write" if transfer.do_remote_prefill else "whole"
        limit = fields.get("max_completion_tokens") or fields.get("max_tokens") or 256
        work = Work(
            reader.headers.get("x-request-id", "?"),
            int(reader.headers.get("x-leg", "0")),
            reader.headers.get("x-gateway", "?"),
            part,
            reader.headers.get("x-product", "?"),
            canonical(fields),
            limit,
            transfer,
            "messages" in fields,
            now,
        )
        # How long the answer is: the stand-in client's wish, as no model says so here.
        work.answer_tok = max(1, min(limit, int(fields.get("x_answer_tok", limit))))
        work.task = machine.world.current
        machine.recorder.note(
            "leg",
            key=work.key,
            leg=work.leg,
            gateway=work.gateway,
            part=part,
            state=transfer.state_id,
            product=work.product,
            session=reader.headers.get("x-session-id"),
            tok=work.prompt_tok,
        )
        meant = reader.headers.get(engine.VOCABULARY)
        other = meant is not None and meant != machine.set.vocabulary
        spoken(machine, work, fields, refused=other, guarded=meant is not None)
        if other:
            self.refuse(stream, work, engine.OTHER_VOCABULARY)
            yield from stream.drain()
            return True
        machine.push(part, work.prompt_tok)
        outcome = "broken"
        try:
            if machine.fallen or "hang" in machine.ill:
                outcome = yield from hung(stream)
                return False
            if machine.draining or len(machine.waiting) >= machine.set.queue + max(
                0, machine.set.slots - len(machine.running)
            ):
                outcome = "refused"
                self.refuse(stream, work, engine.DRAINING if machine.draining else engine.FULL)
                yield from stream.drain()
                return True
            if part == "read":
                return (yield from self.read_leg(stream, work, ours))
            return (yield from self.write_leg(stream, work))
        except ConnectionLost:
            return False
        finally:
            work.over = True
            machine.kick()
            if work.ready:
                outcome = "whole"
            machine.recorder.note(
                "leg-end",
                key=work.key,
                leg=work.leg,
                gateway=work.gateway,
                outcome=outcome,
                made=work.made,
                kept=work.kept,
            )

    def refuse(self, stream: Stream, work: Work, code: str) -> None:
        machine = self.machine
        machine.recorder.note("refused", key=work.key, leg=work.leg, code=code, gateway=work.gateway)
        headers = [(orca.HEADER, machine.report())] if machine.set.reports else []
        stream.write(http.response(503, engine.error_body("not taken", code, "server_error"), headers))

    def read_leg(self, stream: Stream, work: Work, ours: list[str]) -> Coro[bool]:
        machine = self.machine
        machine.waiting.append(work)
        machine.kick()
        yield from until(machine.world, stream, lambda: work.ready)
        state = work.transfer.state_id
        ours[:] = [one for one in ours if one in machine.states]
        ours.append(state)
        machine.states[state] = (work, machine.world.now())
        machine.recorder.note("held", state=state, kind="state", gateway=work.gateway)
        if "lose-answer" in machine.ill and machine.random.random() < machine.ill["lose-answer"]:
            yield from hung(stream)
            return False
        body = msgspec.json.encode(
            engine.ReadAnswer(
                engine.Transfer(state, do_remote_prefill=True),
                engine.Usage(work.prompt_tok, 0, engine.Details(work.kept)),
            )
        )
        stream.write(
            http.response(200, body, [(orca.HEADER, machine.report())] if machine.set.reports else [])
        )
        yield from stream.drain()
        return True

    def write_leg(self, stream: Stream, work: Work) -> Coro[bool]:
        machine = self.machine
        if work.part == "write":
            if machine.places.pop(work.transfer.state_id, None) is not None:
                machine.recorder.note("freed", state=work.transfer.state_id, how="taken", kind="place")
            work.fetched = yield from self.transfer.fetch(work)
            if not work.fetched and not machine.set.local_reads and machine.set.role == "writer":
                self.refuse(stream, work, engine.NO_STATE)
                yield from stream.drain()
                return True
        machine.waiting.append(work)
        machine.kick()
        lost = "lose-answer" in machine.ill and machine.random.random() < machine.ill["lose-answer"]
        cut = garbled = -1
        if "cut" in machine.ill and machine.random.random() < machine.ill["cut"]:
            cut = machine.random.randrange(0, work.answer_tok)
        if "garble" in machine.ill and machine.random.random() < machine.ill["garble"]:
            garbled = machine.random.randrange(0, work.answer_tok)
        sent, created = 0, machine.world.wall_ms() // 1000
        while True:
            yield from until(machine.world, stream, lambda: bool(work.tokens) or work.ready)
            if lost:
                work.tokens.clear()
                if work.ready:
                    yield from hung(stream)
                    return False
                continue
            if not sent and work.tokens:
                state = [(engine.STATE_HEADER, "fetched" if work.fetched else "missing")]
                stream.write(
                    http.head(
                        200, [("content-type", "text/event-stream"), ("transfer-encoding", "chunked"), *state]
                    )
                )
            while work.tokens:
                if sent == cut:
                    stream.abort()
                    return False
                if sent == garbled:
                    stream.write(b"zz\r\n~~not a chunk~~\r\n")
                    return False
                stream.write(http.chunk(sse.event(event(work, work.tokens.popleft(), created, sent))))
                sent += 1
            if stream.buffered > 1 << 16:
                yield from stream.drain(1 << 15)
            if work.ready:
                break
        trailer = (
            f"0\r\n{orca.HEADER}: {machine.report()}\r\n\r\n".encode()
            if machine.set.reports
            else http.LAST_CHUNK
        )
        stream.write(http.chunk(sse.event(usage(work, created))) + http.chunk(sse.DONE) + trailer)
        yield from stream.drain()
        if "tail" in machine.ill:
            stream.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale")  # garbage after a whole answer
        return True
