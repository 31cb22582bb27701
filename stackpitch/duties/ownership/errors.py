"""Errors of leases and of voting replicas' files; `remedy` says what an operator can do."""


class SteppedDown(Exception):
    """The lease of this gateway has ended: it must not act under that term any more."""

    remedy = "Nothing: another gateway continues, or this one under a new term."

    def __init__(self, duty: str, term: str, why: str) -> None:
        self.duty, self.term, self.why = duty, term, why
        super().__init__(f"{duty}: term {term} is over: {why}. {self.remedy}")


class VoterError(Exception):
    """This gateway doesn't vote. It still serves requests and may own duties.

    The log event `voter_out` carries the name of the subclass.
    """

    remedy = ""

    def __init__(self, path: str, what: str) -> None:
        self.path, self.what = path, what
        super().__init__(f"{path}: {what}. {self.remedy}")


class FileTaken(VoterError):
    """Another process has locked the file."""

    remedy = "Two processes were given one voter's file: give each its own duties.file, or stop one of them."


class FileOfAnother(VoterError):
    """The file belongs to another voting replica or fleet."""

    remedy = "Give this gateway its own duties.file; a new one is filled from the other voters."


class FileUnreadable(VoterError):
    """The file could not be opened, locked or read."""

    remedy = "Repair the disk or the permissions of the directory of duties.file; what could not be read is kept next to it."


class FileOlder(VoterError):
    """The file is an older copy: other voting replicas have seen later writes of it."""

    remedy = "Nothing: it is rebuilt from the other voters. Don't bring voters' files back from copies."


class MajorityLost(VoterError):
    """A majority of the voting replicas lost their files; only an operator can decide how to go on."""

    remedy = (
        "Restore a lost file from the disk it was on; if that is impossible, raise duties.generation at all gateways: "
        "then what the voters still have counts, and the newest records may be lost."
    )


class DiskFailed(VoterError):
    """The file could not be written."""

    remedy = "Free space on the disk of duties.file or repair it; this voter answers again as soon as it can write."
