"""The active revision of one entry VM."""

import asyncio
from pathlib import Path

import msgspec

from pimentospool.ids import EntryId
from pimentospool.manifest import read_manifest
from pimentospool.revisions import Revision, index_digest, pack_manifest
from pimentospool.views import View

ROOT = Path(__file__).resolve().parent.parent
MANIFEST = read_manifest(ROOT / "examples" / "magnolia" / "manifest.toml")


def revision(number, *, digest=None):
    index = pack_manifest(MANIFEST, revision=number).index
    made = Revision(
        number=number, digest=index_digest(index), index=index, manifest=MANIFEST
    )
    return msgspec.structs.replace(made, digest=digest) if digest else made


def test_lower_revision_is_not_adopted():
    view = View()
    adopted = []
    view.revision_adopted.connect(lambda made: adopted.append(made.number))
    assert view.adopt(revision(3))
    assert not view.adopt(revision(2))
    assert not view.adopt(revision(3))
    assert view.number == 3
    assert adopted == [3]


def test_of_two_revisions_with_one_number_the_higher_digest_wins():
    for digests in (("a", "b"), ("b", "a")):
        view = View()
        for digest in digests:
            view.adopt(revision(3, digest=digest))
        assert view.revision.digest == "b"


def test_ensure_fetches_only_newer_revisions():
    view = View()
    view.adopt(revision(3))
    requested = []

    async def fetch(number, ingress):
        requested.append((number, ingress))
        view.adopt(revision(number))

    async def check():
        await view.ensure_revision(9, EntryId("e"))
        view.fetch_revision = fetch
        await view.ensure_revision(3, EntryId("e"))
        await view.ensure_revision(4, EntryId("e"))

    asyncio.run(check())
    assert requested == [(4, "e")]
    assert view.number == 4
