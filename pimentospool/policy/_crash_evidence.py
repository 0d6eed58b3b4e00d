"""What entry VMs tell each other of the requests under which targets crash."""

import hashlib
from collections.abc import Sequence
from enum import Enum
from functools import cached_property, lru_cache

import msgspec

from pimentospool.ids import CrashKey, SuspectKey

MAX_SHARED_PARTS = 32
"""Parts of one prompt that are considered, from its start."""
REQUEST_DEPTH = MAX_SHARED_PARTS
"""Depth of a whole request, which is below all parts of its prompt."""


class SuspectKind(Enum):
    """What may make targets crash."""

    PART = "part of prompts"
    REQUEST = "request that comes again"


class RequestTraits:
    """What may make a request crash targets: a part of its prompt, or its content.

    Parameters
    ----------
    parts : sequence of str
        Parts of the prompt that other requests share, in order.
    content : sequence of bytes or memoryview
        What makes up the request and is the same when it comes again.
    """

    def __init__(
        self,
        *,
        parts: Sequence[str] = (),
        content: Sequence[bytes | memoryview] = (),
    ) -> None:
        self.parts = parts
        self._content = content

    @cached_property
    def content_key(self) -> SuspectKey:
        """Key of the whole request."""
        digest = hashlib.blake2b(digest_size=4)
        for item in self._content:
            digest.update(b"%d:" % len(item))
            digest.update(item)
        return SuspectKey(int.from_bytes(digest.digest(), "little"))

    @cached_property
    def suspects(self) -> list[tuple[SuspectKey, int]]:
        """Key and depth of each part and, if it has content, of the request itself."""
        suspects = [
            (part_key(part), depth)
            for depth, part in enumerate(self.parts[:MAX_SHARED_PARTS])
        ]
        if self._content:
            suspects.append((self.content_key, REQUEST_DEPTH))
        return suspects


class Sighting(msgspec.Struct, array_like=True, frozen=True):
    """A suspect in a request that was unanswered when its target crashed."""

    suspect: SuspectKey
    crash: CrashKey
    depth: int
    """Position of the part in the prompt, 0 being the first, or `REQUEST_DEPTH`."""
    age_ms: int


class SuspectAge(msgspec.Struct, array_like=True, frozen=True):
    """Time since a target survived a suspect, or since it was quarantined."""

    suspect: SuspectKey
    age_ms: int
    depth: int = 0


class CrashAge(msgspec.Struct, array_like=True, frozen=True):
    """Time since a target crashed."""

    crash: CrashKey
    age_ms: int


class CrashEvidence(msgspec.Struct, array_like=True, frozen=True):
    """What one entry VM knows of crashes; ages are those at the time of sending."""

    crashes: list[CrashAge]
    sightings: list[Sighting]
    survivals: list[SuspectAge]
    quarantines: list[SuspectAge]


@lru_cache(maxsize=4096)
def part_key(part: str) -> SuspectKey:
    """Return the key by which entry VMs name a part to each other."""
    return SuspectKey(_hash(part))


def crash_key(start: str) -> CrashKey:
    """Return the key of the crash that ended one start of a target."""
    return CrashKey(_hash(start))


def suspect_kind(depth: int) -> SuspectKind:
    """Return what a suspect of this depth is."""
    return SuspectKind.REQUEST if depth >= REQUEST_DEPTH else SuspectKind.PART


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(errors="surrogateescape"), digest_size=4)
    return int.from_bytes(digest.digest(), "little")
