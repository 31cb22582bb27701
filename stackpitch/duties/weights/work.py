"""The coordinated task `weights` of one gateway: its owner part and its receiver part."""

from collections.abc import Callable
from pathlib import Path

import msgspec

from stackpitch.duties.calls import Answer, Stamp, encode_body
from stackpitch.duties.weights import forms
from stackpitch.duties.weights.errors import WantedNotKept
from stackpitch.duties.weights.grants.grant import Grant
from stackpitch.duties.weights.lastgood import LastGood
from stackpitch.duties.weights.owner import Owner
from stackpitch.duties.weights.placing.disk import Disk
from stackpitch.duties.weights.placing.folder import Folder
from stackpitch.duties.weights.receiving.receiver import Engines, Receiver
from stackpitch.duties.weights.settings import WeightsSettings
from stackpitch.duties.weights.wantedfile import WantedFile
from stackpitch.duties.work import DutyHost, Tenure
from stackpitch.loop import MS, SECOND, Coro, Group, Time, World
from stackpitch.wire.decoding import decode

FILE_POLL_PERIOD: Time = 2 * SECOND  # of the wanted file
CHANGE_REPORT_PERIOD: Time = 100 * MS  # while something changes
FETCH_REPORT_PERIOD: Time = SECOND // 2  # while something is fetched


def gateway_address(gateway: int) -> str:
    """A gateway's address as a grant carries it."""
    return f"#{gateway}"


class NoEngines:
    """Used where it is unknown which weights engines run on: all may be in use, so nothing is removed."""

    def used(self, model: str, version: str) -> bool:
        return True

    def released(self, model: str, version: str) -> Coro[None]:
        yield from ()


class WeightsWork:
    """The owner and the receiver of one gateway.

    `start`: a random number that identifies this process. `address`: host:port at which a gateway serves its pieces, by
    number. `admits`: whether servers may run on this vocabulary. `revenue`: of the requests that wait at this gateway.
    """

    name = "weights"

    def __init__(
        self,
        world: World,
        ground: DutyHost,
        settings: WeightsSettings,
        start: int,
        address: Callable[[int], str],
        engines: Engines | None = None,
        admits: Callable[[str], bool] = lambda vocabulary: True,
        revenue: Callable[[], float] = lambda: 0.0,
        log: Callable[..., None] = lambda word, **fields: None,
        disk: Disk | None = None,
    ) -> None:
        self.world, self.ground, self.address, self.admits, self.log = world, ground, address, admits, log
        folder = Folder(disk if disk is not None else world.file_system(), settings.folder, ground.number)
        self.file = WantedFile(
            world, Path(settings.wanted), LastGood(world.files(), folder.disk, folder.wanted())
        )
        self.receiver = Receiver(world, ground.number, start, folder, engines or NoEngines(), revenue, log)
        self.owner: Owner | None = None
        self.reported: Time = 0
        # Revenue by gateway as of the last announcement; emptied as tenures begin.
        self.waiting: dict[int, float] = {}

    def run_as_owner(self, tenure: Tenure, value: bytes) -> Coro[None]:
        self.waiting.clear()
        owner = self.owner = Owner(
            self.world, tenure, self.file, gateway_address, self.admits, self.log, self.waiting
        )
        try:
            yield from owner.run(value)
        finally:
            if self.owner is owner:
                self.owner = None

    def present(self) -> forms.Present:
        return forms.Present(self.receiver.revenue())

    def announced(self, number: int, body: msgspec.Raw | None) -> None:
        self.waiting.pop(number, None)
        present = None if body is None else decode(body, type=forms.Present | None)
        if present is not None:  # a gateway of an older program version sends none
            self.waiting[number] = present.revenue

    def handle_call(self, sender: int, kind: str, stamp: Stamp, body: msgspec.Raw) -> Coro[Answer]:
        if kind == "report":
            word = (
                self.owner.report(decode(body, type=forms.Report)) if self.owner is not None else "not owner"
            )
            return Answer(word)
        if stamp.term <= 0:
            return Answer("a term is needed")
        if kind == "begin":
            begin = decode(body, type=forms.Begin)
            word = "yes" if self.receiver.grants.fence(stamp) else "older term"
            if word == "yes":
                self.receiver.site = begin.site
        elif kind == "place":
            word = self.receiver.place(stamp, decode(body, type=forms.Place))
        elif kind == "grant":
            grant = decode(body, type=Grant)
            # The address at which this gateway reaches the neighbour may differ from the owner's.
            if grant.address.startswith("#"):
                grant = msgspec.structs.replace(grant, address=self.address(self._neighbour(grant.address)))
            word = self.receiver.grant(stamp, grant)
        elif kind == "service":
            word = yield from self.receiver.release(stamp, decode(body, type=forms.Release))
        else:
            return Answer("not known")
        return Answer(word, self.receiver.grants.stamp, encode_body(self.receiver.report()))

    def _neighbour(self, address: str) -> int:
        if not address[1:].isdecimal() or int(address[1:]) >= self.ground.gateways:
            raise msgspec.ValidationError(f"no gateway {address!r}")
        return int(address[1:])

    def serve(self) -> Coro[None]:
        def body(group: Group) -> Coro[None]:
            group.spawn(self.receiver.serve(), "weights receiver")
            group.spawn(self._reports(), "weights reports")
            trouble = ""
            while True:
                news = yield from self.file.look()
                if self.file.kept.trouble != trouble and (trouble := self.file.kept.trouble):
                    error = WantedNotKept(trouble)
                    self.log(f"weights_{error.word}", why=str(error), remedy=error.remedy)
                if news:
                    if self.file.rejected is not None:
                        rejection = self.file.rejected
                        in_force = self.file.current.version if self.file.current is not None else None
                        self.log(
                            "weights_wanted_rejected",
                            why=rejection.complaints,
                            remedy=rejection.remedy,
                            in_force=in_force,
                        )
                    elif self.owner is not None:
                        self.owner.wake()
                yield from self.world.sleep(FILE_POLL_PERIOD)

        yield from self.world.group(body)

    def _reports(self) -> Coro[None]:
        """Sends reports while something changes or is fetched; at other times the owner asks for them."""
        receiver = self.receiver
        while True:
            yield from self.world.sleep(CHANGE_REPORT_PERIOD)
            since, owner = self.world.now() - self.reported, self.ground.owner(self.name)
            due = (receiver.changed and since >= CHANGE_REPORT_PERIOD) or (
                receiver.fetches.tasks and since >= FETCH_REPORT_PERIOD
            )
            if due and owner is not None and receiver.site:
                self.reported = self.world.now()
                yield from self.ground.ask(owner, self.name, "report", receiver.report())
