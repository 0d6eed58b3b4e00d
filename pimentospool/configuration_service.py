"""Reading and watching of the platform's services."""

import asyncio
from typing import TypeVar

import aiohttp
import msgspec

from pimentospool._generated.platform import RevisionIndex, VmList
from pimentospool._generated.settings import PlatformSettings
from pimentospool.errors import PimentospoolError
from pimentospool.revisions import INDEX_KEY, part_key
from pimentospool.sending import open_session
from pimentospool.traces import SilentTracer, SpanAttribute, SpanName, Tracer

T = TypeVar("T")
_VERSION_HEADER = "Version"
_NOT_MODIFIED = 304


class PlatformError(PimentospoolError):
    """The platform did not answer, or answered with an error."""


class PublishedIndex(msgspec.Struct, kw_only=True):
    """A revision index and the configuration service's version of it."""

    version: int
    index: RevisionIndex


class _PlatformAnswer(msgspec.Struct, kw_only=True):
    status: int
    version: int
    tag: str
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
        self._vm_list_tag = ""
        self.reads = 0
        self.received_bytes = 0
        self.tracer: Tracer = SilentTracer()

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    async def watch_index(
        self, *, after: int, wait_seconds: float | None = None
    ) -> PublishedIndex | None:
        """Return the index once its version is above `after`, or None at the limit.

        Raises
        ------
        PlatformError
            If the service does not answer as its protocol says.
        """
        wait = self._cfg.watch_seconds if wait_seconds is None else wait_seconds
        address = self._cfg.configuration_address
        url = f"http://{address}/v1/values/{INDEX_KEY}?after={after}&wait={wait}"
        answer = await self._get(url, extra_seconds=wait)
        if answer.status != 200:
            return None
        index = _decode(answer.data, RevisionIndex)
        return PublishedIndex(version=answer.version, index=index)

    async def read_part(self, digest: str) -> bytes:
        """Return the part with `digest`; the caller checks the digest.

        Raises
        ------
        PlatformError
            If the service does not answer with the part.
        """
        address = self._cfg.configuration_address
        url = f"http://{address}/v1/values/{part_key(digest)}"
        answer = await self._get(url)
        if answer.status != 200:
            raise PlatformError(f"part {digest} is not published")
        return answer.data

    async def read_vms(self) -> VmList | None:
        """Return the list of live and leaving VMs, or None if it did not change.

        Raises
        ------
        PlatformError
            If the service does not answer as its protocol says.
        """
        url = f"http://{self._cfg.vm_list_address}/v1/vms"
        answer = await self._get(url, known_tag=self._vm_list_tag)
        if answer.status == _NOT_MODIFIED:
            return None
        vms = _decode(answer.data, VmList)
        self._vm_list_tag = answer.tag
        return vms

    async def _get(
        self, url: str, *, extra_seconds: float = 0.0, known_tag: str = ""
    ) -> "_PlatformAnswer":
        limit = self._cfg.request_timeout_seconds + extra_seconds
        if self._session is None:
            self._session = open_session()
        headers = {"If-None-Match": known_tag} if known_tag else {}
        self.reads += 1
        span = self.tracer.begin(SpanName.PLATFORM, parent="")
        try:
            async with (
                asyncio.timeout(limit),
                self._session.get(url, headers=headers) as resp,
            ):
                if resp.status not in (200, _NOT_MODIFIED, 404):
                    raise PlatformError(f"{url} answered {resp.status}")
                version = int(resp.headers.get(_VERSION_HEADER, "0"))
                data = await resp.read()
                self.received_bytes += len(data)
                return _PlatformAnswer(
                    status=resp.status,
                    version=version,
                    tag=resp.headers.get("ETag", ""),
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
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise PlatformError(f"not a {kind.__name__}: {exc}") from exc
