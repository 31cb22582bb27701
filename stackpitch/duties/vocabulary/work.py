"""The duty "vocabulary" on a gateway: as owner it judges, keeps the record and tells the others; as any, it listens.

Soft state only but for the record. A gateway that knows no verdict sends token ids to engines of their own vocabulary.
"""

from collections.abc import Callable, Mapping

import msgspec

from stackpitch.duties.calls import Answer, Stamp
from stackpitch.duties.vocabulary.acting.decide import Acting
from stackpitch.duties.vocabulary.acting.known import Known, Seen, Told
from stackpitch.duties.vocabulary.acting.written import Written
from stackpitch.duties.vocabulary.carrying import Page, Pages, Tell
from stackpitch.duties.vocabulary.change import Change
from stackpitch.duties.vocabulary.errors import VocabularyError
from stackpitch.duties.vocabulary.judging import Files, Looked, Way, marks
from stackpitch.duties.vocabulary.owning import Asking, Owning
from stackpitch.duties.work import DutyHost, Tenure
from stackpitch.loop import Coro, Time, World
from stackpitch.wire.decoding import decode

NAME = "vocabulary"
LOOK, SAY = (
    50_000,
    20_000,
)  # between looks at the files; between questions to the owner while nothing is known
AGAIN = 600_000  # after which files are read though nothing tells that they have changed


class VocabularyWork:
    """`servers`: how many listed servers have which vocabulary, by digest. `log`: a line for operators, with what to do."""

    name = NAME

    def __init__(
        self,
        world: World,
        ground: DutyHost,
        files: Files,
        way: Way,
        servers: Callable[[], Mapping[str, int]],
        log: Callable[[str], None],
        most_share: float = 0.0,
        look: Time = LOOK,
    ) -> None:
        self.world, self.ground, self.files, self.way, self.log, self.look = (
            world,
            ground,
            files,
            way,
            log,
            look,
        )
        self.servers, self.most_share = servers, most_share
        self.known, self.pages, self.looked = Known(), Pages(), Looked()
        self.acting, self.written = Acting(self.known), Written(self.looked)
        self.marks: tuple[tuple[int, int, int], ...] = ()  # of the files as last read
        self.again: Time = 0
        self.owning: Owning | None = None
        self.pending: Told | None = None  # a change whose verdicts are on their way here

    # On the owner.

    def run_as_owner(self, tenure: Tenure, value: bytes) -> Coro[None]:
        owning = self.owning = Owning(self, tenure, value)
        try:
            yield from owning.run()
        except VocabularyError as wrong:
            self.log(f"{wrong}; {wrong.remedy}")
            raise
        finally:
            self.owning = None
            owning.close()

    def ask(self, asking: Asking) -> Coro[Answer]:
        """An operator's word, wherever it came in: goes to the owner. Answer's `word` is "yes" or why not."""
        number = self.ground.owner(NAME)
        if self.owning is not None:
            return (yield from self.owning.asked(asking))
        if number is None or number == self.ground.number:
            return Answer("no gateway owns the duty now; ask again in some seconds")
        return (yield from self.ground.ask(number, NAME, "asking", asking)) or Answer(
            "the owner gave no answer; ask again"
        )

    # On every gateway.

    def admits(self, vocabulary: str) -> bool:
        """For a release: whether servers may be put in service with this one, by digest. One that no change speaks of, only if
        servers have it already."""
        change = self.known.told.change if self.known.told else None
        if change is not None and vocabulary in (change.old, change.new):
            return change.admits(vocabulary)
        return vocabulary in self.servers()

    def present(self) -> None:
        return None

    def announced(self, number: int, body: msgspec.Raw | None) -> None:
        """Gateways say nothing with it."""

    def handle_call(self, sender: int, kind: str, stamp: Stamp, body: msgspec.Raw) -> Coro[Answer]:
        if kind == "asking":
            asking = decode(body, type=Asking)
            if self.owning is None:
                return Answer("does not own the duty")
            return (yield from self.owning.asked(asking))
        if kind == "unknowing":
            if self.owning is not None:
                self.owning.told.pop(sender, None)
            return Answer("yes" if self.owning is not None else "does not own the duty")
        if kind == "change" and stamp.term > 0:
            return self._change(stamp, decode(body, type=Tell).change)
        if kind == "page" and stamp.term > 0:
            return self._page(stamp, decode(body, type=Page))
        raise msgspec.ValidationError(f"kind {kind[:20]!r}, or it lacks a term")

    def _change(self, stamp: Stamp, change: Change) -> Answer:
        told = Told(stamp, change)
        self.known.take(told)  # at once, since it may end what is acted by
        now = self.known.told
        if now is not None and now.change.acting and now.verdicts is None:
            self.pending = now
            return Answer("pages")
        return Answer("yes")

    def _page(self, stamp: Stamp, page: Page) -> Answer:
        pending = self.pending
        if (
            pending is None
            or pending.stamp != stamp
            or pending.change.summary is None
            or (pending.change.summary.digest != page.digest)
        ):
            return Answer("not wanted")
        verdicts = self.pages.add(stamp, page)
        if verdicts is not None:
            self.pending = None
            self.known.take(
                msgspec.structs.replace(pending, verdicts=verdicts), page.digest
            )  # `pages` holds them to it
        return Answer("yes")

    def serve(self) -> Coro[None]:
        """Looks at the files again and again; asks the owner for what it says while nothing is known here."""
        asked = -SAY
        while True:
            yield from self._look()
            owner = self.ground.owner(NAME)
            if self.known.told is None and owner is not None and self.world.now() - asked >= SAY:
                asked = self.world.now()
                yield from self.ground.ask(owner, NAME, "unknowing", None)
            yield from self.world.sleep(self.look)

    def _look(self) -> Coro[None]:
        """Reads the files if they may have changed. With a problem, the last good ones hold."""
        paths = self.looked.paths or (self.files.listing, self.files.profiles)
        found_marks = marks(paths)
        if found_marks == self.marks and self.world.now() < self.again:
            return
        found = yield from self.way.look(self.files)
        self.marks = (
            found_marks if found.problem or found.paths == paths else ()
        )  # other files than those looked at
        self.again = self.world.now() + AGAIN
        if found.problem and found.problem != self.looked.problem:
            self.log(f"{found.problem}; the last good files hold; {found.remedy}")
        self.looked = msgspec.structs.replace(self.looked, problem=found.problem) if found.problem else found
        names = {digest: name for name, digest in self.looked.vocabularies.items()}
        self.acting.seen = Seen(names, self.looked.profiles)
        if not found.problem:
            self.written = Written(self.looked)
