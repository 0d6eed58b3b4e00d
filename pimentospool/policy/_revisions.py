"""Which revision of the configuration is in force: always the highest accepted."""

import msgspec

from pimentospool._generated.peers import RevisionHead

_REFUSED_KEPT = 16


class RefusedRevision(msgspec.Struct, kw_only=True, frozen=True):
    """A revision that failed its check, and why."""

    head: RevisionHead
    faults: list[str]


def is_newer(a: RevisionHead, b: RevisionHead) -> bool:
    """Return whether `a` goes before `b`.

    Two revisions of one number are ordered by their digests, so that every node
    takes the same one.
    """
    return (a.number, a.digest) > (b.number, b.digest)


class RevisionBook:
    """The revision in force at one node, and those that it refused."""

    def __init__(self) -> None:
        self.in_force = RevisionHead()
        self._refused: dict[tuple[int, str], RefusedRevision] = {}

    @property
    def refused(self) -> list[RefusedRevision]:
        """Refused revisions, the latest last."""
        return list(self._refused.values())

    def wants(self, head: RevisionHead) -> bool:
        """Return whether `head` should be fetched and checked."""
        return (
            is_newer(head, self.in_force)
            and (head.number, head.digest) not in self._refused
        )

    def conflicts(self, head: RevisionHead) -> bool:
        """Return whether `head` has the number in force with another digest."""
        held = self.in_force
        return head.number == held.number and head.digest != held.digest

    def accept(self, head: RevisionHead) -> bool:
        """Put a checked revision in force; return False if it is not newer."""
        if not is_newer(head, self.in_force):
            return False
        self.in_force = head
        return True

    def refuse(self, head: RevisionHead, faults: list[str]) -> None:
        """Remember a revision that failed its check."""
        key = (head.number, head.digest)
        self._refused[key] = RefusedRevision(head=head, faults=faults)
        while len(self._refused) > _REFUSED_KEPT:
            del self._refused[next(iter(self._refused))]
