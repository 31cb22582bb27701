"""What can be wrong with a record."""


class RecordTooLarge(Exception):
    """The value was not written; the one before stands."""

    def __init__(self, duty: str, size: int, most: int) -> None:
        self.duty, self.size, self.most = duty, size, most
        super().__init__(f"record of {duty}: {size} bytes; allowed: {most}. {self.remedy}")

    remedy = "Name fewer models, sites or profiles in this duty's files."


class RecordLost(Exception):
    """Voters know of an earlier owner's term and none of them has its record."""

    def __init__(self, duty: str, term: str) -> None:
        self.duty, self.term = duty, term
        super().__init__(
            f"record of {duty}: term {term} was seen in service and no voter knows it. {self.remedy}"
        )

    remedy = (
        "A majority of the voters' files was lost: bring back one of them from the disk it was on, or raise "
        "duties.generation at all gateways to begin with what is left."
    )
