"""The active configuration of one entry VM."""

from collections.abc import Awaitable, Callable

from pimentospool.errors import Reason, RequestFailure
from pimentospool.ids import EntryId
from pimentospool.manifest import ManifestIndex
from pimentospool.revisions import Revision
from pimentospool.signals import Signal
from pimentospool.verdicts import Verdict


class View:
    """Holds the active revision, which is only ever replaced by a higher one.

    Attributes
    ----------
    revision_adopted : Signal
        Sent with each revision that becomes active.
    fetch_revision : callable or None
        Tries to fetch a revision of at least the given number from an entry VM.
    """

    def __init__(self) -> None:
        self.revision_adopted: Signal[Revision] = Signal(name="revision_adopted")
        self.fetch_revision: Callable[[int, EntryId], Awaitable[None]] | None = None
        self._revision: Revision | None = None
        self._index: ManifestIndex | None = None

    @property
    def revision(self) -> Revision | None:
        """The active revision, if any."""
        return self._revision

    @property
    def number(self) -> int:
        """Number of the active revision; 0 before the first."""
        return self._revision.number if self._revision else 0

    async def ensure_revision(self, number: int, ingress: EntryId) -> None:
        """Try for a short time to make a revision of at least `number` active.

        Parameters
        ----------
        number : int
            Active revision of the entry VM that sent a hop.
        ingress : EntryId
            Entry VM that sent the hop and has that revision.
        """
        if number > self.number and self.fetch_revision is not None:
            await self.fetch_revision(number, ingress)

    @property
    def index(self) -> ManifestIndex:
        """Lookups in the active manifest.

        Raises
        ------
        RequestFailure
            Before the first revision.
        """
        if self._index is None:
            raise RequestFailure(
                reason=Reason.NOT_READY,
                detail="no configuration is in force yet",
                verdict=Verdict.NOT_RUN,
                retry_after_seconds=1.0,
            )
        return self._index

    def adopt(self, revision: Revision) -> bool:
        """Make a revision active if it is higher; return whether it was."""
        active = self._revision
        if active and (revision.number, revision.digest) <= (
            active.number,
            active.digest,
        ):
            return False
        self._revision = revision
        self._index = ManifestIndex(manifest=revision.manifest)
        self.revision_adopted.send(revision)
        return True
