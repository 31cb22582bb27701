"""What can be wrong with vocabularies, profiles, verdicts and changes. Each says what an operator can do (`remedy`)."""


class VocabularyError(Exception):
    """Of this duty. `remedy`: one sentence for log, answer and the on-call page."""

    remedy = "Look at the duty's log line."


class FileRejected(VocabularyError):
    """A file that operators feed in is rejected whole; the last good one stays in force."""

    def __init__(self, file: str, field: str, found: str, allowed: str) -> None:
        super().__init__(f"{file}: {field}: found {found}; allowed: {allowed}")
        self.file, self.field, self.found, self.allowed = file, field, found, allowed


class VocabularyMalformed(FileRejected):
    remedy = (
        "Take the tokenizer.json that was published with the model, unchanged, and put it in place by rename."
    )


class VocabularyTooLarge(FileRejected):
    remedy = "Check that the file is a tokenizer.json and not the model's weights; a vocabulary this large is not taken."


class VocabularyUnreadable(FileRejected):
    remedy = "Check that the file is there and that the gateway's user may read it."


class VocabularyUnknown(VocabularyError):
    """A name that the list of vocabularies does not hold."""

    remedy = "List the vocabulary's file under this name, or correct the name where it is used."

    def __init__(self, where: str, name: str, known: tuple[str, ...]) -> None:
        super().__init__(f"{where}: found {name!r}; allowed: {', '.join(known) or 'none is listed'}")
        self.where, self.name, self.known = where, name, known


class ProfilesRejected(VocabularyError):
    """The file of profiles is rejected whole; a line for each complaint."""

    remedy = (
        "Correct the fields named and put the file in place again; until then the last good profiles hold."
    )

    def __init__(self, file: str, complaints: tuple[str, ...]) -> None:
        super().__init__("\n".join(complaints))
        self.file, self.complaints = file, complaints


class ListingRejected(ProfilesRejected):
    """The same, of the file that names vocabularies."""

    remedy = "Correct the fields named in the list of vocabularies; until then the last good list holds."


class SamplesTooFew(VocabularyError):
    """The ratio of lengths can't be measured on these texts."""

    remedy = "Give more sample texts of the kind that the fleet writes, some 100 tokens at least."

    def __init__(self, tokens: int, least: int) -> None:
        super().__init__(f"samples: found {tokens} tokens in the old vocabulary; allowed: at least {least}")
        self.tokens, self.least = tokens, least


class IllegalStep(VocabularyError):
    """What was asked for doesn't fit the change's state; nothing has changed."""

    remedy = "Look at the change's state and ask for what is allowed there."

    def __init__(self, asked: str, word: str, allowed: tuple[str, ...]) -> None:
        super().__init__(f"{asked}: the change is {word!r}; allowed: {', '.join(allowed) or 'nothing'}")
        self.asked, self.word, self.allowed = asked, word, allowed


class OtherVerdict(VocabularyError):
    """What is to be confirmed, or acted on, is not the verdict that stands."""

    remedy = "Read the verdict that stands now and confirm that one, by its digest."

    def __init__(self, asked: str, stands: str) -> None:
        super().__init__(f"verdict: found {asked or 'none'}; allowed: {stands or 'none stands'}")
        self.asked, self.stands = asked, stands


class VerdictDiffers(VocabularyError):
    """The same vocabularies and profiles were judged otherwise before, by another version of program or library."""

    remedy = "Bring all gateways to one version of the program; then edit the profiles' version, so that they are judged anew."

    def __init__(self, judged: str, before: str) -> None:
        super().__init__(f"verdict: found {judged}; allowed: {before}, as it was judged before")
        self.judged, self.before = judged, before


class RecordMalformed(VocabularyError):
    """The duty's record can't be read by this version."""

    remedy = "Let gateways of the version that wrote the record own the duty, or call the change off and announce it anew."

    def __init__(self, why: str, size: int) -> None:
        super().__init__(f"record: {size} bytes that can't be read: {why}")
        self.why, self.size = why, size


class VerdictsTooLarge(VocabularyError):
    """What is judged is larger than what goes between gateways."""

    remedy = "Take unused profiles out of the file, or shorten lists of token ids."

    def __init__(self, size: int, most: int) -> None:
        super().__init__(f"verdicts: found {size} bytes; allowed: {most}")
        self.size, self.most = size, most


class ParametersMalformed(VocabularyError):
    """A request's parameters that speak of tokens are not of their form; answered 400."""

    remedy = "Correct the field as the API's description has it."

    def __init__(self, field: str, found: str, allowed: str) -> None:
        super().__init__(f"{field}: found {found}; allowed: {allowed}")
        self.field, self.found, self.allowed = field, found, allowed


class FilesUnread(VocabularyError):
    """A generation with token ids or a profile came before this gateway had read what they mean; asking again does no harm."""

    remedy = "Ask again in a second; if it stays so, correct what the gateway's log says of vocabularies and profiles."

    def __init__(self, field: str) -> None:
        super().__init__(f"{field}: the files that say what it means have not been read here yet")
        self.field = field


class VocabularyUnstated(VocabularyError):
    """Token ids without a word on which vocabulary they are of, where engines have several; answered 400."""

    remedy = "Say the vocabulary in the request, or set a default for the customer or the product."

    def __init__(self, field: str, known: tuple[str, ...]) -> None:
        super().__init__(
            f"{field}: it holds token ids and no vocabulary is stated; allowed: {', '.join(known)}"
        )
        self.field, self.known = field, known


class MeaningLost(VocabularyError):
    """A generation's parameters mean nothing, or something else, in every vocabulary in service; answered 400."""

    remedy = (
        "Write the parameter anew for the vocabulary in service, and say so in the request or the profile."
    )

    def __init__(self, field: str, value: str, meant: str, now: str, why: str, todo: str) -> None:
        super().__init__(f"{field}: {value} meant {meant}; it would mean {now} now ({why}); {todo}")
        self.field, self.value, self.meant, self.now, self.why, self.todo = (
            field,
            value,
            meant,
            now,
            why,
            todo,
        )
