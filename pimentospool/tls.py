"""TLS contexts for callers and hops, renewed from their files in place."""

import asyncio
import ssl
from enum import Enum
from pathlib import Path

from pimentospool._generated.settings import TlsSettings
from pimentospool.errors import DocumentError, DocumentErrors
from pimentospool.log import Event, log_event
from pimentospool.signals import Signal


class ChainUse(Enum):
    """To whom a certificate is shown."""

    CALLER = "caller"
    PEER = "peer"


class TlsContexts:
    """Contexts of one entry process.

    Callers and hops come in on the same port. With a peers' authority in the
    settings, a hop must show a certificate of that authority, and the entry VM
    that it is sent to must show one as well.

    Parameters
    ----------
    cfg : TlsSettings
        Paths of PEM files.

    Attributes
    ----------
    reloaded : Signal
        Sent with the use of a chain that was renewed.

    Raises
    ------
    DocumentErrors
        If a file cannot be read or a certificate does not match its key.
    """

    def __init__(self, *, cfg: TlsSettings) -> None:
        self.reloaded: Signal[ChainUse] = Signal(name="reloaded")
        self.server: ssl.SSLContext | None = None
        self.hops: ssl.SSLContext | None = None
        self._cfg = cfg
        self._chains: list[_Chain] = []
        if cfg.caller_certificate:
            self.server = self._server_context()
            self.hops = self._hop_context()

    @property
    def hops_show_certificates(self) -> bool:
        """Whether a hop without a peer's certificate is refused."""
        return self.server is not None and bool(self._cfg.peer_authority)

    async def watch(self) -> None:
        """Load changed chains into the contexts; open connections go on."""
        while self._chains:
            await asyncio.sleep(self._cfg.reload_seconds)
            for chain in self._chains:
                if chain.reload_when_changed():
                    self.reloaded.send(chain.use)

    def _server_context(self) -> ssl.SSLContext:
        ctx = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        certificate, key = self._cfg.caller_certificate, self._cfg.caller_key
        self._load(ChainUse.CALLER, ctx, certificate, key)
        if self._cfg.peer_authority:
            ctx.verify_mode = ssl.CERT_OPTIONAL
            self._trust(ctx)
        return ctx

    def _hop_context(self) -> ssl.SSLContext:
        ctx = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
        if self._cfg.peer_authority:
            self._trust(ctx)
        if self._cfg.peer_certificate:
            certificate, key = self._cfg.peer_certificate, self._cfg.peer_key
            self._load(ChainUse.PEER, ctx, certificate, key)
        return ctx

    def _load(
        self, use: ChainUse, ctx: ssl.SSLContext, certificate: str, key: str
    ) -> None:
        chain = _Chain(use=use, ctx=ctx, certificate=Path(certificate), key=Path(key))
        try:
            chain.load()
        except OSError as exc:
            raise _refused(f"tls.{use.value}_certificate", exc) from exc
        self._chains.append(chain)

    def _trust(self, ctx: ssl.SSLContext) -> None:
        try:
            ctx.load_verify_locations(cafile=self._cfg.peer_authority)
        except OSError as exc:
            raise _refused("tls.peer_authority", exc) from exc


class _Chain:
    """A certificate and its key in the files that they come from."""

    def __init__(
        self, *, use: ChainUse, ctx: ssl.SSLContext, certificate: Path, key: Path
    ) -> None:
        self.use = use
        self._ctx = ctx
        self._files = (certificate, key)
        self._loaded: tuple[bytes, ...] = ()

    def load(self) -> None:
        """Load the files; nothing changes if they do not match each other."""
        contents = self._contents()
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(*self._files)
        self._ctx.load_cert_chain(*self._files)
        self._loaded = contents

    def reload_when_changed(self) -> bool:
        """Load the files if they differ from those loaded last; return whether."""
        name = self.use.value
        try:
            if self._contents() == self._loaded:
                return False
            self.load()
        except OSError as exc:
            log_event(Event.CERTIFICATE_REFUSED, certificate=name, error=str(exc))
            return False
        log_event(Event.CERTIFICATE_LOADED, certificate=name)
        return True

    def _contents(self) -> tuple[bytes, ...]:
        return tuple(path.read_bytes() for path in self._files)


def _refused(path: str, exc: OSError) -> DocumentErrors:
    fault = DocumentError(path=path, message=f"cannot be loaded: {exc}")
    return DocumentErrors("settings refused", [fault])
