"""Watches from outside which configuration each entry VM follows."""

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

_INTERVAL_SECONDS = 0.4
_TIMEOUT_SECONDS = 1.0
_UNAUTHORIZED = 401


class RevisionObserver:
    """Asks every entry VM again and again which revision it follows.

    Parameters
    ----------
    addresses : callable
        Returns the entry VMs.
    first_probed : int or None
        First revision that holds a probe customer; None if none does.
    """

    def __init__(
        self, *, addresses: Callable[[], list[EntryAddress]], first_probed: int | None
    ) -> None:
        self.samples: list[RevisionSample] = []
        self.latest: dict[str, RevisionSample] = {}
        self._addresses = addresses
        self._first_probed = first_probed

    async def run(self) -> None:
        """Watch until cancelled."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        async with open_session(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._ask(session, entry) for entry in self._addresses())
                )
                await asyncio.sleep(_INTERVAL_SECONDS)

    async def _ask(self, session: aiohttp.ClientSession, entry: EntryAddress) -> None:
        url = f"http://{entry.address}"
        try:
            async with session.get(f"{url}/v1/entries") as resp:
                answer = msgspec.json.decode(await resp.read(), type=EntryList)
            accepts = await self._probe(session, url, answer.revision)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
            self.latest.pop(entry.id, None)
            return
        sample = RevisionSample(
            entry=entry.id,
            at=time.time(),
            revision=answer.revision,
            accepts_newest=accepts,
        )
        self.samples.append(sample)
        self.latest[entry.id] = sample

    async def _probe(
        self, session: aiohttp.ClientSession, url: str, revision: int
    ) -> bool | None:
        if self._first_probed is None or revision < self._first_probed:
            return None
        headers = {"Authorization": f"Bearer {probe_key(revision)}"}
        async with session.get(f"{url}/v1/models", headers=headers) as resp:
            return resp.status != _UNAUTHORIZED
