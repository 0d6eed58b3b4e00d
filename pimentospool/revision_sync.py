"""Fetching, checking and adoption of revisions that peers or the platform announce."""

import asyncio
from collections.abc import Callable

import msgspec

from pimentospool._generated.peers import RevisionHead
from pimentospool._generated.platform import PartRef, RevisionIndex
from pimentospool.configuration_service import PlatformClient, PlatformError
from pimentospool.errors import DocumentErrors, PimentospoolError
from pimentospool.loading import ManifestLoader
from pimentospool.log import Event, log_event
from pimentospool.peers import ContentFetcher, ContentStore, PeerError
from pimentospool.policy import RevisionBook, is_newer
from pimentospool.revisions import Revision, digest_of, index_digest
from pimentospool.views import View

_MAX_CONCURRENT_FETCHES = 8
_MAX_PEERS_PER_REVISION = 4
_RETRY_DELAY_SECONDS = 0.5


class _Announcement(msgspec.Struct, kw_only=True):
    """An announced revision and the peers from which it can be fetched."""

    head: RevisionHead
    index: RevisionIndex | None = None
    peer_addresses: list[str] = msgspec.field(default_factory=list)


class FetchError(PimentospoolError):
    """No source returned the content of a revision."""


class RevisionSync:
    """Keeps the highest valid revision active.

    Parameters
    ----------
    view : View
        Receives the revisions that become active.
    store : ContentStore
        Content of the active revision, which peers fetch from this process.
    peer_fetcher : ContentFetcher
        Fetches from peers.
    platform : PlatformClient
        Fetches from the configuration service.
    platform_allowed : callable
        Returns whether the platform may be read; a drill can forbid it.
    """

    def __init__(
        self,
        *,
        view: View,
        store: ContentStore,
        peer_fetcher: ContentFetcher,
        platform: PlatformClient,
        platform_allowed: Callable[[], bool],
    ) -> None:
        self.book = RevisionBook()
        self._view = view
        self._store = store
        self._peer_fetcher = peer_fetcher
        self._platform = platform
        self._platform_allowed = platform_allowed
        self._loader = ManifestLoader()
        self._announcements: dict[tuple[int, str], _Announcement] = {}
        self._conflicts: set[tuple[int, str]] = set()
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()

    def on_peer_revision(self, head: RevisionHead, address: str) -> None:
        """Process the announcement that `head` is the active revision of a peer."""
        if not self._wants(head):
            return
        announcement = self._announcement(head)
        if address not in announcement.peer_addresses:
            announcement.peer_addresses.append(address)
            del announcement.peer_addresses[:-_MAX_PEERS_PER_REVISION]

    def on_platform_index(self, index: RevisionIndex) -> None:
        """Process the announcement that the platform publishes `index`."""
        head = RevisionHead(number=index.revision, digest=index_digest(index))
        if self._wants(head):
            self._announcement(head).index = index

    async def run(self) -> None:
        """Fetch announced revisions, the highest one first."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while announcement := self._next_announcement():
                await self._process(announcement)
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no announced revision is left to fetch."""
        await self._idle.wait()

    def _wants(self, head: RevisionHead) -> bool:
        key = (head.number, head.digest)
        if self.book.conflicts(head) and key not in self._conflicts:
            self._conflicts.add(key)
            log_event(Event.REVISION_CONFLICT, revision=head.number, digest=head.digest)
        return self.book.wants(head)

    def _announcement(self, head: RevisionHead) -> _Announcement:
        key = (head.number, head.digest)
        self._idle.clear()
        self._wake.set()
        return self._announcements.setdefault(key, _Announcement(head=head))

    def _next_announcement(self) -> _Announcement | None:
        best: _Announcement | None = None
        for key, announcement in list(self._announcements.items()):
            if not self.book.wants(announcement.head):
                del self._announcements[key]
            elif best is None or is_newer(announcement.head, best.head):
                best = announcement
        return best

    async def _process(self, announcement: _Announcement) -> None:
        head = announcement.head
        try:
            index = announcement.index or await self._fetch_index(announcement)
            parts = await self._fetch_parts(announcement, index)
            manifest = await self._loader.load(index, parts)
        except FetchError as exc:
            log_event(Event.REVISION_FETCH_FAILED, revision=head.number, error=str(exc))
            if announcement.index is not None:
                self._retry_later(announcement.index)
        except DocumentErrors as exc:
            faults = [str(fault) for fault in exc.exceptions]
            self.book.refuse(head, faults)
            log_event(
                Event.REVISION_REFUSED,
                revision=head.number,
                digest=head.digest,
                faults=faults,
            )
        else:
            revision = Revision(
                number=head.number, digest=head.digest, index=index, manifest=manifest
            )
            if self.book.accept(head):
                self._store.store_active(index, parts)
                self._loader.evict_except(index)
                self._view.adopt(revision)
        self._announcements.pop((head.number, head.digest), None)

    def _retry_later(self, index: RevisionIndex) -> None:
        """Try `index` again later, since the platform announces it only once."""
        loop = asyncio.get_running_loop()
        loop.call_later(_RETRY_DELAY_SECONDS, self.on_platform_index, index)

    async def _fetch_index(self, announcement: _Announcement) -> RevisionIndex:
        data = await self._fetch_from_peers(announcement, announcement.head.digest)
        if data is None:
            raise FetchError("no peer returned the index")
        try:
            index = msgspec.json.decode(data, type=RevisionIndex)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise FetchError(f"the index cannot be decoded: {exc}") from exc
        if index.revision != announcement.head.number:
            raise FetchError("the index has another revision number")
        return index

    async def _fetch_parts(
        self, announcement: _Announcement, index: RevisionIndex
    ) -> dict[str, bytes]:
        fetch_slots = asyncio.Semaphore(_MAX_CONCURRENT_FETCHES)

        async def fetch(ref: PartRef) -> bytes:
            stored = self._store.get(ref.digest)
            if stored is not None:
                return stored
            async with fetch_slots:
                return await self._fetch_part(announcement, ref)

        refs = {ref.digest: ref for ref in index.parts}
        fetched = await asyncio.gather(*(fetch(ref) for ref in refs.values()))
        return dict(zip(refs, fetched, strict=True))

    async def _fetch_part(self, announcement: _Announcement, ref: PartRef) -> bytes:
        data = await self._fetch_from_peers(announcement, ref.digest)
        if data is None:
            data = await self._fetch_from_platform(ref.digest)
        if data is None:
            raise FetchError(f"no source returned part {ref.name}")
        return data

    async def _fetch_from_peers(
        self, announcement: _Announcement, digest: str
    ) -> bytes | None:
        for address in reversed(announcement.peer_addresses):
            try:
                return await self._peer_fetcher.fetch(address, digest)
            except PeerError:
                continue
        return None

    async def _fetch_from_platform(self, digest: str) -> bytes | None:
        if not self._platform_allowed():
            return None
        try:
            data = await self._platform.read_part(digest)
        except PlatformError:
            return None
        return data if digest_of(data) == digest else None
