"""Fetching of revisions from peers and a platform that may fail."""

import asyncio
from pathlib import Path

import msgspec

from pimentospool._generated.peers import RevisionHead
from pimentospool.configuration_service import PlatformError
from pimentospool.manifest import read_manifest
from pimentospool.peers import ContentStore, PeerError
from pimentospool.revision_sync import RevisionSync
from pimentospool.revisions import digest_of, index_digest, pack_manifest
from pimentospool.views import View

ROOT = Path(__file__).resolve().parent.parent
MANIFEST = read_manifest(ROOT / "examples" / "magnolia" / "manifest.toml")
TIMEOUT_SECONDS = 10.0


class Source:
    """Stand-in for peers and platform; the first reads fail as configured."""

    def __init__(self, *, error, failures=0):
        self.contents = {}
        self.reads = 0
        self._error = error
        self._failures = failures

    async def read_part(self, digest):
        self.reads += 1
        if self.reads <= self._failures or digest not in self.contents:
            raise self._error("not now")
        return self.contents[digest]

    async def fetch(self, address, digest):
        return await self.read_part(digest)


def publish(source, number):
    pack = pack_manifest(MANIFEST, revision=number)
    source.contents |= pack.parts
    data = msgspec.json.encode(pack.index)
    source.contents[digest_of(data)] = data
    return pack.index


async def run_until_revision(sync, view, number):
    task = asyncio.create_task(sync.run())
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while view.number < number:
                await asyncio.sleep(0.01)
    finally:
        task.cancel()


def make_sync(*, peers, platform):
    view = View()
    sync = RevisionSync(
        view=view,
        store=ContentStore(),
        peer_fetcher=peers,
        platform=platform,
        platform_allowed=lambda: True,
    )
    return sync, view


def test_index_announced_once_is_fetched_again_after_a_failure(runner):
    async def check():
        platform = Source(error=PlatformError, failures=1)
        sync, view = make_sync(peers=Source(error=PeerError), platform=platform)
        sync.on_platform_index(publish(platform, 2))
        await run_until_revision(sync, view, 2)

    runner.run(check())


def test_only_changed_parts_are_fetched_from_the_announcing_peer(runner):
    async def check():
        peers = Source(error=PeerError)
        platform = Source(error=PlatformError)
        sync, view = make_sync(peers=peers, platform=platform)
        for number, reads in (
            (2, len(pack_manifest(MANIFEST, revision=2).parts)),
            (3, 0),
        ):
            before = peers.reads
            index = publish(peers, number)
            head = RevisionHead(number=number, digest=index_digest(index))
            sync.on_peer_revision(head, "10.0.0.1:81")
            await run_until_revision(sync, view, number)
            assert peers.reads - before == reads + 1
        assert platform.reads == 0

    runner.run(check())


def test_index_with_another_number_is_not_adopted(runner):
    async def check():
        peers = Source(error=PeerError)
        sync, view = make_sync(peers=peers, platform=Source(error=PlatformError))
        digest = index_digest(publish(peers, 2))
        sync.on_peer_revision(RevisionHead(number=9, digest=digest), "10.0.0.1:81")
        sync.on_peer_revision(RevisionHead(number=2, digest=digest), "10.0.0.1:81")
        await run_until_revision(sync, view, 2)
        assert sync.book.active.number == 2

    runner.run(check())
