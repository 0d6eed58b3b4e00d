"""Decoding and checking of a revision in short steps that yield to other tasks."""

import asyncio
from typing import Any

import msgspec

from pimentospool._generated.manifest import Customer, Manifest, Target
from pimentospool._generated.platform import RevisionIndex
from pimentospool.documents import Document
from pimentospool.errors import DocumentError
from pimentospool.manifest import check_in_steps
from pimentospool.readers import raise_document_errors
from pimentospool.revisions import digest_of, unpack_manifest


class _Shard(Document):
    """A part that holds only targets or only customers."""

    targets: list[Target] = msgspec.field(default_factory=list)
    customers: list[Customer] = msgspec.field(default_factory=list)


class ManifestLoader:
    """Joins parts into a checked manifest and caches the decoded parts."""

    def __init__(self) -> None:
        self._decoded_shards: dict[str, _Shard] = {}

    async def load(self, index: RevisionIndex, parts: dict[str, bytes]) -> Manifest:
        """Return the checked manifest of `index`.

        Raises
        ------
        DocumentErrors
            If a part does not match its digest or the manifest has faults.
        """
        manifest = await self._join(index, parts)
        if manifest is None:
            return unpack_manifest(index, parts)
        faults: list[DocumentError] = []
        for step_faults in check_in_steps(manifest):
            faults += step_faults
            await asyncio.sleep(0)
        raise_document_errors("manifest refused", faults)
        return manifest

    def evict_except(self, index: RevisionIndex) -> None:
        """Drop cached parts that `index` does not name."""
        named = {ref.digest for ref in index.parts}
        self._decoded_shards = {
            digest: shard
            for digest, shard in self._decoded_shards.items()
            if digest in named
        }

    async def _join(
        self, index: RevisionIndex, parts: dict[str, bytes]
    ) -> Manifest | None:
        """Return the unchecked manifest, or None if it does not match its schema."""
        core: dict[str, Any] = {}
        targets: list[Target] = []
        customers: list[Customer] = []
        try:
            for ref in index.parts:
                data = parts[ref.digest]
                if "/" not in ref.name:
                    _check_digest(ref.digest, data)
                    core |= msgspec.json.decode(data, type=dict[str, Any])
                    continue
                shard = self._decoded_shards.get(ref.digest)
                if shard is None:
                    shard = self._decode_shard(ref.digest, data)
                    await asyncio.sleep(0)
                targets += shard.targets
                customers += shard.customers
            core = {"targets": [], "customers": []} | core
            manifest = msgspec.convert(core, Manifest)
        except (KeyError, msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return None
        manifest.targets += targets
        manifest.customers += customers
        return manifest

    def _decode_shard(self, digest: str, data: bytes) -> _Shard:
        _check_digest(digest, data)
        shard = msgspec.json.decode(data, type=_Shard)
        self._decoded_shards[digest] = shard
        return shard


def _check_digest(digest: str, data: bytes) -> None:
    if digest_of(data) != digest:
        raise msgspec.DecodeError("content does not match its digest")
