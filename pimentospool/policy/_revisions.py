"""Choice of the active configuration revision: always the highest accepted one."""

import msgspec

from pimentospool._generated.peers import RevisionHead

_MAX_REFUSED_REVISIONS = 16


class RefusedRevision(msgspec.Struct, kw_only=True, frozen=True):
    """A revision that failed validation, and why."""

    head: RevisionHead
    faults: list[str]


def is_newer(a: RevisionHead, b: RevisionHead) -> bool:
    """Return whether `a` takes precedence over `b`.

    Two revisions with the same number are ordered by their digests, so that every
    node chooses the same one.
    """
    return (a.number, a.digest) > (b.number, b.digest)


class RevisionBook:
    """The active revision of one node, and the revisions that it refused."""

    def __init__(self) -> None:
        self.active = RevisionHead()
        self._refused: dict[tuple[int, str], RefusedRevision] = {}

    @property
    def refused(self) -> list[RefusedRevision]:
        """Refused revisions, the most recently refused last."""
        return list(self._refused.values())

    def wants(self, head: RevisionHead) -> bool:
        """Return whether `head` should be fetched and validated."""
        return (
            is_newer(head, self.active)
            and (head.number, head.digest) not in self._refused
        )

    def conflicts(self, head: RevisionHead) -> bool:
        """Return whether `head` has the active number with another digest."""
        current = self.active
        return head.number == current.number and head.digest != current.digest

    def accept(self, head: RevisionHead) -> bool:
        """Activate a validated revision; return False if it is not newer."""
        if not is_newer(head, self.active):
            return False
        self.active = head
        return True

    def refuse(self, head: RevisionHead, faults: list[str]) -> None:
        """Remember a revision that failed validation."""
        key = (head.number, head.digest)
        self._refused[key] = RefusedRevision(head=head, faults=faults)
        while len(self._refused) > _MAX_REFUSED_REVISIONS:
            del self._refused[next(iter(self._refused))]
