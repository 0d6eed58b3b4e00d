"""Discovery of entry VMs through the directory and the lists that entry VMs serve."""

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp
import msgspec

from pimentospool._generated.callers import EntryChoice, EntryList
from pimentospool._generated.platform import DirectoryAnswer
from pimentospool.ids import RegionId
from pimentospool.sending import WrappedTransportError

AVOID_SECONDS = 2.0
AVOID_REGION_SECONDS = 30.0
_READ_TIMEOUT_SECONDS = 2.0


class EntryFinder:
    """Chooses the entry VM of each attempt.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that reads the directory and the lists.
    directory : str
        IP:port of the clients' directory.
    rng : random.Random
        Source of the weighted random choices.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        directory: str,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.revision = 0
        self._session = session
        self._directory = directory
        self._rng = rng
        self._clock = clock
        self._choices: list[EntryChoice] = []
        self._seeds: list[str] = []
        self._valid_until = 0.0
        self._avoided_until: dict[str, float] = {}
        self._regions: dict[str, RegionId] = {}
        self._excluded_regions: set[RegionId] = set()
        self._refresh_lock = asyncio.Lock()

    async def choose(self) -> str | None:
        """Return the IP:port of an entry VM, or None if none is known."""
        async with self._refresh_lock:
            if self._clock() >= self._valid_until:
                await self._refresh()
        choices = [item for item in self._choices if not self._is_avoided(item.address)]
        if choices:
            weights = [item.weight for item in choices]
            if any(weights):
                return self._rng.choices(choices, weights=weights)[0].address
            return choices[0].address
        known = [item.address for item in self._choices] or self._seeds
        return min(
            known, key=lambda name: self._avoided_until.get(name, 0.0), default=None
        )

    def avoid(self, address: str) -> None:
        """Prefer other entry VMs to that at `address` for `AVOID_SECONDS`."""
        self._avoided_until[address] = self._clock() + AVOID_SECONDS

    def avoid_region(self, address: str) -> None:
        """Exclude the region of the entry VM at `address` while others are usable."""
        self._avoided_until[address] = self._clock() + AVOID_REGION_SECONDS
        if address in self._regions:
            self._excluded_regions.add(self._regions[address])
        self._valid_until = 0.0

    def _is_avoided(self, address: str) -> bool:
        return self._avoided_until.get(address, 0.0) > self._clock()

    async def _refresh(self) -> None:
        """Read the list from an entry VM; keep the last list if none answers.

        In that case the directory is read again, and excluded regions are readmitted.
        """
        if not self._seeds:
            await self._read_directory()
        known = [item.address for item in self._choices]
        known.sort(key=self._is_avoided)
        seeds = [address for address in self._seeds if address not in known]
        self._rng.shuffle(seeds)
        for address in known + seeds:
            if await self._read_list(address):
                return
            self.avoid(address)
        await self._read_directory()
        self._excluded_regions.clear()

    async def _read_list(self, address: str) -> bool:
        data = await self._get(f"http://{address}/v1/entries")
        if data is None:
            return False
        try:
            answer = msgspec.json.decode(data, type=EntryList)
        except msgspec.DecodeError:
            return False
        if answer.revision < self.revision:
            return False
        self._regions.update({item.address: item.region for item in answer.entries})
        usable = [
            item for item in answer.entries if item.region not in self._excluded_regions
        ]
        if not usable:
            return False
        self.revision = answer.revision
        self._choices = usable
        self._valid_until = self._clock() + answer.lifetime_seconds
        return True

    async def _read_directory(self) -> None:
        data = await self._get(f"http://{self._directory}/v1/directory")
        if data is None:
            return
        try:
            self._seeds = msgspec.json.decode(data, type=DirectoryAnswer).addresses
        except msgspec.DecodeError:
            return

    async def _get(self, url: str) -> bytes | None:
        try:
            async with (
                asyncio.timeout(_READ_TIMEOUT_SECONDS),
                self._session.get(url) as resp,
            ):
                return await resp.read() if resp.ok else None
        except (WrappedTransportError, aiohttp.ClientError, OSError, TimeoutError):
            return None
