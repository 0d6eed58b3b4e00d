"""The control plane of one entry process: peers, configuration and platform."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from pimentospool._generated.manifest import DrillWindow
from pimentospool._generated.peers import LeavingVms, Member, RevisionHead
from pimentospool._generated.platform import (
    RevisionIndex,
    VmKind,
    VmList,
    VmRecord,
    VmState,
)
from pimentospool._generated.settings import EntrySettings, Settings
from pimentospool.configuration_service import PlatformClient
from pimentospool.configuration_watch import PlatformWatch
from pimentospool.fleet import LEAVING_PREFIX, PeerFleet
from pimentospool.ids import EntryId, TargetId
from pimentospool.log import Event, log_event
from pimentospool.pauses import PauseDetector, boot_clock
from pimentospool.peers import ContentFetcher, ContentStore, PeerError, PeerNode
from pimentospool.policy import (
    ChangeKind,
    DrillSchedule,
    MemberChange,
)
from pimentospool.revision_sync import RevisionSync
from pimentospool.revisions import Revision
from pimentospool.signals import Signal
from pimentospool.tasks import cancel_tasks
from pimentospool.views import View

_JOIN_TIMEOUT_SECONDS = 1.0
_JOIN_GRACE_SECONDS = 0.1
_REVISION_TIMEOUT_SECONDS = 5.0
_NEWER_REVISION_TIMEOUT_SECONDS = 0.5
_RECHECK_TIMEOUT_SECONDS = 1.5
_NEVER_READ = -1.0
_DRILL_CHECK_SECONDS = 0.25


class ControlPlane:
    """Shares configuration, members and VM states with other entry processes.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    view : View
        Holds the active revision; the control plane updates it.
    platform : PlatformClient
        Client of the platform.
    generation : int
        Number that grows with each start of the process.
    rng : random.Random
        Source of random choices.
    clock, wall : callable
        Monotonic and Unix time in seconds.

    Attributes
    ----------
    paused : Signal
        Sent after a pause of the process, with its length in seconds.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        view: View,
        platform: PlatformClient,
        generation: int,
        rng: random.Random,
        clock: Callable[[], float] = boot_clock,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.leaving = False
        self._cfg = cfg
        self._view = view
        self._clock = clock
        self._wall = wall
        self._own = _own_member(cfg.entry, generation)
        store = ContentStore()
        self.node = PeerNode(
            cfg=cfg,
            own=self._own,
            store=store,
            head=lambda: self.sync.book.active,
            clock=clock,
            wall=wall,
            rng=rng,
        )
        self.sync = RevisionSync(
            view=view,
            store=store,
            peer_fetcher=ContentFetcher(links=self.node.links),
            platform=platform,
            platform_allowed=self._platform_allowed,
        )
        self.watch = PlatformWatch(
            cfg=cfg.platform, client=platform, may_read=self._may_read, rng=rng
        )
        self.drills = DrillSchedule(region=cfg.entry.region, windows=())
        self.fleet = PeerFleet(
            node=self.node, drills=lambda: self.drills, clock=clock, wall=wall
        )
        self._revision_adopted_at = clock()
        self._vm_list_read_at: float | None = None
        self._pause_detector = PauseDetector(
            min_pause_seconds=cfg.peers.pause_seconds, clock=clock
        )
        self.paused: Signal[float] = self._pause_detector.paused
        self._logged_windows: list[DrillWindow] = []
        self._rechecked = asyncio.Event()
        self._rechecked.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._joined = False
        self._vm_list = VmList(vms=[])
        self._published_leaving = msgspec.msgpack.encode(LeavingVms())
        self._connect()

    async def start(self) -> None:
        """Join the peers and wait for a first revision, both for a limited time."""
        self.node.start()
        self._spawn(self.sync.run())
        await self.watch.read_vm_list_once()
        await self._join()
        self._joined = True
        if self._platform_allowed():
            await self.watch.read_index_once()
        await _wait_at_most(self.sync.wait_idle(), _REVISION_TIMEOUT_SECONDS)
        self._spawn(self.watch.run_index_watch())
        self._spawn(self.watch.run_vm_list_polls())
        self._spawn(self._pause_detector.run())
        self._spawn(self._log_drill_changes())

    async def leave(self) -> None:
        """Tell peers that this process takes no new requests."""
        self.leaving = True
        await self.node.leave()

    async def close(self) -> None:
        """Stop every task and every connection."""
        await cancel_tasks(self._tasks)
        await self.node.close()

    @property
    def recheck_pending(self) -> bool:
        """Whether members and configuration are still being rechecked after a pause."""
        return not self._rechecked.is_set()

    @property
    def revision_age(self) -> float:
        """Seconds since this process adopted the active revision."""
        return self._clock() - self._revision_adopted_at

    @property
    def vm_list_age(self) -> float:
        """Seconds since this process last read the VM list; -1 if never."""
        read_at = self._vm_list_read_at
        return _NEVER_READ if read_at is None else self._clock() - read_at

    def now(self) -> float:
        """Return the time of the control plane's monotonic clock in seconds."""
        return self._clock()

    async def wait_for_recheck(self) -> None:
        """Wait until the recheck after a pause is done; return at once without one.

        The wait is limited: an isolated process goes on with the state that it has.
        """
        self._pause_detector.check()
        if self.recheck_pending:
            await _wait_at_most(self._rechecked.wait(), _RECHECK_TIMEOUT_SECONDS)

    async def ensure_revision(self, number: int, ingress: EntryId) -> None:
        """Try for a short time to fetch a revision of at least `number`.

        Parameters
        ----------
        number : int
            Lowest revision that is wanted.
        ingress : EntryId
            Entry VM that has such a revision.
        """
        member = self.fleet.member(ingress)
        if member is None:
            return
        await _wait_at_most(
            self._fetch_from(member, number), _NEWER_REVISION_TIMEOUT_SECONDS
        )

    def drill_windows(self) -> list[DrillWindow]:
        """Return the active drill windows."""
        return self.drills.active_windows(time=self._wall())

    def _connect(self) -> None:
        self.node.state.revision_advertised.connect(self.sync.on_peer_revision)
        self.node.state.member_changed.connect(self._on_member_change)
        self.watch.index_read.connect(self.sync.on_platform_index)
        self.watch.index_read.connect(self._log_stale_index)
        self.watch.configuration_contacted.connect(
            self.node.state.record_platform_contact
        )
        self.watch.vm_list_read.connect(self._on_vm_list)
        self.watch.vm_list_contacted.connect(self._on_vm_list_contact)
        self._view.revision_adopted.connect(self._on_revision)
        self._pause_detector.paused.connect(self._on_pause)
        self._view.fetch_revision = self.ensure_revision

    def _platform_allowed(self) -> bool:
        return not self.drills.platform_lost(time=self._wall())

    def _may_read(self) -> bool:
        return self.node.is_reader and self._platform_allowed()

    async def _join(self) -> None:
        joined = asyncio.create_task(self._wait_for_peer())
        self._spawn(self._join_all())
        await _wait_at_most(joined, _JOIN_TIMEOUT_SECONDS)
        joined.cancel()

    async def _join_all(self) -> None:
        await self.node.join()

    async def _wait_for_peer(self) -> None:
        gossip_received = asyncio.Event()

        def on_gossip(head: RevisionHead, address: str) -> None:
            gossip_received.set()

        self.node.state.revision_advertised.connect(on_gossip)
        try:
            await gossip_received.wait()
            await asyncio.sleep(_JOIN_GRACE_SECONDS)
        finally:
            self.node.state.revision_advertised.disconnect(on_gossip)

    async def _fetch_from(self, member: Member, number: int) -> None:
        try:
            await self.node.exchange(member.peer_address)
        except PeerError:
            return
        if self._view.number < number:
            await self.sync.wait_idle()

    async def _recheck(self) -> None:
        """Exchange with peers and read the platform again, after a pause."""
        if self._platform_allowed():
            await asyncio.gather(self.node.join(), self.watch.read_index_once())
        else:
            await self.node.join()
        await _wait_at_most(self.sync.wait_idle(), _REVISION_TIMEOUT_SECONDS)
        self._rechecked.set()

    async def _log_drill_changes(self) -> None:
        while True:
            await asyncio.sleep(_DRILL_CHECK_SECONDS)
            windows = self.drill_windows()
            if windows != self._logged_windows:
                self._logged_windows = windows
                names = [f"{win.kind} {','.join(win.regions)}" for win in windows]
                log_event(Event.DRILL_WINDOWS_CHANGED, windows=names)

    def _on_revision(self, revision: Revision) -> None:
        self._revision_adopted_at = self._clock()
        self.drills = DrillSchedule(
            region=self._cfg.entry.region, windows=revision.manifest.drill
        )
        self.node.request_push()

    def _on_pause(self, gap: float) -> None:
        log_event(Event.PROCESS_PAUSED, seconds=round(gap, 3))
        self._rechecked.clear()
        self.node.recover_from_pause()
        self.watch.restart_index_watch()
        self._spawn(self._recheck())

    def _on_member_change(self, change: MemberChange) -> None:
        if change.kind is ChangeKind.REPLACED:
            log_event(Event.ENTRY_ID_TAKEN, life=change.member.life)

    def _on_vm_list(self, vms: VmList) -> None:
        self._vm_list = vms
        self.fleet.update(vms)

    def _on_vm_list_contact(self) -> None:
        self._vm_list_read_at = self._clock()
        if self._joined and self.node.is_reader:
            self._publish_leaving()

    def _publish_leaving(self) -> None:
        leaving = [vm for vm in self._vm_list.vms if vm.state is VmState.LEAVING]
        report = LeavingVms(
            targets=sorted(
                TargetId(vm.id)
                for vm in leaving
                if vm.kind is VmKind.TARGET and self._in_local_region(vm)
            ),
            entries=sorted(
                EntryId(vm.id)
                for vm in leaving
                if vm.kind is VmKind.ENTRY and self._in_local_region(vm)
            ),
        )
        data = msgspec.msgpack.encode(report)
        if data != self._published_leaving:
            self._published_leaving = data
            self.node.publish(LEAVING_PREFIX + self._cfg.entry.zone, data)

    def _in_local_region(self, vm: VmRecord) -> bool:
        """Return whether a VM is in the local region, or in an unknown one."""
        region = vm.region
        revision = self._view.revision
        if not region and vm.kind is VmKind.TARGET and revision is not None:
            index = self._view.index
            target = index.targets.get(TargetId(vm.id))
            region = index.region_of(target) if target else region
        return region in ("", self._cfg.entry.region)

    def _log_stale_index(self, index: RevisionIndex) -> None:
        if index.revision < self._view.number:
            log_event(
                Event.PLATFORM_STALE,
                published=index.revision,
                in_force=self._view.number,
            )

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _wait_at_most(
    awaitable: Coroutine[Any, Any, Any] | asyncio.Task, timeout_seconds: float
) -> None:
    try:
        async with asyncio.timeout(timeout_seconds):
            await awaitable
    except TimeoutError:
        return


def _own_member(cfg: EntrySettings, generation: int) -> Member:
    return Member(
        id=cfg.id,
        region=cfg.region,
        zone=cfg.zone,
        caller_address=cfg.advertised_caller_address or cfg.caller_address,
        peer_address=cfg.advertised_peer_address or cfg.peer_address,
        life=generation,
        incarnation=generation,
    )
