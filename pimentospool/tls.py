"""TLS contexts for callers and hops; changed files are reloaded into them."""

import asyncio
import ssl
from enum import Enum
from pathlib import Path

from pimentospool._generated.settings import TlsSettings
from pimentospool.errors import DocumentError, DocumentErrors
from pimentospool.log import Event, log_event
from pimentospool.signals import Signal


class CertificateUse(Enum):
    """Who is shown a certificate: callers or peers."""

    CALLER = "caller"
    PEER = "peer"


class TlsContexts:
    """TLS contexts of one entry process.

    Callers and hops arrive on the same port. If the settings name a peers'
    authority, a hop must present a certificate of that authority, and so must the
    entry VM that it is sent to.

    Parameters
    ----------
    cfg : TlsSettings
        Paths of PEM files.

    Attributes
    ----------
    reloaded : Signal
        Sent with the use of a certificate chain that was reloaded.

    Raises
    ------
    DocumentErrors
        If a file cannot be read or a certificate does not match its key.
    """

    def __init__(self, *, cfg: TlsSettings) -> None:
        self.reloaded: Signal[CertificateUse] = Signal(name="reloaded")
        self.server_context: ssl.SSLContext | None = None
        self.hop_context: ssl.SSLContext | None = None
        self._cfg = cfg
        self._chains: list[_CertificateChain] = []
        if cfg.caller_certificate:
            self.server_context = self._server_context()
            self.hop_context = self._hop_context()

    @property
    def hops_require_certificates(self) -> bool:
        """Whether hops without a peer's certificate are refused."""
        return self.server_context is not None and bool(self._cfg.peer_authority)

    async def watch(self) -> None:
        """Reload changed chains into the contexts until cancelled.

        Open connections are not affected.
        """
        while self._chains:
            await asyncio.sleep(self._cfg.reload_seconds)
            for chain in self._chains:
                if chain.reload_if_changed():
                    self.reloaded.send(chain.use)

    def _server_context(self) -> ssl.SSLContext:
        ctx = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        certificate, key = self._cfg.caller_certificate, self._cfg.caller_key
        self._load_chain(CertificateUse.CALLER, ctx, certificate, key)
        if self._cfg.peer_authority:
            ctx.verify_mode = ssl.CERT_OPTIONAL
            self._trust_peer_authority(ctx)
        return ctx

    def _hop_context(self) -> ssl.SSLContext:
        ctx = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
        if self._cfg.peer_authority:
            self._trust_peer_authority(ctx)
        if self._cfg.peer_certificate:
            certificate, key = self._cfg.peer_certificate, self._cfg.peer_key
            self._load_chain(CertificateUse.PEER, ctx, certificate, key)
        return ctx

    def _load_chain(
        self, use: CertificateUse, ctx: ssl.SSLContext, certificate: str, key: str
    ) -> None:
        chain = _CertificateChain(
            use=use, ctx=ctx, certificate=Path(certificate), key=Path(key)
        )
        try:
            chain.load()
        except OSError as exc:
            raise _load_error(f"tls.{use.value}_certificate", exc) from exc
        self._chains.append(chain)

    def _trust_peer_authority(self, ctx: ssl.SSLContext) -> None:
        try:
            ctx.load_verify_locations(cafile=self._cfg.peer_authority)
        except OSError as exc:
            raise _load_error("tls.peer_authority", exc) from exc


class _CertificateChain:
    """A certificate chain and its key, loaded from files into a TLS context."""

    def __init__(
        self, *, use: CertificateUse, ctx: ssl.SSLContext, certificate: Path, key: Path
    ) -> None:
        self.use = use
        self._ctx = ctx
        self._files = (certificate, key)
        self._loaded: tuple[bytes, ...] = ()

    def load(self) -> None:
        """Load the files, unless one is unreadable or they do not match each other."""
        contents = self._contents()
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(*self._files)
        self._ctx.load_cert_chain(*self._files)
        self._loaded = contents

    def reload_if_changed(self) -> bool:
        """Load the files if they changed; return whether new ones were loaded.

        A failure is logged, and the certificate that was loaded last stays active.
        """
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


def _load_error(path: str, exc: OSError) -> DocumentErrors:
    fault = DocumentError(path=path, message=f"cannot be loaded: {exc}")
    return DocumentErrors("settings refused", [fault])
