"""Reading of the platform by the few members of a zone that do so."""

import asyncio
import random
from collections.abc import Callable

from pimentospool._generated.platform import RevisionIndex, VmList
from pimentospool._generated.settings import PlatformSettings
from pimentospool.configuration_service import PlatformClient, PlatformError
from pimentospool.log import Event, log_event
from pimentospool.signals import Signal

_IDLE_SECONDS = 0.2
_RETRY_MIN_SECONDS = 0.25
_RETRY_MAX_SECONDS = 2.0


class PlatformWatch:
    """Watches the configuration service and reads the VM list.

    Parameters
    ----------
    cfg : PlatformSettings
        Intervals.
    client : PlatformClient
        Client of the platform.
    may_read : callable
        Returns whether this process should read now.
    rng : random.Random
        Source of the spread of retries.
    """

    def __init__(
        self,
        *,
        cfg: PlatformSettings,
        client: PlatformClient,
        may_read: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self.index_read: Signal[RevisionIndex] = Signal(name="index_read")
        self.vms_read: Signal[VmList] = Signal(name="vms_read")
        self.contacted: Signal[[]] = Signal(name="contacted")
        self.vms_contacted: Signal[[]] = Signal(name="vms_contacted")
        self._cfg = cfg
        self._client = client
        self._may_read = may_read
        self._rng = rng
        self._version = 0
        self._unreachable = False
        self._wait: asyncio.Task[None] | None = None

    async def read_once(self) -> None:
        """Read the index without waiting for a change; errors are logged."""
        try:
            await self._read_index(wait_seconds=0.0)
        except PlatformError as exc:
            self._note_error(exc)

    async def read_vms_once(self) -> None:
        """Read the VM list; errors are logged."""
        try:
            vms = await self._client.read_vms()
        except PlatformError as exc:
            self._note_error(exc)
            return
        self.vms_contacted.send()
        if vms is not None:
            self.vms_read.send(vms)

    async def run_index(self) -> None:
        """Watch the index while this process may read."""
        while True:
            if not self._may_read():
                await asyncio.sleep(_IDLE_SECONDS)
                continue
            wait = asyncio.create_task(self._read_index())
            self._wait = wait
            try:
                await asyncio.wait([wait])
                if not wait.cancelled():
                    wait.result()
            except PlatformError as exc:
                self._note_error(exc)
                await asyncio.sleep(
                    self._rng.uniform(_RETRY_MIN_SECONDS, _RETRY_MAX_SECONDS)
                )
            finally:
                wait.cancel()

    async def run_vms(self) -> None:
        """Read the VM list over and over while this process may read."""
        while True:
            await asyncio.sleep(self._cfg.vm_list_interval_seconds)
            if self._may_read():
                await self.read_vms_once()

    def restart(self) -> None:
        """Give up the watch in progress, whose connection may be silent."""
        self._version = 0
        if self._wait is not None:
            self._wait.cancel()

    async def _read_index(self, *, wait_seconds: float | None = None) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        published = await self._client.watch_index(
            after=self._version, wait_seconds=wait_seconds
        )
        if not self._may_read() and wait_seconds is None:
            return
        self._note_answer()
        if published is not None:
            self._version = published.version
            self.index_read.send(published.index)
        elif loop.time() - started_at < _IDLE_SECONDS:
            await asyncio.sleep(_IDLE_SECONDS)

    def _note_answer(self) -> None:
        self.contacted.send()
        if self._unreachable:
            self._unreachable = False
            log_event(Event.PLATFORM_BACK)

    def _note_error(self, exc: PlatformError) -> None:
        if not self._unreachable:
            self._unreachable = True
            log_event(Event.PLATFORM_UNREACHABLE, error=str(exc))
