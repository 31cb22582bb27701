"""What a stand-in engine has and can do now: memory, slots, warmth, what waits and runs, what it holds for others.

States wait until fetched, released or too old; runs and queues are bounded by slots and queue.
"""

from collections import deque
from typing import TYPE_CHECKING

from stackpitch.loop import SECOND, Listener, Task, Time, World
from stackpitch.rehearse.engine.kept import Kept
from stackpitch.rehearse.engine.settings import EngineSettings
from stackpitch.rehearse.engine.work import Work
from stackpitch.rehearse.records import Recorder
from stackpitch.wire import orca

if TYPE_CHECKING:  # the library is for days with vocabularies alone
    from stackpitch.rehearse.meaning import Meaning


class Machine:
    """What all parts of one engine share."""

    def __init__(self, world: World, settings: EngineSettings, recorder: Recorder) -> None:
        self.world, self.set, self.recorder = world, settings, recorder
        self.random = world.rng(f"engine {settings.name}")
        self.born = world.now()
        self.waiting: deque[Work] = deque()
        self.running: list[Work] = []
        self.states: dict[
            str, tuple[Work, Time]
        ] = {}  # waiting at this reader, while their connection is open
        self.places: dict[str, tuple[int, Time]] = {}  # held ahead at this writer
        self.kept = Kept(settings.kept_tok)
        self.pushed: deque[tuple[Time, float]] = deque()  # work that came lately; emptied by age
        self.link_busy: dict[bool, Time] = {True: 0, False: 0}
        self.worker: Task | None = None
        self.draining = self.fallen = False
        self.ill: dict[str, float] = {}  # troubles that are on, with their strength
        self.report_at, self.report_text = -SECOND * 10, ""
        self.listener: Listener | None = None
        self.control: Listener | None = None
        self.meaning: Meaning | None = None  # where it has a tokenizer
        self.weights = dict(settings.weights)  # as many as models it was ever told of

    def warmth(self) -> float:
        if not self.set.born_cold:
            return 1.0
        part = (self.world.now() - self.born) / max(1.0, self.set.warm_up_ms * 10)
        return min(1.0, self.set.cold_from + (1 - self.set.cold_from) * part)

    def slowness(self) -> float:
        slow = self.ill.get("slow", 1.0)
        if "slow-by-turns" in self.ill and self.world.now() // SECOND % 2:
            slow *= self.ill["slow-by-turns"]
        return slow / self.warmth()

    def weigh(self, part: str, tok: int) -> float:
        """Seconds of this engine's whole capacity that a leg takes."""
        reading = 0.0 if part == "write" else tok / self.set.read_per_s
        if part == "read":
            return reading
        full_step = (self.set.step_ms + self.set.per_seq_ms * self.set.slots) / 1000
        return reading + self.set.mean_out_tok * full_step / self.set.slots

    def push(self, part: str, tok: int) -> None:
        """A cold engine that is sent too much falls over and stays down."""
        now, window = self.world.now(), self.set.fall_ms * 10
        self.pushed.append((now, self.weigh(part, tok)))
        while self.pushed and self.pushed[0][0] < now - window:
            self.pushed.popleft()
        if self.set.born_cold and self.warmth() < 1.0 and not self.fallen:
            came = sum(work for _, work in self.pushed)
            slack = 2 * came / len(self.pushed)
            budget = self.set.fall_multiple * self.warmth() * self.set.fall_ms / 1000 + slack
            if came > budget:
                self.fallen = True
                self.recorder.note(
                    "fell", came=round(came, 3), budget=round(budget, 3), warmth=round(self.warmth(), 3)
                )

    def memory(self) -> int:
        return (
            sum(one.held() for one in self.running)
            + sum(one.prompt_tok for one, _ in self.states.values())
            + sum(tok for tok, _ in self.places.values())
        )

    def report(self) -> str:
        now = self.world.now()
        if now - self.report_at >= self.set.report_period_ms * 10:
            self.report_at = now
            noise = 1 + self.random.uniform(-self.set.report_noise, self.set.report_noise)
            self.report_text = orca.as_json(
                {
                    "application_utilization": min(1.0, len(self.running) / self.set.slots),
                    "named_metrics.kv_cache_usage_perc": min(
                        1.0, self.memory() / self.set.memory_tok * noise
                    ),
                    "named_metrics.num_requests_waiting": float(len(self.waiting)),
                }
            )
        return self.report_text

    @staticmethod
    def wake(one: Work) -> None:
        if one.task is not None:
            one.task.wake()

    def kick(self) -> None:
        if self.worker is not None:
            self.worker.wake()

    def load(self, model: str, version: str) -> None:
        """It runs on the version before until the new one is there."""

        def loaded() -> None:
            self.weights[model] = version
            self.recorder.note("weights", model=model, version=version)

        self.recorder.note("loads", model=model, version=version)
        if self.weights.get(model) != version:
            self.world.at(self.world.now() + int(self.set.load_ms * 10), loaded)

    def expire(self) -> None:
        now = self.world.now()
        for state, (_, since) in list(self.states.items()):
            if now - since > self.set.state_ttl_ms * 10:
                self.free(state, "expired")
        for state, (_, since) in list(self.places.items()):
            if now - since > self.set.state_ttl_ms * 10:
                del self.places[state]
                self.recorder.note("freed", state=state, how="expired", kind="place")

    def free(self, state: str, how: str) -> bool:
        found = self.states.pop(state, None)
        if found is not None:
            self.recorder.note("freed", state=state, how=how, kind="state", gateway=found[0].gateway)
        return found is not None
