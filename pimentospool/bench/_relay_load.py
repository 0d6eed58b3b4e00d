"""Client of the relay bench: sends streams and plain calls, and checks streams."""

import asyncio
import time

import aiohttp
import msgspec

from pimentospool.errors import Problem
from pimentospool.sending import open_session
from pimentospool.standins import token_text

MODEL = "bench"
CUSTOMER_KEY = "bench-key"
CHAT_PATH = "/v1/chat/completions"
_HEADERS = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
_PROMPT_PREFIX = "user\n"
_OK = 200


class StreamResult(msgspec.Struct, kw_only=True):
    """One stream as the client received it."""

    first_seconds: float = 0.0
    chunks: int = 0
    whole: bool = False
    status: int = 0
    error: str = ""


class BenchClient:
    """Sends the bench's requests to a base address.

    Parameters
    ----------
    address : str
        IP:port of an entry VM or of a target.
    """

    def __init__(self, *, address: str) -> None:
        self._session = open_session(
            f"http://{address}",
            headers=_HEADERS,
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def stream(self, number: int, tokens: int) -> StreamResult:
        """Request a stream of `tokens` tokens and check every byte of it."""
        content = f"stream {number}"
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": content}],
            "stream": True,
            "max_tokens": tokens,
        }
        result = StreamResult()
        started_at = time.perf_counter()
        pieces: list[bytes] = []
        try:
            async with self._session.post(CHAT_PATH, json=body) as resp:
                result.status = resp.status
                while piece := await resp.content.readany():
                    if not pieces:
                        result.first_seconds = time.perf_counter() - started_at
                    pieces.append(piece)
        except aiohttp.ClientError as exc:
            result.error = repr(exc)
        data = b"".join(pieces)
        if result.status not in (0, _OK):
            problem = msgspec.json.decode(data, type=Problem)
            result.error = f"{problem.error.type}: {problem.detail}"
        result.chunks = data.count(b"\n\n")
        result.whole = is_whole(data, f"{_PROMPT_PREFIX}{content}\n", tokens)
        return result

    async def call(self, path: str) -> bool:
        """Make one plain call; return whether it succeeded with a complete response."""
        async with self._session.get(path) as resp:
            return resp.status == _OK and bool(await resp.read())


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta


class _Chunk(msgspec.Struct):
    choices: list[_Choice]


def is_whole(data: bytes, prompt: str, tokens: int) -> bool:
    """Return whether `data` is the engine's complete stream, byte for byte."""
    events = data.split(b"\n\n")
    if len(events) != tokens + 3 or events[-2] != b"data: [DONE]" or events[-1]:
        return False
    for number, event in enumerate(events[:tokens]):
        id_line, _, payload = event.partition(b"\ndata: ")
        if id_line != b"id: %d" % number:
            return False
        chunk = msgspec.json.decode(payload, type=_Chunk)
        if chunk.choices[0].delta.content != token_text(prompt, number):
            return False
    return True


async def repeat_calls(
    client: BenchClient, path: str, *, workers: int, count: int
) -> int:
    """Make `count` calls with concurrent `workers`; return how many succeeded."""
    remaining = iter(range(count))

    async def work() -> int:
        return sum([await client.call(path) for _ in remaining])

    return sum(await asyncio.gather(*[work() for _ in range(workers)]))
