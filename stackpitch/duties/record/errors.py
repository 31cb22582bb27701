"""Errors of a duty's record."""


class RecordTooLarge(Exception):
    """The value is too large and was not written; the previous one remains."""

    def __init__(self, duty: str, size: int, most: int) -> None:
        self.duty, self.size, self.most = duty, size, most
        super().__init__(f"record of {duty}: {size} bytes; allowed: {most}. {self.remedy}")

    remedy = "Name fewer models, sites or profiles in this duty's files."


class RecordLost(Exception):
    """A term of an earlier owner is known, and no voter has the record written under it."""

    def __init__(self, duty: str, term: str) -> None:
        self.duty, self.term = duty, term
        super().__init__(
            f"record of {duty}: term {term} was seen in service and no voter knows it. {self.remedy}"
        )

    remedy = (
        "A majority of the voters' files was lost: bring back one of them from the disk it was on, or raise "
        "duties.generation at all gateways to begin with what is left."
    )
