"""One tenure of the duty: operators' words in, judging, the record, and telling each gateway what it does not know yet."""

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from stackpitch.duties.calls import Answer
from stackpitch.duties.vocabulary.acting.known import Known
from stackpitch.duties.vocabulary.carrying import Tell, paged
from stackpitch.duties.vocabulary.change import Change, Machine, read, written
from stackpitch.duties.vocabulary.errors import VerdictDiffers, VocabularyError, VocabularyUnknown
from stackpitch.duties.vocabulary.judging import Outcome, Task
from stackpitch.duties.vocabulary.verdicts.judge import Digests
from stackpitch.duties.work import Tenure
from stackpitch.loop import Coro
from stackpitch.loop import Task as Running

if TYPE_CHECKING:
    from stackpitch.duties.vocabulary.work import VocabularyWork

ROUND, AGAIN = 2_000, 100_000  # between rounds; before judging once more what could not be judged
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
        self.not_before = 0  # judging that failed is tried again then
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self._answered([*self.heard, *self.waiting], Answer("stepped down meanwhile; ask again"))

    def asked(self, asking: Asking) -> Coro[Answer]:
        if len(self.waiting) >= MOST_ASKED or self.closed:
            return Answer("too many words wait; ask again")
        one = Waiting(asking, self.world.current)
        self.waiting.append(one)
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
        kept = machine.record
        while True:
            self._words(machine)
            self._files(machine)
            if machine.record != kept:
                yield from self.tenure.keep(written(machine.record))
                kept = machine.record
            self._answered(self.heard, Answer("yes"))
            self.heard = []
            yield from self._judge(machine)
            if machine.record == kept and machine.change is not None:
                yield from self._tell(machine.change)
            yield from self.world.sleep(ROUND)

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

    def _judge(self, machine: Machine) -> Coro[None]:
        """If the change wants it: to be judged, or judged by an earlier owner whose verdicts are not here."""
        change = machine.change
        if change is None or not (change.word == "announced" or change.acting) or self._have(change):
            return
        names = {digest: name for name, digest in self.work.looked.vocabularies.items()}
        if self.world.now() < self.not_before or change.old not in names or change.new not in names:
            return
        outcome = yield from self.work.way.judge(Task(self.work.files, names[change.old], names[change.new]))
        try:
            self._judged(machine, change, outcome)
        except VocabularyError as wrong:
            self._failed(f"{wrong}", wrong.remedy)

    def _have(self, change: Change) -> bool:
        if self.verdicts is not None and self.verdicts[0] == change.digests:
            return change.word != "announced"
        told = self.work.known.told
        if change.acting and told is not None and told.verdicts is not None and Known.fits(change, told.verdicts):
            self.verdicts = change.digests, told.verdicts.encoded()
            return True
        return False

    def _judged(self, machine: Machine, change: Change, outcome: Outcome) -> None:
        if outcome.problem or outcome.summary is None:
            self._failed(outcome.problem, outcome.remedy)
            return
        digests = msgspec.json.decode(outcome.verdicts, type=About).digests
        if digests != change.digests:
            return  # the files have changed since they were looked at; the next look says so
        paged(outcome.verdicts, outcome.summary.digest)  # what can't be told is not allowed either
        if change.word == "announced":
            machine.judged(digests, outcome.summary)
        elif change.summary is not None and change.summary.digest != outcome.summary.digest:
            raise VerdictDiffers(outcome.summary.digest, change.summary.digest)
        self.verdicts = digests, outcome.verdicts

    def _failed(self, problem: str, remedy: str) -> None:
        self.not_before = self.world.now() + AGAIN
        self.work.log(f"vocabulary: {problem}; {remedy}")

    # What others are told.

    def _tell(self, change: Change) -> Coro[None]:
        """One gateway after the other, each until it has the change and its verdicts."""
        for number in range(self.work.ground.gateways):
            if self.told.get(number) == change.version:
                continue
            answer = yield from self.tenure.tell(number, "change", Tell(change))
            if answer is not None and answer.word == "pages":
                if self.verdicts is None or self.verdicts[0] != change.digests or change.summary is None:
                    continue  # not judged here yet
                if not (yield from self._pages(number, change.summary.digest, self.verdicts[1])):
                    continue
            if answer is not None and answer.word in ("yes", "pages"):
                self.told[number] = change.version

    def _pages(self, number: int, digest: str, raw: bytes) -> Coro[bool]:
        for page in paged(raw, digest):
            answer = yield from self.tenure.tell(number, "page", page)
            if answer is None or not answer.yes:
                return False
        return True


class About(msgspec.Struct, frozen=True):
    """The one part of verdicts that their owner looks at."""

    digests: Digests

