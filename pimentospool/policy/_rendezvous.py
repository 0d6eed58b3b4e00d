"""Choice of the few members of a zone that act on behalf of all, by rendezvous hash."""

import hashlib
from collections.abc import Iterable

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


def _hash(entry: EntryId, purpose: str) -> tuple[bytes, EntryId]:
    text = f"{purpose}/{entry}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), entry
