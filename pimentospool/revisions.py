"""Published form of a manifest: an index of content-addressed parts."""

import hashlib
import zlib
from typing import Any

import msgspec

from pimentospool._generated.manifest import Manifest
from pimentospool._generated.platform import PartRef, RevisionIndex
from pimentospool.errors import DocumentError, DocumentErrors
from pimentospool.manifest import parse_manifest

INDEX_KEY = "manifest/index"
MAX_VALUE_BYTES = 1_000_000
_ITEMS_PER_SHARD = 64
_SHARDED_SECTIONS = ("targets", "customers")


class Revision(msgspec.Struct, kw_only=True, frozen=True):
    """A checked manifest with its revision number and digest."""

    number: int
    digest: str
    index: RevisionIndex
    manifest: Manifest


class PackedManifest(msgspec.Struct, kw_only=True):
    """Values to publish: the index, and the parts by digest."""

    index: RevisionIndex
    parts: dict[str, bytes]


def part_key(digest: str) -> str:
    """Return the configuration service's key of a part."""
    return f"manifest/parts/{digest}"


def digest_of(data: bytes) -> str:
    """Return the SHA-256 digest of `data` in hex."""
    return hashlib.sha256(data).hexdigest()


def index_digest(index: RevisionIndex) -> str:
    """Return the digest of an index, which identifies the revision."""
    return digest_of(msgspec.json.encode(index))


def pack_manifest(manifest: Manifest, *, revision: int) -> PackedManifest:
    """Divide a manifest into parts.

    Targets and customers are sharded by id, so that a change touches few parts.
    """
    sections = msgspec.to_builtins(manifest)
    documents: dict[str, dict[str, Any]] = {}
    for section in _SHARDED_SECTIONS:
        documents |= _shard(section, sections.pop(section))
    documents["core"] = sections
    parts = {}
    refs = []
    for name in sorted(documents):
        data = msgspec.json.encode(documents[name])
        digest = digest_of(data)
        parts[digest] = data
        refs.append(PartRef(name=name, digest=digest, size=len(data)))
    index = RevisionIndex(revision=revision, parts=refs)
    return PackedManifest(index=index, parts=parts)


def _shard(section: str, items: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    count = _shard_count(len(items))
    shards: dict[str, dict[str, Any]] = {
        f"{section}/{number}": {section: []} for number in range(count)
    }
    for item in items:
        number = zlib.crc32(item["id"].encode()) % count
        shards[f"{section}/{number}"][section].append(item)
    return shards


def _shard_count(items: int) -> int:
    count = 1
    while count * _ITEMS_PER_SHARD < items:
        count *= 2
    return count


def unpack_manifest(index: RevisionIndex, parts: dict[str, bytes]) -> Manifest:
    """Join the parts of `index` and check the manifest.

    Raises
    ------
    DocumentErrors
        If a part does not match its digest or the manifest has faults.
    """
    joined: dict[str, Any] = {section: [] for section in _SHARDED_SECTIONS}
    for ref in index.parts:
        data = parts[ref.digest]
        if digest_of(data) != ref.digest:
            raise _part_error(ref, "content does not match its digest")
        try:
            document = msgspec.json.decode(data, type=dict[str, Any])
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            raise _part_error(ref, f"not a JSON object: {exc}") from exc
        for section, value in document.items():
            if isinstance(joined.get(section), list) and isinstance(value, list):
                joined[section].extend(value)
            else:
                joined[section] = value
    return parse_manifest(msgspec.json.encode(joined))


def _part_error(ref: PartRef, message: str) -> DocumentErrors:
    fault = DocumentError(path=f"parts[{ref.name}]", message=message)
    return DocumentErrors("manifest refused", [fault])
