"""Content-addressed storage of revisions, served to and fetched from peers."""

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
_MAX_INDEXES = 4


class ContentStore:
    """Indexes of the latest revisions and parts of the active one, by digest."""

    def __init__(self) -> None:
        self._parts: dict[str, bytes] = {}
        self._indexes: dict[str, bytes] = {}

    def get(self, digest: str) -> bytes | None:
        """Return the content with `digest`, or None if it is not stored."""
        return self._parts.get(digest) or self._indexes.get(digest)

    def store_active(self, index: RevisionIndex, parts: dict[str, bytes]) -> None:
        """Store the active revision and drop parts that it does not name."""
        data = msgspec.json.encode(index)
        self._indexes[digest_of(data)] = data
        while len(self._indexes) > _MAX_INDEXES:
            del self._indexes[next(iter(self._indexes))]
        self._parts = {ref.digest: parts[ref.digest] for ref in index.parts}

    def answer(self, req: ContentRequest) -> ContentAnswer:
        """Return the chunk of content that a peer asks for."""
        data = self.get(req.digest) or b""
        chunk = data[req.offset : req.offset + CHUNK_BYTES]
        return ContentAnswer(size=len(data), data=chunk)


class ContentFetcher:
    """Fetches content from peers.

    Parameters
    ----------
    links : PeerLinks
        Sends the requests.
    """

    def __init__(self, *, links: PeerLinks) -> None:
        self._links = links

    async def fetch(self, address: str, digest: str) -> bytes:
        """Return the content with `digest` from one peer, after checking its digest.

        Raises
        ------
        PeerError
            If the peer does not answer or does not have the content.
        """
        data = b""
        while True:
            answer = await self._request_chunk(address, digest, offset=len(data))
            data += answer.data
            if not answer.data or len(data) >= answer.size:
                break
        if digest_of(data) != digest:
            raise PeerError(f"{address}: peer does not have content {digest}")
        return data

    async def _request_chunk(
        self, address: str, digest: str, *, offset: int
    ) -> ContentAnswer:
        content = ContentRequest(digest=digest, offset=offset)
        answer = await self._links.request(address, PeerRequest(content=content))
        if answer.content is None:
            raise PeerError(f"{address}: answer is of another kind than the request")
        return answer.content
