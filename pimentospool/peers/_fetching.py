"""Content that is found by its digest: kept, served to peers and fetched."""

import msgspec

from pimentospool._generated.peers import (
    ContentAnswer,
    ContentRequest,
    PeerRequest,
)
from pimentospool._generated.platform import RevisionIndex
from pimentospool.peers._links import PeerError, PeerLinks
from pimentospool.revisions import digest_of

CHUNK_BYTES = 64 * 1024
_INDEXES_KEPT = 4


class ContentStore:
    """Indexes and parts of the latest revisions, by digest."""

    def __init__(self) -> None:
        self._parts: dict[str, bytes] = {}
        self._indexes: dict[str, bytes] = {}

    def get(self, digest: str) -> bytes | None:
        """Return content held, if any."""
        return self._parts.get(digest) or self._indexes.get(digest)

    def keep(self, index: RevisionIndex, parts: dict[str, bytes]) -> None:
        """Hold a revision in force; parts that it does not name are dropped."""
        data = msgspec.json.encode(index)
        self._indexes[digest_of(data)] = data
        while len(self._indexes) > _INDEXES_KEPT:
            del self._indexes[next(iter(self._indexes))]
        self._parts = {ref.digest: parts[ref.digest] for ref in index.parts}

    def answer(self, req: ContentRequest) -> ContentAnswer:
        """Return the piece of content that a peer asks for."""
        data = self.get(req.digest) or b""
        piece = data[req.offset : req.offset + CHUNK_BYTES]
        return ContentAnswer(size=len(data), data=piece)


class PeerContent:
    """Fetches content from peers.

    Parameters
    ----------
    links : PeerLinks
        Sends the requests.
    """

    def __init__(self, *, links: PeerLinks) -> None:
        self._links = links

    async def fetch(self, address: str, digest: str) -> bytes:
        """Return the content with `digest`, checked, from one peer.

        Raises
        ------
        PeerError
            If the peer does not answer, or not with that content.
        """
        data = b""
        while True:
            answer = await self._ask(address, digest, offset=len(data))
            data += answer.data
            if not answer.data or len(data) >= answer.size:
                break
        if digest_of(data) != digest:
            raise PeerError(f"{address}: content {digest} is not held there")
        return data

    async def _ask(self, address: str, digest: str, *, offset: int) -> ContentAnswer:
        content = ContentRequest(digest=digest, offset=offset)
        answer = await self._links.request(address, PeerRequest(content=content))
        if answer.content is None:
            raise PeerError(f"{address}: answered another request")
        return answer.content
