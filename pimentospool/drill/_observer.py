"""Samples over HTTP which configuration revision is active at each entry VM."""

import asyncio
import time
from collections.abc import Callable

import aiohttp
import msgspec

from pimentospool._generated.callers import EntryList
from pimentospool.drill._evidence import RevisionSample
from pimentospool.drill._publisher import probe_key
from pimentospool.load import EntryAddress
from pimentospool.sending import open_session

_POLL_INTERVAL_SECONDS = 0.4
_REQUEST_TIMEOUT_SECONDS = 1.0
_UNAUTHORIZED = 401


class RevisionObserver:
    """Polls every entry VM for its active revision.

    Parameters
    ----------
    addresses : callable
        Returns the entry VMs to poll.
    first_probe_revision : int or None
        First revision that contains a probe customer; None if none does.
    """

    def __init__(
        self,
        *,
        addresses: Callable[[], list[EntryAddress]],
        first_probe_revision: int | None,
    ) -> None:
        self.samples: list[RevisionSample] = []
        self.latest: dict[str, RevisionSample] = {}
        self._addresses = addresses
        self._first_probe_revision = first_probe_revision

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        async with open_session(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._sample_entry(session, entry) for entry in self._addresses())
                )
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def _sample_entry(
        self, session: aiohttp.ClientSession, entry: EntryAddress
    ) -> None:
        url = f"http://{entry.address}"
        try:
            async with session.get(f"{url}/v1/entries") as resp:
                entry_list = msgspec.json.decode(await resp.read(), type=EntryList)
            accepts_probe_key = await self._accepts_probe_key(
                session, url, entry_list.revision
            )
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
            self.latest.pop(entry.id, None)
            return
        sample = RevisionSample(
            entry=entry.id,
            sampled_at=time.time(),
            revision=entry_list.revision,
            accepts_probe_key=accepts_probe_key,
        )
        self.samples.append(sample)
        self.latest[entry.id] = sample

    async def _accepts_probe_key(
        self, session: aiohttp.ClientSession, url: str, revision: int
    ) -> bool | None:
        if self._first_probe_revision is None or revision < self._first_probe_revision:
            return None
        headers = {"Authorization": f"Bearer {probe_key(revision)}"}
        async with session.get(f"{url}/v1/models", headers=headers) as resp:
            return resp.status != _UNAUTHORIZED
