"""One tenure of the duty: operators' words in, judging, the record, and telling each gateway what it does not know yet."""

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from stackpitch.duties.calls import Answer
from stackpitch.duties.vocabulary.carrying import Tell, paged
from stackpitch.duties.vocabulary.change import Change, Machine, read, written
from stackpitch.duties.vocabulary.errors import VerdictDiffers, VocabularyError, VocabularyUnknown
from stackpitch.duties.vocabulary.judging import Looked, Outcome, Task
from stackpitch.duties.vocabulary.verdicts.judge import Digests
from stackpitch.duties.work import Tenure
from stackpitch.loop import Coro, Group, Time
from stackpitch.loop import Task as Running
from stackpitch.wire.decoding import decode

if TYPE_CHECKING:
    from stackpitch.duties.vocabulary.work import VocabularyWork

ROUND, AGAIN = 2_000, 600_000  # between rounds; before judging the same files again that could not be judged
AT_ONCE, LATER = 32, 10_000  # gateways told at once; before one that gave no answer is told again
MOST_ASKED = 16  # operators' words that wait; more are turned away


class Asking(msgspec.Struct, frozen=True):
    """`kind`: announce (names of old and new vocabulary), confirm (digest of the verdict), or call off (why)."""

    kind: str
    old: str = ""
    new: str = ""
    verdict: str = ""
    why: str = ""


class Waiting:
    """An operator's word that waits for this round's end."""

    def __init__(self, asking: Asking, task: Running) -> None:
        self.asking, self.task = asking, task
        self.answer: Answer | None = None
        self.gone = False  # its task waits no longer, or for something else


class Owning:
    def __init__(self, work: "VocabularyWork", tenure: Tenure, value: bytes) -> None:
        self.work, self.tenure, self.value = work, tenure, value
        self.world = work.world
        self.told: dict[int, int] = {}  # by gateway, version of the change that it has; no more than gateways
        self.waiting: deque[Waiting] = deque()
        self.heard: list[Waiting] = []  # this round's, until the record is kept
        self.verdicts: tuple[Digests, bytes] | None = None  # judged here, or known from an earlier owner
        self.not_before = 0  # judging that failed is tried again then, or with other files
        self.failed_on: Looked | None = None
        self.resting: Running | None = None
        self.judging = False
        self.outcome: Outcome | None = None  # of the judging that has ended
        self.telling: set[int] = set()  # gateways that are being told
        self.later: dict[
            int, Time
        ] = {}  # by gateway that gave no answer, when it is told again; no more than gateways
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self._answered([*self.heard, *self.waiting], Answer("stepped down meanwhile; ask again"))

    def asked(self, asking: Asking) -> Coro[Answer]:
        if len(self.waiting) >= MOST_ASKED or self.closed:
            return Answer("too many words wait; ask again")
        one = Waiting(asking, self.world.current)
        self.waiting.append(one)
        if self.resting is not None:
            self.resting.wake()  # from its sleep, nothing else
        try:
            with self.world.limit(100_000):
                while one.answer is None:
                    yield
        finally:
            one.gone = True
        return one.answer or Answer("no answer yet; look at the change's state")

    @staticmethod
    def _answered(heard: list[Waiting], answer: Answer) -> None:
        for one in heard:
            one.answer = one.answer or answer
            if not one.gone:
                one.task.wake(True)

    def run(self) -> Coro[None]:
        """Raises RecordMalformed, SteppedDown."""
        machine = Machine(read(self.value), self.work.most_share)

        def body(group: Group) -> Coro[None]:
            kept = machine.record
            while True:
                self._words(machine)
                self._files(machine)
                self._outcome(machine)
                if machine.record != kept:
                    yield from self.tenure.write_record(written(machine.record))
                    kept = machine.record
                self._answered(self.heard, Answer("yes"))
                self.heard = []
                if machine.change is not None:
                    self._judge(group, machine.change)
                    self._tell(group, machine.change)
                if not self.waiting:
                    self.resting = self.world.current
                    yield from self.world.sleep(ROUND)
                    self.resting = None

        yield from self.world.group(body)

    # What changes the record.

    def _words(self, machine: Machine) -> None:
        while self.waiting:
            one = self.waiting.popleft()
            self.heard.append(one)
            try:
                self._word(machine, one.asking)
            except VocabularyError as wrong:
                one.answer = Answer(f"{wrong}; {wrong.remedy}")

    def _word(self, machine: Machine, asking: Asking) -> None:
        digests = self.work.looked.vocabularies
        if asking.kind == "announce":
            for name in (asking.old, asking.new):
                if name not in digests:
                    raise VocabularyUnknown("announce", name, tuple(sorted(digests)))
            machine.announce(digests[asking.old], digests[asking.new], self.work.looked.profiles)
        elif asking.kind == "confirm":
            machine.confirm(asking.verdict)
        elif asking.kind == "call off":
            machine.call_off(asking.why)
        else:
            raise VocabularyUnknown("asked", asking.kind, ("announce", "call off", "confirm"))

    def _files(self, machine: Machine) -> None:
        if self.work.looked.profiles:
            machine.edited(self.work.looked.profiles)
        machine.seen(self.work.servers())

    def _judge(self, group: Group, change: Change) -> None:
        """If the change wants it: to be judged, or judged by an earlier owner whose verdicts are not here."""
        if self.judging or not (change.word == "announced" or change.acting) or self._have(change):
            return
        names = {digest: name for name, digest in self.work.looked.vocabularies.items()}
        if self.world.now() < self.not_before and self.failed_on is self.work.looked:
            return
        if change.old not in names or change.new not in names:
            return
        self.judging = True
        group.spawn(self._judged_aside(Task(self.work.files, names[change.old], names[change.new])), "judge")

    def _judged_aside(self, task: Task) -> Coro[None]:
        self.outcome = yield from self.work.way.judge(task)
        self.judging = False

    def _outcome(self, machine: Machine) -> None:
        outcome, self.outcome = self.outcome, None
        if outcome is not None and machine.change is not None:
            try:
                self._judged(machine, machine.change, outcome)
            except VocabularyError as wrong:
                self._failed(f"{wrong}", wrong.remedy)

    def _have(self, change: Change) -> bool:
        if self.verdicts is not None and self.verdicts[0] == change.digests:
            return change.word != "announced"
        here = self.work.known.verdicts_on(change) if change.acting else None
        if here is not None:
            self.verdicts = change.digests, here.encoded()
        return here is not None

    def _judged(self, machine: Machine, change: Change, outcome: Outcome) -> None:
        if outcome.problem or outcome.summary is None:
            self._failed(outcome.problem, outcome.remedy)
            return
        digests = decode(outcome.verdicts, type=About).digests
        if digests != change.digests:
            return  # the files have changed since they were looked at; the next look says so
        paged(outcome.verdicts, outcome.summary.digest)  # what can't be told is not allowed either
        if change.word == "announced":
            machine.judged(digests, outcome.summary)
        elif change.summary is not None and change.summary.digest != outcome.summary.digest:
            raise VerdictDiffers(outcome.summary.digest, change.summary.digest)
        self.verdicts = digests, outcome.verdicts

    def _failed(self, problem: str, remedy: str) -> None:
        self.not_before, self.failed_on = self.world.now() + AGAIN, self.work.looked
        self.work.log(f"{problem}; {remedy}")

    # What others are told.

    def _tell(self, group: Group, change: Change) -> None:
        """Each gateway until it has the change and its verdicts, some at once. Whoever gave no answer waits for a while."""
        now = self.world.now()
        for number in range(self.work.ground.gateways):
            if len(self.telling) >= AT_ONCE:
                return
            wants = self.told.get(number) != change.version and number not in self.telling
            if wants and now >= self.later.get(number, 0):
                self.telling.add(number)
                group.spawn(self._tell_one(number, change), "tell")

    def _tell_one(self, number: int, change: Change) -> Coro[None]:
        answer = yield from self.tenure.send_call(number, "change", Tell(change))
        done = answer is not None and answer.yes
        if (
            answer is not None
            and answer.word == "pages"
            and change.summary is not None
            and self.verdicts is not None
            and (self.verdicts[0] == change.digests)
        ):
            done = yield from self._pages(number, change.summary.digest, self.verdicts[1])
        self.telling.discard(number)
        if done:
            self.told[number] = change.version
        else:
            self.later[number] = self.world.now() + LATER

    def _pages(self, number: int, digest: str, raw: bytes) -> Coro[bool]:
        for page in paged(raw, digest):
            answer = yield from self.tenure.send_call(number, "page", page)
            if answer is None or not answer.yes:
                return False
        return True


class About(msgspec.Struct, frozen=True):
    """The one part of verdicts that their owner looks at."""

    digests: Digests
