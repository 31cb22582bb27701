"""The errors of weights distribution. Each says what failed and where, and in `remedy` what an operator can do."""

from stackpitch.settings.load import BadSettings


class WeightsError(Exception):
    """The base class. `word` is the kind's name in reports, logs and metrics."""

    word = "failed"
    remedy = ""


class WantedRejected(WeightsError, BadSettings):
    """The wanted file is invalid. One line for each complaint: file, field, found value, allowed values."""

    word = "wanted_rejected"
    remedy = "Correct the fields that are named and write the file again; the last valid one stays in force meanwhile."

    def __init__(self, path: str, complaints: str) -> None:
        super().__init__(complaints)
        self.path, self.complaints = path, complaints


class WantedNotKept(WeightsError):
    """The wanted file in force can't be persisted, so a restart while the file is invalid would have none."""

    word = "wanted_not_kept"
    remedy = "Free space in that gateway's weights folder, or repair its disk or permissions; it is retried automatically."

    def __init__(self, trouble: str) -> None:
        super().__init__(trouble)


class NoWanted(WeightsError):
    """The owner has never seen a valid wanted file: it leaves the task to another gateway."""

    word = "no_wanted"
    remedy = "Put a valid wanted file at the path in duties.weights.wanted of that gateway; others go on with theirs."

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: no valid wanted file, neither here now nor persisted before")
        self.path = path


class BadPiece(WeightsError):
    """A piece whose digest is not the manifest's. It was discarded."""

    word = "bad_piece"
    remedy = "None is needed for one; if a source gives several, compare its file with the one the manifest was made from."

    def __init__(self, model: str, version: str, piece: int, source: str) -> None:
        super().__init__(
            f"piece {piece} of {model} {version} from {source} does not have the manifest's digest"
        )
        self.model, self.version, self.piece, self.source = model, version, piece, source


class SourceSpoilt(WeightsError):
    """Two bad pieces of a version came from one source, which is not asked for it for a while."""

    word = "source_spoilt"
    remedy = (
        "Restore the file that the manifest was made from at that source, or publish the changed weights as a new "
        "version with its own manifest."
    )

    def __init__(self, model: str, version: str, source: str) -> None:
        super().__init__(f"{source} sent two bad pieces of {model} {version}; another source is asked")
        self.model, self.version, self.source = model, version, source


class SourceFailed(WeightsError):
    """A source could not be reached, broke off, or did not answer with the requested range."""

    word = "source_failed"
    remedy = "Check that the source runs, is reachable from the site, and serves the path with Range requests (206)."

    def __init__(self, source: str, address: str, why: str) -> None:
        super().__init__(f"{source} at {address}: {why}")
        self.source, self.address, self.why = source, address, why


class SourceSilent(SourceFailed):
    """A source sent nothing for as long as it was given. It is given longer the next time."""

    word = "source_silent"


class SourceChanged(SourceFailed):
    """The source's file has another length than the manifest's: it was changed under the same name."""

    word = "source_changed"
    remedy = SourceSpoilt.remedy


class VersionChanged(WeightsError):
    """One version with two manifests: a site would mix pieces of both."""

    word = "version_changed"
    remedy = "Publish the changed weights as a new version, and put the old manifest back under the old one."

    def __init__(self, model: str, version: str) -> None:
        super().__init__(f"{model} {version} is known here with another manifest")
        self.model, self.version = model, version


class WholeDiffers(WeightsError):
    """All pieces match their digests but the file does not match its own: a bad manifest, or a faulty disk."""

    word = "whole_differs"
    remedy = (
        "Rebuild the manifest from the published file; if it was right, check the site's disk and its memory."
    )

    def __init__(self, model: str, version: str, found: str) -> None:
        super().__init__(
            f"{model} {version}: all pieces match, but the file has digest {found}, which is not the manifest's"
        )
        self.model, self.version, self.found = model, version, found


class Gone(WeightsError):
    """The version was withdrawn or replaced while work on it was in progress."""

    word = "gone"
    remedy = "None is needed."

    def __init__(self, model: str, version: str) -> None:
        super().__init__(f"{model} {version} is no longer wanted here")
        self.model, self.version = model, version


class DiskTrouble(WeightsError):
    """A call on the site's disk failed. The site retries after a while; other sites go on."""

    word = "disk"
    remedy = "Check the disk of the weights folder at that site; fetching resumes once writing works again."

    def __init__(self, path: str, why: str) -> None:
        super().__init__(f"{path}: {why}")
        self.path, self.why = path, why


class DiskFull(DiskTrouble):
    """No space or quota is left, or the file is too large."""

    word = "disk_full"
    remedy = "Free space in the site's weights folder, or withdraw a model there; fetching resumes within ten seconds."


class DiskReadOnly(DiskTrouble):
    """The file system is read-only, or the gateway lacks permission."""

    word = "disk_read_only"
    remedy = "Mount the weights folder for writing, or give the gateway's user the right to write there."


class DiskCorrupt(DiskTrouble):
    """The disk reports input/output errors, or returned other bytes than were written."""

    word = "disk_corrupt"
    remedy = (
        "The disk returns wrong bytes or input/output errors: replace it; the lost pieces are fetched again."
    )


class NoReceiver(WeightsError):
    """No gateway of a site has reported, so nothing can be fetched there."""

    word = "no_receiver"
    remedy = "Start a gateway that is listed under the site's `gateways`, and see that it reaches the owner's admin port."

    def __init__(self, site: str) -> None:
        super().__init__(f"no gateway of site {site} reports")
        self.site = site
