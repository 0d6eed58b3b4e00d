"""Stand-in for a platform's target whose answers don't end."""

import asyncio
import contextlib
from collections.abc import Callable

from pimentospool.standins._signing_target import Fault, ReceivedRequest, SigningTarget

_WRITE_SECONDS = 0.02


class EndlessAnswerTarget(SigningTarget):
    """A target that answers at a steady pace until its caller closes.

    Parameters
    ----------
    instance : str
        Its id.
    header : str
        Header that names the framing of its answers.
    encode : callable
        Returns a part of an answer, given its size in bytes.
    bytes_per_second : int
        Pace on each connection.
    """

    def __init__(
        self,
        *,
        instance: str,
        header: str,
        encode: Callable[[int], bytes],
        bytes_per_second: int,
    ) -> None:
        super().__init__(instance=instance)
        self._header = header
        self._part = encode(round(bytes_per_second * _WRITE_SECONDS))

    async def _respond(
        self,
        req: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: Fault | None,
        disconnected: "asyncio.Future[None]",
    ) -> bool:
        writer.write(self._response_head(req, 200, self._header))
        with contextlib.suppress(ConnectionError):
            while not (disconnected.done() or writer.is_closing()):
                writer.write(self._part)
                await writer.drain()
                await asyncio.wait([disconnected], timeout=_WRITE_SECONDS)
        return False
