"""Choice of the few members of a zone that act on behalf of all, by rendezvous hash."""

import hashlib
from collections.abc import Collection, Iterable

from pimentospool.ids import EntryId


def rank_members(members: Iterable[EntryId], *, purpose: str) -> list[EntryId]:
    """Return the members in rendezvous-hash order; the first ones act for the zone.

    Nodes with the same view compute the same order, and a member that leaves does not
    change the order of the others.

    Parameters
    ----------
    members : iterable of EntryId
        Members of the zone.
    purpose : str
        Task of the chosen members; each purpose has an order of its own.
    """
    return sorted(members, key=lambda entry: _hash(entry, purpose), reverse=True)


class MemberRanks:
    """Place of one member in the rendezvous-hash order of each purpose, remembered.

    Parameters
    ----------
    entry : EntryId
        The member.
    """

    def __init__(self, *, entry: EntryId) -> None:
        self._entry = entry
        self._members: frozenset[EntryId] = frozenset()
        self._ranks: dict[str, int] = {}

    def rank(self, purpose: str, members: Collection[EntryId]) -> int:
        """Return the place among `members` for `purpose`; the first is 0."""
        known = frozenset(members)
        if known != self._members:
            self._members = known
            self._ranks.clear()
        rank = self._ranks.get(purpose)
        if rank is None:
            ranked = rank_members(known, purpose=purpose)
            rank = self._ranks[purpose] = ranked.index(self._entry)
        return rank


def _hash(entry: EntryId, purpose: str) -> tuple[bytes, EntryId]:
    text = f"{purpose}/{entry}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), entry
