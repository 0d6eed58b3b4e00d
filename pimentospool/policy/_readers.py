"""Choice of the few members of a zone that act for all of it."""

import hashlib
from collections.abc import Iterable

from pimentospool.ids import EntryId


def rank_members(members: Iterable[EntryId], *, purpose: str) -> list[EntryId]:
    """Return the members by rendezvous hash, the first ones to act first.

    Nodes with the same view choose the same members, and a member that goes moves
    no other one's place.
    """
    return sorted(members, key=lambda entry: _weight(entry, purpose), reverse=True)


def _weight(entry: EntryId, purpose: str) -> tuple[bytes, EntryId]:
    text = f"{purpose}/{entry}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), entry
