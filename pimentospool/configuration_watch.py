"""Reading of the platform by the members of a zone that act as its readers."""

import asyncio
import random
from collections.abc import Callable

from pimentospool._generated.platform import RevisionIndex, VmList
from pimentospool._generated.settings import PlatformSettings
from pimentospool.configuration_service import PlatformClient, PlatformError
from pimentospool.log import Event, log_event
from pimentospool.signals import Signal

_MIN_INTERVAL_SECONDS = 0.2
_RETRY_MIN_SECONDS = 0.25
_RETRY_MAX_SECONDS = 2.0


class PlatformWatch:
    """Watches the configuration service and polls the VM list.

    Parameters
    ----------
    cfg : PlatformSettings
        Polling intervals.
    client : PlatformClient
        Client of the platform.
    may_read : callable
        Returns whether this process currently reads the platform for its zone.
    rng : random.Random
        Source of random delays between retries.

    Attributes
    ----------
    index_read, vm_list_read : Signal
        Sent with each revision index or VM list that the platform returned.
    configuration_contacted, vm_list_contacted : Signal
        Sent after each valid response of the service, also if nothing changed.
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
        self.vm_list_read: Signal[VmList] = Signal(name="vm_list_read")
        self.configuration_contacted: Signal[[]] = Signal(
            name="configuration_contacted"
        )
        self.vm_list_contacted: Signal[[]] = Signal(name="vm_list_contacted")
        self._cfg = cfg
        self._client = client
        self._may_read = may_read
        self._rng = rng
        self._version = 0
        self._unreachable = False
        self._watch_task: asyncio.Task[None] | None = None

    async def read_index_once(self) -> None:
        """Read the index at once, without waiting for a change; errors are logged."""
        try:
            await self._read_index(wait_seconds=0.0)
        except PlatformError as exc:
            self._mark_unreachable(exc)

    async def read_vm_list_once(self) -> None:
        """Read the VM list; errors are logged."""
        try:
            vms = await self._client.read_vms()
        except PlatformError as exc:
            self._mark_unreachable(exc)
            return
        self.vm_list_contacted.send()
        if vms is not None:
            self.vm_list_read.send(vms)

    async def run_index_watch(self) -> None:
        """Watch the index for as long as `may_read` allows it."""
        while True:
            if not self._may_read():
                await asyncio.sleep(_MIN_INTERVAL_SECONDS)
                continue
            watch = asyncio.create_task(self._read_index())
            self._watch_task = watch
            try:
                await asyncio.wait([watch])
                if not watch.cancelled():
                    watch.result()
            except PlatformError as exc:
                self._mark_unreachable(exc)
                await asyncio.sleep(
                    self._rng.uniform(_RETRY_MIN_SECONDS, _RETRY_MAX_SECONDS)
                )
            finally:
                watch.cancel()

    async def run_vm_list_polls(self) -> None:
        """Poll the VM list for as long as `may_read` allows it."""
        while True:
            await asyncio.sleep(self._cfg.vm_list_interval_seconds)
            if self._may_read():
                await self.read_vm_list_once()

    def restart_index_watch(self) -> None:
        """Cancel the watch in progress and read the current index again.

        After a pause of this process, the watch's connection may be dead unnoticed.
        """
        self._version = 0
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def _read_index(self, *, wait_seconds: float | None = None) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        published = await self._client.watch_index(
            after=self._version, wait_seconds=wait_seconds
        )
        if not self._may_read() and wait_seconds is None:
            return
        self._mark_reachable()
        if published is not None:
            self._version = published.version
            self.index_read.send(published.index)
        elif loop.time() - started_at < _MIN_INTERVAL_SECONDS:
            await asyncio.sleep(_MIN_INTERVAL_SECONDS)

    def _mark_reachable(self) -> None:
        self.configuration_contacted.send()
        if self._unreachable:
            self._unreachable = False
            log_event(Event.PLATFORM_BACK)

    def _mark_unreachable(self, exc: PlatformError) -> None:
        if not self._unreachable:
            self._unreachable = True
            log_event(Event.PLATFORM_UNREACHABLE, error=str(exc))
