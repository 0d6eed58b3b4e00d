"""One node among its peers: heartbeats, probes, links between zones."""

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine
from typing import Any, TypeVar

import msgspec

from pimentospool._generated.peers import (
    ContentAnswer,
    Gossip,
    LookupAnswer,
    LookupRequest,
    Member,
    MemberState,
    PeerAnswer,
    PeerRequest,
    ProbeAnswer,
    ProbeRequest,
    Report,
    RevisionHead,
    ZoneSummary,
)
from pimentospool._generated.platform import VmRecord
from pimentospool._generated.settings import Settings
from pimentospool.ids import EntryId
from pimentospool.log import Event, log_event
from pimentospool.peers._codec import PeerCodec
from pimentospool.peers._fetching import ContentStore
from pimentospool.peers._gossip import BEAT_PREFIX, GossipState
from pimentospool.peers._links import PeerError, PeerLinks, PeerTls
from pimentospool.peers._listener import PeerListener
from pimentospool.peers._zones import SUMMARY_PREFIX, ZoneView
from pimentospool.policy import ChangeKind, MemberChange, rank_members
from pimentospool.tasks import cancel_tasks

_TIMEOUTS_PER_SUSPICION = 4
_HELPERS = 2
_PUSH_FANOUT = 3
_LINK_FANOUT = 1
_URGENT_FANOUT = 2
_PUSH_DELAY_SECONDS = 0.01
_JOIN_PEERS = 8
_GATEWAYS = 8
_JITTER = 0.1
_RECENT_BEATS = 8
_WHOLE_BEATS = 8
_ZONE_BEATS = 2
_URGENT_KINDS = (ChangeKind.LEAVING, ChangeKind.REFUTED)
_URGENT_PREFIXES = (SUMMARY_PREFIX, "leaving/")
T = TypeVar("T", bound=str)
_READER_PURPOSE = "reader"
_GATEWAY_PURPOSE = "gateway"


class PeerNode:
    """Tells peers what this node knows and learns what they know.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    own : Member
        Record of this process.
    store : ContentStore
        Content served to peers.
    head : callable
        Returns the revision in force.
    clock, wall : callable
        Monotonic and Unix time in seconds.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        own: Member,
        store: ContentStore,
        head: Callable[[], RevisionHead],
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.paused_at = -1.0
        self._cfg = cfg
        self._store = store
        self._clock = clock
        self._wall = wall
        self._rng = rng
        peers = cfg.peers
        self.state = GossipState(
            own=own,
            gone_seconds=peers.gone_after_seconds - peers.suspect_after_seconds,
            recent_seconds=_RECENT_BEATS * peers.heartbeat_seconds,
            head=head,
            clock=clock,
            wall=wall,
            rng=rng,
        )
        self.zones = ZoneView(
            own_zone=own.zone,
            reports=self.state.reports,
            heartbeat_seconds=peers.heartbeat_seconds,
            gone_after_seconds=peers.gone_after_seconds,
        )
        codec = PeerCodec(deployment=cfg.deployment, key=peers.key)
        tls = PeerTls(cfg=cfg.tls, server_name=cfg.deployment)
        self._timeout_seconds = peers.suspect_after_seconds / _TIMEOUTS_PER_SUSPICION
        self.links = PeerLinks(
            codec=codec, tls=tls, timeout_seconds=self._timeout_seconds
        )
        self._listener = PeerListener(
            address=cfg.entry.peer_address,
            codec=codec,
            tls=tls,
            traffic=self.links.traffic,
            handle=self._handle,
        )
        self._urgent = asyncio.Event()
        self._whole = False
        self._probing: set[EntryId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.state.member_changed.connect(self._follow_member)
        self.state.report_changed.connect(self._follow_report)

    def start(self) -> None:
        """Listen to peers and send heartbeats."""
        self._listener.start()
        self._spawn(self._beat())
        self._spawn(self._push())

    async def close(self) -> None:
        """Stop; peers are not told."""
        await cancel_tasks(self._tasks)
        self.links.close()
        await self._listener.close()

    async def renew_certificate(self) -> None:
        """Show peers the certificate that the files hold now."""
        await self._listener.renew()

    async def join(self) -> int:
        """Exchange views with first peers; return how many answered."""
        seeds = set(self._cfg.peers.seeds)
        zone = self.state.members.own.zone
        near = {vm.peer_address for vm in self.zones.hints if vm.zone == zone}
        near |= {member.peer_address for member in self.state.members.others()}
        far = (seeds | {vm.peer_address for vm in self.zones.hints}) - near
        own = self._own_address()
        chosen = self._sample(near - {own}, _JOIN_PEERS // 2)
        chosen += self._sample(far - {own}, _JOIN_PEERS - len(chosen))
        answers = await asyncio.gather(
            *(self._try(address, whole=True) for address in chosen)
        )
        return sum(answers)

    async def leave(self) -> None:
        """Tell peers that this process takes no new requests."""
        self.state.members.leave(now=self._clock())
        others = [member.peer_address for member in self.state.members.others()]
        if self.is_reader:
            self._publish_summary()
        far = self._zone_addresses(len(self.zones.zones()))
        await self._push_to(self._sample(others, _JOIN_PEERS), far[:_JOIN_PEERS])
        self._urgent.set()

    def doubt(self) -> None:
        """Restart suspicions and contradict rumours, after a pause."""
        now = self._clock()
        self.paused_at = now
        self.state.members.restart_timers(now=now)
        self.state.members.raise_incarnation(now=now)
        self.links.retire_all()
        self._urgent.set()

    def push(self) -> None:
        """Tell some peers soon what is new here."""
        self._urgent.set()

    def publish(self, key: str, data: bytes) -> Report:
        """Publish a report of this node; it spreads to all nodes."""
        report = self.state.reports.publish(
            key,
            data,
            producer=self.state.members.own.id,
            number=round(self._wall() * 1000),
            now=self._clock(),
        )
        self.state.report_changed.send(report)
        return report

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the platform and links zones for its zone."""
        members = self.state.members
        candidates = {member.id for member in members.live()} | {members.own.id}
        ranked = rank_members(candidates, purpose=_READER_PURPOSE)
        return members.own.id in ranked[: self._cfg.platform.readers_per_zone]

    async def exchange(
        self, address: str, *, fresh: bool = False, whole: bool = False
    ) -> Gossip:
        """Exchange views with a peer and return its answer.

        Raises
        ------
        PeerError
            If the peer does not answer.
        """
        gossip = self.state.outgoing(whole=whole)
        answer = await self._send(address, gossip, fresh=fresh)
        follow_up = self.state.absorb(answer)
        if follow_up is not None:
            self.state.absorb(await self._send(address, follow_up))
        return answer

    async def lookup(self, entry: EntryId) -> Member | None:
        """Ask other zones for an entry VM that is not known here."""
        for address in self._zone_addresses(len(self.zones.zones())):
            req = PeerRequest(lookup=LookupRequest(entry=entry))
            try:
                answer = (await self.links.request(address, req)).lookup
            except PeerError:
                continue
            if answer is not None and answer.member is not None:
                return answer.member
        return None

    async def _send(
        self, address: str, gossip: Gossip, *, fresh: bool = False
    ) -> Gossip:
        req = PeerRequest(gossip=gossip)
        answer = (await self.links.request(address, req, fresh=fresh)).gossip
        if answer is None:
            raise PeerError(f"{address}: answered another request")
        return answer

    async def _handle(self, req: PeerRequest) -> PeerAnswer:
        if req.gossip is not None:
            return PeerAnswer(gossip=self.state.receive(req.gossip))
        if req.content is not None:
            return PeerAnswer(content=self._store.answer(req.content))
        if req.lookup is not None:
            held = self.state.members.record(req.lookup.entry)
            if held is None or held.state is MemberState.GONE:
                return PeerAnswer(lookup=LookupAnswer())
            return PeerAnswer(lookup=LookupAnswer(member=held))
        if req.probe is not None:
            alive = await self._test(req.probe.address)
            return PeerAnswer(probe=ProbeAnswer(alive=alive))
        return PeerAnswer(content=ContentAnswer(size=0, data=b""))

    async def _test(self, address: str) -> bool:
        try:
            async with asyncio.timeout(self._timeout_seconds / 2):
                return await self._try(address, fresh=True)
        except TimeoutError:
            return False

    async def _try(
        self, address: str, *, fresh: bool = False, whole: bool = False
    ) -> bool:
        try:
            await self.exchange(address, fresh=fresh, whole=whole)
        except PeerError:
            return False
        return True

    async def _beat(self) -> None:
        beats = 0
        while True:
            spread = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            await asyncio.sleep(self._cfg.peers.heartbeat_seconds * spread)
            for change in self.state.members.expire(now=self._clock()):
                self.state.member_changed.send(change)
            self.state.drop_expired()
            member = self.state.members.next_probe()
            if member is not None and member.id not in self._probing:
                self._spawn(self._probe(member))
            beats += 1
            self._whole = beats % _WHOLE_BEATS == 0
            self._spawn(self._reconnect())
            if self.is_reader:
                self._publish_summary()
                self._publish_beat()
                self._spawn(self._push_to([], self._zone_addresses(_LINK_FANOUT)))

    async def _probe(self, member: Member) -> None:
        self._probing.add(member.id)
        started_at = self._clock()
        try:
            reached = (
                await self._try(member.peer_address, whole=self._whole)
                or await self._try(member.peer_address, fresh=True)
                or await self._probe_by_helpers(member)
            )
        finally:
            self._probing.discard(member.id)
        if reached or self.paused_at >= started_at:
            return
        change = self.state.members.suspect(member, now=self._clock())
        if change is not None:
            self.state.member_changed.send(change)

    async def _probe_by_helpers(self, member: Member) -> bool:
        helpers = [
            other.peer_address
            for other in self.state.members.live()
            if other.id not in (member.id, self.state.members.own.id)
        ]
        req = PeerRequest(probe=ProbeRequest(address=member.peer_address))
        answers = await asyncio.gather(
            *(
                self.links.request(item, req)
                for item in self._sample(helpers, _HELPERS)
            ),
            return_exceptions=True,
        )
        return any(
            isinstance(answer, PeerAnswer)
            and answer.probe is not None
            and answer.probe.alive
            for answer in answers
        )

    async def _reconnect(self) -> None:
        """Try an address of which nothing live is known, so that views join again."""
        members = self.state.members
        known = {member.peer_address for member in members.present()}
        for summary in self.zones.summaries():
            known |= {member.peer_address for member in summary.gateways}
        candidates = {member.peer_address for member in members.records()}
        candidates |= set(self._cfg.peers.seeds)
        candidates |= {
            vm.peer_address for vm in self.zones.hints if vm.zone == members.own.zone
        }
        for address in self._sample(candidates - known - {self._own_address()}, 1):
            await self._try(address, whole=True)

    def _zone_addresses(self, count: int) -> list[str]:
        now = self._clock()
        addresses = []
        for zone in self._sample(self.zones.zones(), count):
            addresses += self._sample(self.zones.addresses(zone, now=now), 1)
        return addresses

    async def _push(self) -> None:
        while True:
            await self._urgent.wait()
            await asyncio.sleep(_PUSH_DELAY_SECONDS)
            self._urgent.clear()
            others = [member.peer_address for member in self.state.members.others()]
            near = self._sample(others, _PUSH_FANOUT)
            far = self._zone_addresses(_URGENT_FANOUT) if self.is_reader else []
            self._spawn(self._push_to(near, far))
            await asyncio.sleep(self._cfg.peers.heartbeat_seconds)

    async def _push_to(self, near: list[str], far: list[str]) -> None:
        await asyncio.gather(
            *(self._try(item, whole=self._whole) for item in [*near, *far])
        )

    def _publish_summary(self) -> None:
        own = self.state.members.own
        live = {member.id: member for member in self.state.members.live()}
        ranked = rank_members(live, purpose=_GATEWAY_PURPOSE)
        summary = ZoneSummary(
            zone=own.zone,
            region=own.region,
            entries=len(live),
            gateways=[live[entry] for entry in ranked[:_GATEWAYS]],
        )
        data = msgspec.msgpack.encode(summary)
        key = SUMMARY_PREFIX + own.zone
        held = self.state.reports.get(key)
        if held is None or held.data != data:
            self.publish(key, data)

    def _publish_beat(self) -> None:
        key = BEAT_PREFIX + self.state.members.own.zone
        age = self.state.reports.age(key, now=self._clock())
        interval = _ZONE_BEATS * self._cfg.peers.heartbeat_seconds
        if age is None or age >= interval:
            self.publish(key, b"")

    def _own_address(self) -> str:
        return self.state.members.own.peer_address

    def _sample(self, items: Collection[T], count: int) -> list[T]:
        ordered = sorted(items)
        return self._rng.sample(ordered, min(count, len(ordered)))

    def _follow_member(self, change: MemberChange) -> None:
        if change.kind is ChangeKind.UPDATED:
            return
        if change.kind in _URGENT_KINDS:
            self._urgent.set()
        log_event(
            Event.MEMBER_CHANGED,
            member=change.member.id,
            change=change.kind.value,
            incarnation=change.member.incarnation,
        )

    def _follow_report(self, report: Report) -> None:
        if report.key.startswith(_URGENT_PREFIXES):
            self._urgent.set()

    def set_hints(self, vms: list[VmRecord]) -> None:
        """Take over the platform's list; it only says where to look."""
        self.zones.set_hints(vms)

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
