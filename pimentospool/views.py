"""The configuration in force at one entry VM."""

from collections.abc import Awaitable, Callable

from pimentospool.errors import Reason, RequestFailure
from pimentospool.ids import EntryId
from pimentospool.manifest import ManifestIndex
from pimentospool.revisions import Revision
from pimentospool.signals import Signal
from pimentospool.verdicts import Verdict


class View:
    """Holds the revision in force; it never goes back."""

    def __init__(self) -> None:
        self.revision_adopted: Signal[Revision] = Signal(name="revision_adopted")
        self.fetch: Callable[[int, EntryId], Awaitable[None]] | None = None
        self._revision: Revision | None = None
        self._index: ManifestIndex | None = None

    @property
    def revision(self) -> Revision | None:
        """The revision in force, if any."""
        return self._revision

    @property
    def number(self) -> int:
        """Number of the revision in force; 0 before the first."""
        return self._revision.number if self._revision else 0

    async def ensure(self, number: int, ingress: EntryId) -> None:
        """Try to have a revision of at least `number` in force, within a short time.

        Parameters
        ----------
        number : int
            Revision that a hop was sent under.
        ingress : EntryId
            Entry VM that sent the hop, which has that revision.
        """
        if number > self.number and self.fetch is not None:
            await self.fetch(number, ingress)

    @property
    def index(self) -> ManifestIndex:
        """Look-ups over the manifest in force.

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
        """Put a higher revision in force; return whether it was higher."""
        held = self._revision
        if held and (revision.number, revision.digest) <= (held.number, held.digest):
            return False
        self._revision = revision
        self._index = ManifestIndex(manifest=revision.manifest)
        self.revision_adopted.send(revision)
        return True
