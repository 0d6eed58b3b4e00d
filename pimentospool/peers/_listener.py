"""Listener for peers' requests."""

import asyncio
from collections.abc import Awaitable, Callable

import pynng

from pimentospool._generated.peers import PeerAnswer, PeerRequest
from pimentospool.log import Event, log_event
from pimentospool.peers._codec import CodecError, PeerCodec
from pimentospool.peers._links import PeerTls, TrafficCounter
from pimentospool.tasks import cancel_tasks

_WORKERS = 8
_LISTEN_RETRY_SECONDS = 0.02
_MAX_MESSAGE_BYTES = 4 * 1024 * 1024

Handler = Callable[[PeerRequest], Awaitable[PeerAnswer]]


class PeerListener:
    """Answers requests of peers on one address.

    Parameters
    ----------
    address : str
        IP:port to listen on.
    codec : PeerCodec
        Verifies and signs messages.
    tls : PeerTls
        TLS of the connections.
    traffic : Traffic
        Counts the messages.
    handle : callable
        Returns the answer to one request.
    """

    def __init__(
        self,
        *,
        address: str,
        codec: PeerCodec,
        tls: PeerTls,
        traffic: TrafficCounter,
        handle: Handler,
    ) -> None:
        self._url = f"{tls.scheme}://{address}"
        self._codec = codec
        self._tls = tls
        self._traffic = traffic
        self._handle = handle
        self._sock: pynng.Rep0 | None = None
        self._endpoint: pynng.Listener | None = None
        self._workers: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start listening and answering requests."""
        sock = pynng.Rep0(
            recv_max_size=_MAX_MESSAGE_BYTES, tls_config=self._tls.server()
        )
        self._endpoint = sock.listen(self._url)
        self._sock = sock
        self._workers = [
            asyncio.create_task(self._serve(sock.new_context()))
            for _ in range(_WORKERS)
        ]

    async def renew_certificate(self) -> None:
        """Listen again, with the certificate that the files now contain.

        Peers reconnect, and send a request that was interrupted again.
        """
        if self._sock is None or self._endpoint is None:
            return
        self._endpoint.close()
        self._endpoint = None
        self._sock.tls_config = self._tls.server()
        while self._endpoint is None:
            try:
                self._endpoint = self._sock.listen(self._url)
            except pynng.AddressInUse:
                await asyncio.sleep(_LISTEN_RETRY_SECONDS)

    async def close(self) -> None:
        """Stop listening and answering requests."""
        if self._sock is not None:
            self._sock.close()
        await cancel_tasks(self._workers)

    async def _serve(self, ctx: pynng.Context) -> None:
        with ctx:
            while True:
                try:
                    await self._answer_one(ctx)
                except pynng.Closed:
                    return
                except (pynng.NNGException, CodecError) as exc:
                    log_event(Event.PEER_MESSAGE_REFUSED, error=str(exc))

    async def _answer_one(self, ctx: pynng.Context) -> None:
        data = await ctx.arecv()
        self._traffic.count_received(data)
        answer = await self._handle(self._codec.decode(data, PeerRequest))
        encoded = self._codec.encode(answer)
        self._traffic.count_sent(encoded)
        await ctx.asend(encoded)
