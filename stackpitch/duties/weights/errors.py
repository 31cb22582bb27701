"""What can go wrong with weights. Each says what, where, and in `remedy` what an operator can do."""

from stackpitch.settings.load import BadSettings


class WeightsError(Exception):
    """The kind of all below. `word` is its short name in reports, logs and figures."""

    word = "failed"
    remedy = ""


class WantedRejected(WeightsError, BadSettings):
    """The wanted file is not taken: a line for each complaint, with file, field, found, allowed."""

    word = "wanted_rejected"
    remedy = "Correct the fields that are named and write the file again; the last good one stays in force meanwhile."

    def __init__(self, path: str, complaints: str) -> None:
        super().__init__(complaints)
        self.path, self.complaints = path, complaints


class WantedNotKept(WeightsError):
    """The wanted file is in force, and can't be kept for a start while the file is wrong."""

    word = "wanted_not_kept"
    remedy = "Make room in the weights folder of that gateway, or mend its disk or rights; it is tried again by itself."

    def __init__(self, trouble: str) -> None:
        super().__init__(trouble)


class NoWanted(WeightsError):
    """The owner has never seen a good wanted file: it leaves the duty to another gateway."""

    word = "no_wanted"
    remedy = "Put a right wanted file at the path in duties.weights.wanted of that gateway; others go on with theirs."

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: no good wanted file here, neither now nor kept from before")
        self.path = path


class BadPiece(WeightsError):
    """A piece whose digest is not the manifest's. It was thrown away."""

    word = "bad_piece"
    remedy = "None is needed for one; if a source gives several, compare its file with the one the manifest was made from."

    def __init__(self, model: str, version: str, piece: int, source: str) -> None:
        super().__init__(
            f"piece {piece} of {model} {version} from {source} does not have the manifest's digest"
        )
        self.model, self.version, self.piece, self.source = model, version, piece, source


class SourceSpoilt(WeightsError):
    """Two bad pieces of one model came from one source: it is not asked for that model for a while."""

    word = "source_spoilt"
    remedy = (
        "Restore the file that the manifest was made from at that source, or publish the changed weights as a new "
        "version with its own manifest."
    )

    def __init__(self, model: str, version: str, source: str) -> None:
        super().__init__(f"{source} gave two bad pieces of {model} {version}; another source is asked")
        self.model, self.version, self.source = model, version, source


class SourceFailed(WeightsError):
    """A source could not be reached, broke off, or answered with something else than the range asked for."""

    word = "source_failed"
    remedy = (
        "See that the source runs, is reachable from the site, and serves the path with Range requests (206)."
    )

    def __init__(self, source: str, address: str, why: str) -> None:
        super().__init__(f"{source} at {address}: {why}")
        self.source, self.address, self.why = source, address, why


class SourceChanged(SourceFailed):
    """The source's file has another length than the manifest's: it was changed under the same name."""

    word = "source_changed"
    remedy = SourceSpoilt.remedy


class VersionChanged(WeightsError):
    """One version with two manifests: what a site has of it would be mixed from both."""

    word = "version_changed"
    remedy = "Publish the changed weights as a new version, and put the old manifest back under the old one."

    def __init__(self, model: str, version: str) -> None:
        super().__init__(f"{model} {version} is known here with another manifest")
        self.model, self.version = model, version


class WholeDiffers(WeightsError):
    """All pieces fit their digests and the whole doesn't fit its own: the manifest contradicts itself, or the disk lies."""

    word = "whole_differs"
    remedy = "Make the manifest anew from the published file; if it was right, check the site's disk and its memory."

    def __init__(self, model: str, version: str, found: str) -> None:
        super().__init__(
            f"{model} {version}: all pieces fit, the whole has digest {found}, which is not the manifest's"
        )
        self.model, self.version, self.found = model, version, found


class Gone(WeightsError):
    """The version was withdrawn or replaced while something was still done with it."""

    word = "gone"
    remedy = "None is needed."

    def __init__(self, model: str, version: str) -> None:
        super().__init__(f"{model} {version} is not wanted here any more")
        self.model, self.version = model, version


class DiskTrouble(WeightsError):
    """A call on the site's disk failed. The site waits for a while and tries again; other sites go on."""

    word = "disk"
    remedy = (
        "Check the disk of the weights folder at that site; it goes on by itself once writing works again."
    )

    def __init__(self, path: str, why: str) -> None:
        super().__init__(f"{path}: {why}")
        self.path, self.why = path, why


class DiskFull(DiskTrouble):
    word = "disk_full"
    remedy = "Make room in the site's weights folder, or withdraw a model there; it goes on by itself within ten seconds."


class DiskReadOnly(DiskTrouble):
    word = "disk_read_only"
    remedy = "Mount the weights folder for writing, or give the gateway's user the right to write there."


class DiskCorrupt(DiskTrouble):
    word = "disk_corrupt"
    remedy = "The disk gives wrong bytes or input/output errors: replace it; what was checked elsewhere is fetched anew."


class NoReceiver(WeightsError):
    """No gateway of a site has been heard: nothing can be fetched there."""

    word = "no_receiver"
    remedy = "Start a gateway that is listed under the site's `gateways`, and see that it reaches the owner's admin port."

    def __init__(self, site: str) -> None:
        super().__init__(f"no gateway of site {site} is heard")
        self.site = site
