"""Reading and watching of the platform's services."""

import asyncio
from typing import TypeVar

import aiohttp
import msgspec

from pimentospool._generated.platform import RevisionIndex, VmList
from pimentospool._generated.settings import PlatformSettings
from pimentospool.errors import PimentospoolError
from pimentospool.revisions import INDEX_KEY, part_key

T = TypeVar("T")
_VERSION_HEADER = "Version"


class PlatformError(PimentospoolError):
    """The platform did not answer, or answered with an error."""


class PublishedIndex(msgspec.Struct, kw_only=True):
    """A revision index and the configuration service's version of it."""

    version: int
    index: RevisionIndex


class _PlatformAnswer(msgspec.Struct, kw_only=True):
    status: int
    version: int
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
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def watch_index(self, *, after: int) -> PublishedIndex | None:
        """Return the index once its version is above `after`, or None at the limit.

        Raises
        ------
        PlatformError
            If the service does not answer as its protocol says.
        """
        wait = self._cfg.watch_seconds
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

    async def read_vms(self) -> VmList:
        """Return the list of live and leaving VMs.

        Raises
        ------
        PlatformError
            If the service does not answer as its protocol says.
        """
        url = f"http://{self._cfg.vm_list_address}/v1/vms"
        answer = await self._get(url)
        return _decode(answer.data, VmList)

    async def _get(self, url: str, *, extra_seconds: float = 0.0) -> "_PlatformAnswer":
        limit = self._cfg.request_timeout_seconds + extra_seconds
        try:
            async with asyncio.timeout(limit), self._session.get(url) as resp:
                if resp.status not in (200, 304, 404):
                    raise PlatformError(f"{url} answered {resp.status}")
                version = int(resp.headers.get(_VERSION_HEADER, "0"))
                data = await resp.read()
                return _PlatformAnswer(status=resp.status, version=version, data=data)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise PlatformError(f"{url}: {type(exc).__name__} {exc}") from exc


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise PlatformError(f"not a {kind.__name__}: {exc}") from exc
