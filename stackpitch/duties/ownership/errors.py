"""What can be wrong with ownership. Each says what happened, where, and what an operator can do (`remedy`)."""


class SteppedDown(Exception):
    """This owner's time is over: it acts no more under that term."""

    remedy = "Nothing: another gateway goes on, or this one under a new term."

    def __init__(self, duty: str, term: str, why: str) -> None:
        self.duty, self.term, self.why = duty, term, why
        super().__init__(f"{duty}: term {term} is over: {why}. {self.remedy}")


class VoterError(Exception):
    """This gateway does not vote; it serves, and may own duties, as before."""

    remedy = ""

    def __init__(self, path: str, what: str) -> None:
        self.path, self.what = path, what
        super().__init__(f"{path}: {what}. {self.remedy}")


class FileTaken(VoterError):
    remedy = "Two processes were given one voter's file: give each its own duties.file, or stop one of them."


class FileOfAnother(VoterError):
    remedy = "Give this gateway its own duties.file; a new one fills itself from the other voters."


class FileUnreadable(VoterError):
    remedy = (
        "Mend the disk or the rights of the folder of duties.file; what could not be read is kept beside it."
    )


class FileOlder(VoterError):
    remedy = "Nothing: it is filled anew from the other voters. Don't bring voters' files back from copies."


class MajorityLost(VoterError):
    remedy = (
        "Bring a lost file back from the disk it was on; if it can't be, raise duties.generation at all gateways: then "
        "what the voters still have counts, and the newest records may be gone."
    )


class DiskFailed(VoterError):
    remedy = (
        "Make room on the disk of duties.file or mend it; this voter answers again as soon as it can write."
    )
