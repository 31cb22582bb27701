"""The steps in which an engine works: from the queue to the running, reading in chunks, a token for each answer."""

import xxhash

from stackpitch.loop import MS, Coro
from stackpitch.rehearse.engine.machine import Machine
from stackpitch.rehearse.engine.work import Work


class Steps:
    """One step after another, as long as the engine runs."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine

    def work(self) -> Coro[None]:
        machine = self.machine
        while True:
            machine.expire()
            self.admit()
            if not machine.running or "hang" in machine.ill or machine.fallen:
                machine.worker = machine.world.current
                with machine.world.limit(50 * MS):
                    yield
                machine.worker = None
                continue
            budget, read = machine.set.chunk, 0
            for one in machine.running:
                if one.to_read and budget:
                    take = min(budget, one.to_read)
                    one.to_read -= take
                    budget -= take
                    read += take
            writing = [one for one in machine.running if not one.to_read and one.part != "read"]
            cost = (
                machine.set.step_ms
                + machine.set.per_seq_ms * len(writing)
                + read / machine.set.read_per_s * 1000
            )
            if not writing:
                cost = max(0.5, read / machine.set.read_per_s * 1000)
            yield from machine.world.sleep(int(cost * machine.slowness() * 10))
            for one in list(machine.running):
                if one.over:
                    machine.running.remove(one)
                elif one.part == "read" and not one.to_read:
                    machine.running.remove(one)
                    one.ready = True
                    machine.kept.add(one.text)
                    machine.wake(one)
                elif one in writing:
                    self.make_token(one)

    def admit(self) -> None:
        """From the queue to the running, first come first, while slots and memory last."""
        machine = self.machine
        while machine.waiting and len(machine.running) < machine.set.slots:
            one = machine.waiting[0]
            if one.over:
                machine.waiting.popleft()
                continue
            if machine.running and machine.memory() + one.prompt_tok + 32 > machine.set.memory_tok:
                return
            machine.waiting.popleft()
            if one.part != "write" or not one.fetched:
                one.kept = min(machine.kept.find(one.text), one.prompt_tok - 1)
                one.to_read = one.prompt_tok - one.kept
            machine.running.append(one)

    def make_token(self, one: Work) -> None:
        machine = self.machine
        if not one.made:
            machine.recorder.note("ran", key=one.key, leg=one.leg, gateway=one.gateway, product=one.product)
        number = xxhash.xxh32_intdigest(f"{one.key} {one.made}".encode()) % 997
        word = f" w{number:03d}"
        one.made += 1
        one.words.append(word)
        one.tokens.append(word)
        if one.made >= one.answer_tok:
            one.ready = True
            machine.running.remove(one)
            machine.kept.add(
                f"{one.text}assistant\n{''.join(one.words)}\n" if one.chat else one.text + "".join(one.words)
            )
        machine.wake(one)
