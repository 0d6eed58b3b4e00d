"""Fetching, checking and adopting of revisions that peers or the platform name."""

import asyncio
from collections.abc import Callable

import msgspec

from pimentospool._generated.peers import RevisionHead
from pimentospool._generated.platform import PartRef, RevisionIndex
from pimentospool.configuration_service import PlatformClient, PlatformError
from pimentospool.errors import DocumentErrors, PimentospoolError
from pimentospool.loading import ManifestLoader
from pimentospool.log import Event, log_event
from pimentospool.peers import ContentStore, PeerContent, PeerError
from pimentospool.policy import RevisionBook, is_newer
from pimentospool.revisions import Revision, digest_of, index_digest
from pimentospool.views import View

_FETCHES_AT_ONCE = 8
_MAX_SOURCES = 4
_RETRY_SECONDS = 0.5


class _Sighting(msgspec.Struct, kw_only=True):
    """A revision that was heard of, and where it may be fetched."""

    head: RevisionHead
    index: RevisionIndex | None = None
    addresses: list[str] = msgspec.field(default_factory=list)


class FetchError(PimentospoolError):
    """No source answered with the content of a revision."""


class RevisionSync:
    """Keeps the highest accepted revision in force.

    Parameters
    ----------
    view : View
        Where revisions are put in force.
    store : ContentStore
        Content in force, which peers fetch from here.
    content : PeerContent
        Fetches from peers.
    platform : PlatformClient
        Fetches from the configuration service.
    platform_allowed : callable
        Returns whether the platform may be read.
    """

    def __init__(
        self,
        *,
        view: View,
        store: ContentStore,
        content: PeerContent,
        platform: PlatformClient,
        platform_allowed: Callable[[], bool],
    ) -> None:
        self.book = RevisionBook()
        self._view = view
        self._store = store
        self._content = content
        self._platform = platform
        self._platform_allowed = platform_allowed
        self._loader = ManifestLoader()
        self._sightings: dict[tuple[int, str], _Sighting] = {}
        self._conflicts: set[tuple[int, str]] = set()
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()

    def heard_from_peer(self, head: RevisionHead, address: str) -> None:
        """Note that a peer has `head` in force."""
        if not self._wants(head):
            return
        sighting = self._sighting(head)
        if address not in sighting.addresses:
            sighting.addresses.append(address)
            del sighting.addresses[:-_MAX_SOURCES]

    def heard_from_platform(self, index: RevisionIndex) -> None:
        """Note that the platform publishes `index`."""
        head = RevisionHead(number=index.revision, digest=index_digest(index))
        if self._wants(head):
            self._sighting(head).index = index

    async def run(self) -> None:
        """Fetch what was heard of, the highest revision first."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while sighting := self._next():
                await self._process(sighting)
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until nothing that was heard of is left to fetch."""
        await self._idle.wait()

    def _wants(self, head: RevisionHead) -> bool:
        key = (head.number, head.digest)
        if self.book.conflicts(head) and key not in self._conflicts:
            self._conflicts.add(key)
            log_event(Event.REVISION_CONFLICT, revision=head.number, digest=head.digest)
        return self.book.wants(head)

    def _sighting(self, head: RevisionHead) -> _Sighting:
        key = (head.number, head.digest)
        self._idle.clear()
        self._wake.set()
        return self._sightings.setdefault(key, _Sighting(head=head))

    def _next(self) -> _Sighting | None:
        best: _Sighting | None = None
        for key, sighting in list(self._sightings.items()):
            if not self.book.wants(sighting.head):
                del self._sightings[key]
            elif best is None or is_newer(sighting.head, best.head):
                best = sighting
        return best

    async def _process(self, sighting: _Sighting) -> None:
        head = sighting.head
        try:
            index = sighting.index or await self._fetch_index(sighting)
            parts = await self._fetch_parts(sighting, index)
            manifest = await self._loader.load(index, parts)
        except FetchError as exc:
            log_event(Event.REVISION_FETCH_FAILED, revision=head.number, error=str(exc))
            if sighting.index is not None:
                self._retry(sighting.index)
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
                self._store.keep(index, parts)
                self._loader.keep(index)
                self._view.adopt(revision)
        self._sightings.pop((head.number, head.digest), None)

    def _retry(self, index: RevisionIndex) -> None:
        """Come back to an index that the platform tells only once."""
        loop = asyncio.get_running_loop()
        loop.call_later(_RETRY_SECONDS, self.heard_from_platform, index)

    async def _fetch_index(self, sighting: _Sighting) -> RevisionIndex:
        data = await self._fetch_from_peers(sighting, sighting.head.digest)
        if data is None:
            raise FetchError("no peer answers with the index")
        try:
            index = msgspec.json.decode(data, type=RevisionIndex)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise FetchError(f"the index cannot be read: {exc}") from exc
        if index.revision != sighting.head.number:
            raise FetchError("the index bears another number")
        return index

    async def _fetch_parts(
        self, sighting: _Sighting, index: RevisionIndex
    ) -> dict[str, bytes]:
        limit = asyncio.Semaphore(_FETCHES_AT_ONCE)

        async def fetch(ref: PartRef) -> bytes:
            held = self._store.get(ref.digest)
            if held is not None:
                return held
            async with limit:
                return await self._fetch_part(sighting, ref)

        refs = {ref.digest: ref for ref in index.parts}
        fetched = await asyncio.gather(*(fetch(ref) for ref in refs.values()))
        return dict(zip(refs, fetched, strict=True))

    async def _fetch_part(self, sighting: _Sighting, ref: PartRef) -> bytes:
        data = await self._fetch_from_peers(sighting, ref.digest)
        if data is None:
            data = await self._fetch_from_platform(ref.digest)
        if data is None:
            raise FetchError(f"no source answers with part {ref.name}")
        return data

    async def _fetch_from_peers(self, sighting: _Sighting, digest: str) -> bytes | None:
        for address in reversed(sighting.addresses):
            try:
                return await self._content.fetch(address, digest)
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
