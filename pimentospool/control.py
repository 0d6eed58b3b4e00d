"""The control plane of one entry process: peers, configuration and the platform."""

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
from pimentospool.peers import ContentStore, PeerContent, PeerError, PeerNode
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

_JOIN_SECONDS = 1.0
_JOIN_GRACE_SECONDS = 0.1
_FIRST_REVISION_SECONDS = 5.0
_ENSURE_SECONDS = 0.5
_SETTLE_SECONDS = 1.5
_NEVER = -1.0
_TICK_SECONDS = 0.25


class ControlPlane:
    """What entry processes know together, at one of them.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    view : View
        Where revisions are put in force.
    platform : PlatformClient
        Client of the platform.
    life : int
        Number of this process's life.
    rng : random.Random
        Source of random choices.
    clock, wall : callable
        Monotonic and Unix time in seconds.

    Attributes
    ----------
    paused : Signal
        Sent with the gap in seconds when the process wakes from a pause.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        view: View,
        platform: PlatformClient,
        life: int,
        rng: random.Random,
        clock: Callable[[], float] = boot_clock,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.leaving = False
        self._cfg = cfg
        self._view = view
        self._clock = clock
        self._wall = wall
        self._own = _own_member(cfg.entry, life)
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
            content=PeerContent(links=self.node.links),
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
        self._adopted_at = clock()
        self._vms_read_at: float | None = None
        self._pauses = PauseDetector(limit_seconds=cfg.peers.pause_seconds, clock=clock)
        self.paused: Signal[float] = self._pauses.paused
        self._windows: list[DrillWindow] = []
        self._settled = asyncio.Event()
        self._settled.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._joined = False
        self._listed = VmList(vms=[])
        self._reported_leaving = msgspec.msgpack.encode(LeavingVms())
        self._connect()

    async def start(self) -> None:
        """Join the peers and have a first revision, within a bounded time."""
        self.node.start()
        self._spawn(self.sync.run())
        await self.watch.read_vms_once()
        await self._join()
        self._joined = True
        if self._platform_allowed():
            await self.watch.read_once()
        await _bounded(self.sync.wait_idle(), _FIRST_REVISION_SECONDS)
        self._spawn(self.watch.run_index())
        self._spawn(self.watch.run_vms())
        self._spawn(self._pauses.run())
        self._spawn(self._tick())

    async def leave(self) -> None:
        """Tell everyone that this process takes no new requests."""
        self.leaving = True
        await self.node.leave()

    async def close(self) -> None:
        """Stop every task and every connection."""
        await cancel_tasks(self._tasks)
        await self.node.close()

    @property
    def doubtful(self) -> bool:
        """Whether a pause was noticed and the view is not yet checked."""
        return not self._settled.is_set()

    @property
    def revision_age(self) -> float:
        """Time since the revision in force was adopted here."""
        return self._clock() - self._adopted_at

    @property
    def vm_list_age(self) -> float:
        """Time since this process last read the VM list; -1 if never."""
        read_at = self._vms_read_at
        return _NEVER if read_at is None else self._clock() - read_at

    def now(self) -> float:
        """Return monotonic time in seconds, as the control plane counts it."""
        return self._clock()

    async def settle(self) -> None:
        """Return at once, or after a pause when the view was checked.

        The wait is bounded: a process that is alone goes on with what it has.
        """
        self._pauses.check()
        if self.doubtful:
            await _bounded(self._settled.wait(), _SETTLE_SECONDS)

    async def ensure(self, number: int, ingress: EntryId) -> None:
        """Try to have a revision of at least `number` in force in a short time."""
        member = self.fleet.member(ingress)
        if member is None:
            return
        await _bounded(self._fetch_from(member, number), _ENSURE_SECONDS)

    def drill_windows(self) -> list[DrillWindow]:
        """Return the drill windows in force."""
        return self.drills.active_windows(time=self._wall())

    def _connect(self) -> None:
        self.node.state.revision_heard.connect(self.sync.heard_from_peer)
        self.node.state.member_changed.connect(self._follow_member)
        self.watch.index_read.connect(self.sync.heard_from_platform)
        self.watch.index_read.connect(self._note_stale)
        self.watch.contacted.connect(self.node.state.contact)
        self.watch.vms_read.connect(self._follow_vms)
        self.watch.vms_contacted.connect(self._note_vms)
        self._view.revision_adopted.connect(self._follow_revision)
        self._pauses.paused.connect(self._follow_pause)
        self._view.fetch = self.ensure

    def _platform_allowed(self) -> bool:
        return not self.drills.platform_lost(time=self._wall())

    def _may_read(self) -> bool:
        return self.node.is_reader and self._platform_allowed()

    async def _join(self) -> None:
        joined = asyncio.create_task(self._wait_for_peer())
        self._spawn(self._join_all())
        await _bounded(joined, _JOIN_SECONDS)
        joined.cancel()

    async def _join_all(self) -> None:
        await self.node.join()

    async def _wait_for_peer(self) -> None:
        heard = asyncio.Event()

        def note(head: RevisionHead, address: str) -> None:
            heard.set()

        self.node.state.revision_heard.connect(note)
        try:
            await heard.wait()
            await asyncio.sleep(_JOIN_GRACE_SECONDS)
        finally:
            self.node.state.revision_heard.disconnect(note)

    async def _fetch_from(self, member: Member, number: int) -> None:
        try:
            await self.node.exchange(member.peer_address)
        except PeerError:
            return
        if self._view.number < number:
            await self.sync.wait_idle()

    async def _recheck(self) -> None:
        if self._platform_allowed():
            await asyncio.gather(self.node.join(), self.watch.read_once())
        else:
            await self.node.join()
        await _bounded(self.sync.wait_idle(), _FIRST_REVISION_SECONDS)
        self._settled.set()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            windows = self.drill_windows()
            if windows != self._windows:
                self._windows = windows
                names = [f"{win.kind} {','.join(win.regions)}" for win in windows]
                log_event(Event.DRILL_WINDOWS_CHANGED, windows=names)

    def _follow_revision(self, revision: Revision) -> None:
        self._adopted_at = self._clock()
        self.drills = DrillSchedule(
            region=self._cfg.entry.region, windows=revision.manifest.drill
        )
        self.node.push()

    def _follow_pause(self, gap: float) -> None:
        log_event(Event.PROCESS_PAUSED, seconds=round(gap, 3))
        self._settled.clear()
        self.node.doubt()
        self.watch.restart()
        self._spawn(self._recheck())

    def _follow_member(self, change: MemberChange) -> None:
        if change.kind is ChangeKind.REPLACED:
            log_event(Event.ENTRY_ID_TAKEN, life=change.member.life)

    def _follow_vms(self, vms: VmList) -> None:
        self._listed = vms
        self.fleet.update(vms)

    def _note_vms(self) -> None:
        self._vms_read_at = self._clock()
        if self._joined and self.node.is_reader:
            self._report_leaving()

    def _report_leaving(self) -> None:
        leaving = [vm for vm in self._listed.vms if vm.state is VmState.LEAVING]
        report = LeavingVms(
            targets=sorted(
                TargetId(vm.id)
                for vm in leaving
                if vm.kind is VmKind.TARGET and self._is_near(vm)
            ),
            entries=sorted(
                EntryId(vm.id)
                for vm in leaving
                if vm.kind is VmKind.ENTRY and self._is_near(vm)
            ),
        )
        data = msgspec.msgpack.encode(report)
        if data != self._reported_leaving:
            self._reported_leaving = data
            self.node.publish(LEAVING_PREFIX + self._cfg.entry.zone, data)

    def _is_near(self, vm: VmRecord) -> bool:
        """Return whether a VM is of this region, or of an unknown one."""
        region = vm.region
        revision = self._view.revision
        if not region and vm.kind is VmKind.TARGET and revision is not None:
            index = self._view.index
            target = index.targets.get(TargetId(vm.id))
            region = index.region_of(target) if target else region
        return region in ("", self._cfg.entry.region)

    def _note_stale(self, index: RevisionIndex) -> None:
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


async def _bounded(
    waiting: Coroutine[Any, Any, Any] | asyncio.Task, limit: float
) -> None:
    try:
        async with asyncio.timeout(limit):
            await waiting
    except TimeoutError:
        return


def _own_member(cfg: EntrySettings, life: int) -> Member:
    return Member(
        id=cfg.id,
        region=cfg.region,
        zone=cfg.zone,
        caller_address=cfg.advertised_caller_address or cfg.caller_address,
        peer_address=cfg.advertised_peer_address or cfg.peer_address,
        life=life,
        incarnation=life,
    )
