"""Client of the platform's configuration service and VM list."""

import asyncio
from typing import TypeVar

import aiohttp
import msgspec

from pimentospool._generated.platform import RevisionIndex, VmList
from pimentospool._generated.settings import PlatformSettings
from pimentospool.errors import PimentospoolError
from pimentospool.revisions import INDEX_KEY, part_key
from pimentospool.sending import open_session
from pimentospool.traces import NoOpTracer, SpanAttribute, SpanName, Tracer

T = TypeVar("T")
_VERSION_HEADER = "Version"
_NOT_MODIFIED = 304


class PlatformError(PimentospoolError):
    """The platform sent no response, an error or an invalid response."""


class PublishedIndex(msgspec.Struct, kw_only=True):
    """A revision index and the configuration service's version of it."""

    version: int
    index: RevisionIndex


class _PlatformAnswer(msgspec.Struct, kw_only=True):
    status: int
    version: int
    etag: str
    data: bytes


class PlatformClient:
    """Client of the configuration service and of the VM list.

    Parameters
    ----------
    cfg : PlatformSettings
        Addresses and timeouts.
    """

    def __init__(self, *, cfg: PlatformSettings) -> None:
        self._cfg = cfg
        self._session: aiohttp.ClientSession | None = None
        self._vm_list_etag = ""
        self.reads = 0
        self.received_bytes = 0
        self.tracer: Tracer = NoOpTracer()

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    async def watch_index(
        self, *, after: int, wait_seconds: float | None = None
    ) -> PublishedIndex | None:
        """Return the index once its version is above `after`, or None on timeout.

        Raises
        ------
        PlatformError
            If the service sends no valid response.
        """
        poll_seconds = self._cfg.watch_seconds if wait_seconds is None else wait_seconds
        address = self._cfg.configuration_address
        url = (
            f"http://{address}/v1/values/{INDEX_KEY}?after={after}&wait={poll_seconds}"
        )
        answer = await self._get(url, extra_seconds=poll_seconds)
        if answer.status != 200:
            return None
        index = _decode(answer.data, RevisionIndex)
        return PublishedIndex(version=answer.version, index=index)

    async def read_part(self, digest: str) -> bytes:
        """Return the part with `digest`; the caller has to check the digest.

        Raises
        ------
        PlatformError
            If the service does not return the part.
        """
        address = self._cfg.configuration_address
        url = f"http://{address}/v1/values/{part_key(digest)}"
        answer = await self._get(url)
        if answer.status != 200:
            raise PlatformError(f"part {digest} is not published")
        return answer.data

    async def read_vms(self) -> VmList | None:
        """Return the list of live and leaving VMs, or None if it is unchanged.

        Raises
        ------
        PlatformError
            If the service sends no valid response.
        """
        url = f"http://{self._cfg.vm_list_address}/v1/vms"
        answer = await self._get(url, known_etag=self._vm_list_etag)
        if answer.status == _NOT_MODIFIED:
            return None
        vms = _decode(answer.data, VmList)
        self._vm_list_etag = answer.etag
        return vms

    async def _get(
        self, url: str, *, extra_seconds: float = 0.0, known_etag: str = ""
    ) -> "_PlatformAnswer":
        timeout_seconds = self._cfg.request_timeout_seconds + extra_seconds
        if self._session is None:
            self._session = open_session()
        headers = {"If-None-Match": known_etag} if known_etag else {}
        self.reads += 1
        span = self.tracer.begin(SpanName.PLATFORM, parent="")
        try:
            async with (
                asyncio.timeout(timeout_seconds),
                self._session.get(url, headers=headers) as resp,
            ):
                if resp.status not in (200, _NOT_MODIFIED, 404):
                    raise PlatformError(f"{url} responded with status {resp.status}")
                version = int(resp.headers.get(_VERSION_HEADER, "0"))
                data = await resp.read()
                self.received_bytes += len(data)
                return _PlatformAnswer(
                    status=resp.status,
                    version=version,
                    etag=resp.headers.get("ETag", ""),
                    data=data,
                )
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            span.set(SpanAttribute.CAUSE, type(exc).__name__)
            raise PlatformError(f"{url}: {type(exc).__name__} {exc}") from exc
        finally:
            span.end()


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise PlatformError(f"response is not a valid {kind.__name__}: {exc}") from exc
