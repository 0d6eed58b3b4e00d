"""Requests to peers over connections that are reused until a request fails."""

from collections import OrderedDict
from pathlib import Path

import msgspec
import pynng

from pimentospool._generated.peers import PeerAnswer, PeerRequest
from pimentospool._generated.settings import TlsSettings
from pimentospool.errors import PimentospoolError
from pimentospool.peers._codec import CodecError, PeerCodec

_MAX_LINKS = 64
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 1000
# Longer than any request's timeout: the library shall not resend a request whose
# answer is late.
_NO_RESEND_MS = 3_600_000


class PeerError(PimentospoolError):
    """A peer sent no answer or an invalid one."""


class TrafficCounter(msgspec.Struct, kw_only=True):
    """Counts of messages and bytes that one node sent and received."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0

    def count_sent(self, data: bytes) -> None:
        """Count a message that was sent."""
        self.sent_messages += 1
        self.sent_bytes += len(data)

    def count_received(self, data: bytes) -> None:
        """Count a message that was received."""
        self.received_messages += 1
        self.received_bytes += len(data)


class PeerTls:
    """TLS of control messages; both sides present a certificate.

    Parameters
    ----------
    cfg : TlsSettings
        PEM files; empty paths turn TLS off.
    server_name : str
        DNS name in every peer's certificate.
    """

    def __init__(self, *, cfg: TlsSettings, server_name: str) -> None:
        self.enabled = bool(cfg.peer_certificate)
        self.scheme = "tls+tcp" if self.enabled else "tcp"
        self._cfg = cfg
        self._server_name = server_name

    def server(self) -> pynng.TLSConfig | None:
        """Return the listener's configuration; reads the files again on every call."""
        return self._config(pynng.TLSConfig.MODE_SERVER, None)

    def client(self) -> pynng.TLSConfig | None:
        """Return a dialer's configuration; reads the files again on every call."""
        return self._config(pynng.TLSConfig.MODE_CLIENT, self._server_name)

    def _config(self, mode: int, server_name: str | None) -> pynng.TLSConfig | None:
        if not self.enabled:
            return None
        cfg = self._cfg
        return pynng.TLSConfig(
            mode,
            server_name=server_name,
            ca_string=Path(cfg.peer_authority).read_text(),
            own_key_string=Path(cfg.peer_key).read_text(),
            own_cert_string=Path(cfg.peer_certificate).read_text(),
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        )


class _Link:
    """A connection to one peer, closed once it is retired and has no open request."""

    def __init__(self, *, sock: pynng.Req0) -> None:
        self.sock = sock
        self._in_use = 0
        self._retired = False

    def __enter__(self) -> pynng.Req0:
        self._in_use += 1
        return self.sock

    def __exit__(self, *exc_info: object) -> None:
        self._in_use -= 1
        self._close_if_idle()

    def retire(self) -> None:
        """Close the connection as soon as the requests on it have ended."""
        self._retired = True
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        if self._retired and not self._in_use:
            self.sock.close()


class PeerLinks:
    """Sends requests to peers, on one connection per address.

    Parameters
    ----------
    codec : PeerCodec
        Signs and verifies messages.
    tls : PeerTls
        TLS of the connections.
    timeout_seconds : float
        Longest wait for an answer.
    """

    def __init__(
        self, *, codec: PeerCodec, tls: PeerTls, timeout_seconds: float
    ) -> None:
        self.traffic = TrafficCounter()
        self._codec = codec
        self._tls = tls
        self._timeout_ms = round(timeout_seconds * 1000)
        self._closed = False
        self._links: OrderedDict[str, _Link] = OrderedDict()

    async def request(
        self, address: str, req: PeerRequest, *, new_connection: bool = False
    ) -> PeerAnswer:
        """Send `req` and return its answer.

        A connection on which a request failed is not used for later requests.

        Parameters
        ----------
        new_connection : bool
            Whether to replace the current connection first; it may be dead unnoticed.

        Raises
        ------
        PeerError
            If no valid answer comes within the timeout.
        """
        if self._closed:
            raise PeerError(f"{address}: this process is stopping")
        if new_connection:
            self._retire(address)
        data = self._codec.encode(req)
        link = self._link(address)
        try:
            with link as sock, sock.new_context() as ctx:
                await ctx.asend(data)
                self.traffic.count_sent(data)
                answer = await ctx.arecv()
        except (pynng.NNGException, OSError) as exc:
            if self._links.get(address) is link:
                self._retire(address)
            raise PeerError(f"{address}: {type(exc).__name__} {exc}") from exc
        self.traffic.count_received(answer)
        try:
            return self._codec.decode(answer, PeerAnswer)
        except CodecError as exc:
            raise PeerError(f"{address}: {exc}") from exc

    def close(self) -> None:
        """Close every connection at once and refuse new requests."""
        self._closed = True
        for link in self._links.values():
            link.sock.close()
        self._links.clear()

    def retire_all(self) -> None:
        """Replace every connection; later requests open new ones."""
        for address in list(self._links):
            self._retire(address)

    def _retire(self, address: str) -> None:
        link = self._links.pop(address, None)
        if link is not None:
            link.retire()

    def _link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = _Link(sock=self._dial(address))
            self._links[address] = link
            while len(self._links) > _MAX_LINKS:
                self._retire(next(iter(self._links)))
        self._links.move_to_end(address)
        return link

    def _dial(self, address: str) -> pynng.Req0:
        sock = pynng.Req0(
            send_timeout=self._timeout_ms,
            recv_timeout=self._timeout_ms,
            resend_time=_NO_RESEND_MS,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
            tls_config=self._tls.client(),
        )
        sock.dial(f"{self._tls.scheme}://{address}", block=False)
        return sock
