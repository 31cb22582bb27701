"""The interface between a coordinated task's work (one task: a "duty") and the service that elects its owner.

The work doesn't depend on what grants terms and stores records: the voting replicas of stackpitch.duties, or
an external lock service.
"""

from typing import Any, Protocol

import msgspec

from stackpitch.duties.calls import Answer, Stamp
from stackpitch.loop import Coro


class Tenure(Protocol):
    """One owner's term, after the record has been read and written back under it."""

    stamp: Stamp

    def holds(self) -> bool:
        """Whether the lease is valid now. To be called just before each act: after a pause of the process
        it is False before anything is done."""

    def write_record(self, value: bytes) -> Coro[None]:
        """Replaces the duty's record. Returns once a majority of the voters has it on disk.
        Raises SteppedDown, RecordTooLarge."""

    def send_call(self, number: int, kind: str, body: Any) -> Coro[Answer | None]:
        """Sends a call with an effect to a gateway (this one too) under the term; None if no answer came in
        time. Raises SteppedDown if the lease is over or the receiver knows a higher term; then this owner has
        stepped down."""


class DutyHost(Protocol):
    """What work may use on every gateway, whether it owns the duty or not."""

    number: int
    gateways: int

    def owner(self, duty: str) -> int | None:
        """The last known owner of a duty; it may have changed since."""

    def ask(self, number: int, duty: str, kind: str, body: Any) -> Coro[Answer | None]:
        """Sends a call without a term, such as a report; None if it was lost."""


class Work(Protocol):
    """One duty's work. `run_as_owner` and `announced` run on the owner alone, the rest on every gateway."""

    name: str

    def run_as_owner(self, tenure: Tenure, value: bytes) -> Coro[None]:
        """Runs while this gateway owns the duty; cancelled when it steps down. `value`: the record, at first
        b""."""

    def handle_call(self, sender: int, kind: str, stamp: Stamp, body: msgspec.Raw) -> Coro[Answer]:
        """Handles a call of this duty. One with a term (`stamp.term` > 0) has been checked already: no higher
        term was known here before it. Raises msgspec.ValidationError if the body is malformed; the call is
        dropped and counted."""

    def present(self) -> Any:
        """A small body for this gateway's answer to an owner's announcement; None if there is none."""

    def announced(self, number: int, body: msgspec.Raw | None) -> None:
        """Called on the owner for each gateway and announcement: the body of its answer, None if it was not
        reached. Raises msgspec.DecodeError if the body is malformed; it then counts as not reached."""

    def serve(self) -> Coro[None]:
        """Runs for as long as the gateway does."""
