"""Node of the peer protocol: heartbeats, probes and exchanges between zones."""

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
from pimentospool.peers._gossip import ZONE_HEARTBEAT_PREFIX, GossipState
from pimentospool.peers._links import PeerError, PeerLinks, PeerTls
from pimentospool.peers._listener import PeerListener
from pimentospool.peers._zones import SUMMARY_PREFIX, ZoneView
from pimentospool.policy import ChangeKind, MemberChange, rank_members
from pimentospool.tasks import cancel_tasks

_TIMEOUTS_PER_SUSPICION = 4
_INDIRECT_PROBES = 2
_PUSH_FANOUT = 3
_ZONE_FANOUT = 1
_URGENT_ZONE_FANOUT = 2
_PUSH_DELAY_SECONDS = 0.01
_MAX_JOIN_PEERS = 8
_MAX_GATEWAYS = 8
_HEARTBEAT_JITTER = 0.1
_RECENT_HEARTBEATS = 8
_HEARTBEATS_PER_FULL_COMPARISON = 8
_HEARTBEATS_PER_ZONE_HEARTBEAT = 2
_URGENT_KINDS = (ChangeKind.LEAVING, ChangeKind.REFUTED)
_URGENT_PREFIXES = (SUMMARY_PREFIX, "leaving/")
T = TypeVar("T", bound=str)
_READER_PURPOSE = "reader"
_GATEWAY_PURPOSE = "gateway"


class PeerNode:
    """Exchanges members, reports and revision heads with peers.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    own : Member
        Record of this process.
    store : ContentStore
        Content that peers fetch from this node.
    head : callable
        Returns the head of the active revision.
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
            suspicion_timeout_seconds=peers.gone_after_seconds
            - peers.suspect_after_seconds,
            recent_seconds=_RECENT_HEARTBEATS * peers.heartbeat_seconds,
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
        self._push_requested = asyncio.Event()
        self._compare_all_reports = False
        self._probing: set[EntryId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.state.member_changed.connect(self._on_member_change)
        self.state.report_changed.connect(self._on_report_change)

    def start(self) -> None:
        """Start to answer peers and to send heartbeats."""
        self._listener.start()
        self._spawn(self._run_heartbeats())
        self._spawn(self._run_pushes())

    async def close(self) -> None:
        """Stop without informing peers."""
        await cancel_tasks(self._tasks)
        self.links.close()
        await self._listener.close()

    async def renew_certificate(self) -> None:
        """Present the certificate that the files now contain."""
        await self._listener.renew_certificate()

    async def join(self) -> int:
        """Exchange gossip with a few known addresses; return how many answered."""
        seeds = set(self._cfg.peers.seeds)
        zone = self.state.members.own.zone
        own_zone = {vm.peer_address for vm in self.zones.listed_vms if vm.zone == zone}
        own_zone |= {member.peer_address for member in self.state.members.others()}
        other_zones = (
            seeds | {vm.peer_address for vm in self.zones.listed_vms}
        ) - own_zone
        own = self._own_address()
        chosen = self._sample(own_zone - {own}, _MAX_JOIN_PEERS // 2)
        chosen += self._sample(other_zones - {own}, _MAX_JOIN_PEERS - len(chosen))
        answers = await asyncio.gather(
            *(self._try_exchange(address, all_reports=True) for address in chosen)
        )
        return sum(answers)

    async def leave(self) -> None:
        """Tell peers that this process takes no new requests."""
        self.state.members.leave(now=self._clock())
        others = [member.peer_address for member in self.state.members.others()]
        if self.is_reader:
            self._publish_summary()
        other_zones = self._sample_other_zones(len(self.zones.zones()))
        await self._push_to(
            self._sample(others, _MAX_JOIN_PEERS), other_zones[:_MAX_JOIN_PEERS]
        )
        self._push_requested.set()

    def recover_from_pause(self) -> None:
        """Restart suspicion timers and refute suspicions of peers, after a pause.

        New connections replace those that may have died during the pause.
        """
        now = self._clock()
        self.paused_at = now
        self.state.members.restart_timers(now=now)
        self.state.members.raise_incarnation(now=now)
        self.links.retire_all()
        self._push_requested.set()

    def request_push(self) -> None:
        """Request an early exchange with some peers, to spread recent changes."""
        self._push_requested.set()

    def publish(self, key: str, data: bytes) -> Report:
        """Publish a report of this node; gossip spreads it to all nodes."""
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
        """Whether this node acts for its zone towards the platform and other zones."""
        members = self.state.members
        candidates = {member.id for member in members.live()} | {members.own.id}
        ranked = rank_members(candidates, purpose=_READER_PURPOSE)
        return members.own.id in ranked[: self._cfg.platform.readers_per_zone]

    async def exchange(
        self, address: str, *, new_connection: bool = False, all_reports: bool = False
    ) -> Gossip:
        """Exchange gossip with a peer and return its answer.

        Raises
        ------
        PeerError
            If the peer does not answer.
        """
        gossip = self.state.make_heartbeat(all_reports=all_reports)
        answer = await self._send(address, gossip, new_connection=new_connection)
        follow_up = self.state.receive_answer(answer)
        if follow_up is not None:
            self.state.receive_answer(await self._send(address, follow_up))
        return answer

    async def lookup(self, entry: EntryId) -> Member | None:
        """Ask other zones for the record of an entry VM that is not known locally."""
        for address in self._sample_other_zones(len(self.zones.zones())):
            req = PeerRequest(lookup=LookupRequest(entry=entry))
            try:
                answer = (await self.links.request(address, req)).lookup
            except PeerError:
                continue
            if answer is not None and answer.member is not None:
                return answer.member
        return None

    async def _send(
        self, address: str, gossip: Gossip, *, new_connection: bool = False
    ) -> Gossip:
        req = PeerRequest(gossip=gossip)
        answer = (
            await self.links.request(address, req, new_connection=new_connection)
        ).gossip
        if answer is None:
            raise PeerError(f"{address}: answer is of another kind than the request")
        return answer

    async def _handle(self, req: PeerRequest) -> PeerAnswer:
        if req.gossip is not None:
            return PeerAnswer(gossip=self.state.receive(req.gossip))
        if req.content is not None:
            return PeerAnswer(content=self._store.answer(req.content))
        if req.lookup is not None:
            record = self.state.members.record(req.lookup.entry)
            if record is None or record.state is MemberState.GONE:
                return PeerAnswer(lookup=LookupAnswer())
            return PeerAnswer(lookup=LookupAnswer(member=record))
        if req.probe is not None:
            alive = await self._is_reachable(req.probe.address)
            return PeerAnswer(probe=ProbeAnswer(alive=alive))
        return PeerAnswer(content=ContentAnswer(size=0, data=b""))

    async def _is_reachable(self, address: str) -> bool:
        try:
            async with asyncio.timeout(self._timeout_seconds / 2):
                return await self._try_exchange(address, new_connection=True)
        except TimeoutError:
            return False

    async def _try_exchange(
        self, address: str, *, new_connection: bool = False, all_reports: bool = False
    ) -> bool:
        try:
            await self.exchange(
                address, new_connection=new_connection, all_reports=all_reports
            )
        except PeerError:
            return False
        return True

    async def _run_heartbeats(self) -> None:
        heartbeats = 0
        while True:
            jitter = self._rng.uniform(1 - _HEARTBEAT_JITTER, 1 + _HEARTBEAT_JITTER)
            await asyncio.sleep(self._cfg.peers.heartbeat_seconds * jitter)
            for change in self.state.members.expire(now=self._clock()):
                self.state.member_changed.send(change)
            self.state.drop_expired()
            member = self.state.members.next_probe()
            if member is not None and member.id not in self._probing:
                self._spawn(self._probe(member))
            heartbeats += 1
            self._compare_all_reports = (
                heartbeats % _HEARTBEATS_PER_FULL_COMPARISON == 0
            )
            self._spawn(self._try_unknown_address())
            if self.is_reader:
                self._publish_summary()
                self._publish_zone_heartbeat()
                self._spawn(self._push_to([], self._sample_other_zones(_ZONE_FANOUT)))

    async def _probe(self, member: Member) -> None:
        self._probing.add(member.id)
        started_at = self._clock()
        try:
            reached = (
                await self._try_exchange(
                    member.peer_address, all_reports=self._compare_all_reports
                )
                or await self._try_exchange(member.peer_address, new_connection=True)
                or await self._probe_indirectly(member)
            )
        finally:
            self._probing.discard(member.id)
        if reached or self.paused_at >= started_at:
            return
        change = self.state.members.suspect(member, now=self._clock())
        if change is not None:
            self.state.member_changed.send(change)

    async def _probe_indirectly(self, member: Member) -> bool:
        helpers = [
            other.peer_address
            for other in self.state.members.live()
            if other.id not in (member.id, self.state.members.own.id)
        ]
        req = PeerRequest(probe=ProbeRequest(address=member.peer_address))
        answers = await asyncio.gather(
            *(
                self.links.request(item, req)
                for item in self._sample(helpers, _INDIRECT_PROBES)
            ),
            return_exceptions=True,
        )
        return any(
            isinstance(answer, PeerAnswer)
            and answer.probe is not None
            and answer.probe.alive
            for answer in answers
        )

    async def _try_unknown_address(self) -> None:
        """Try one address without a known member, so that separated groups merge."""
        members = self.state.members
        known = {member.peer_address for member in members.present()}
        for summary in self.zones.summaries():
            known |= {member.peer_address for member in summary.gateways}
        candidates = {member.peer_address for member in members.records()}
        candidates |= set(self._cfg.peers.seeds)
        candidates |= {
            vm.peer_address
            for vm in self.zones.listed_vms
            if vm.zone == members.own.zone
        }
        for address in self._sample(candidates - known - {self._own_address()}, 1):
            await self._try_exchange(address, all_reports=True)

    def _sample_other_zones(self, count: int) -> list[str]:
        now = self._clock()
        addresses = []
        for zone in self._sample(self.zones.zones(), count):
            addresses += self._sample(self.zones.addresses(zone, now=now), 1)
        return addresses

    async def _run_pushes(self) -> None:
        while True:
            await self._push_requested.wait()
            await asyncio.sleep(_PUSH_DELAY_SECONDS)
            self._push_requested.clear()
            others = [member.peer_address for member in self.state.members.others()]
            own_zone = self._sample(others, _PUSH_FANOUT)
            other_zones = (
                self._sample_other_zones(_URGENT_ZONE_FANOUT) if self.is_reader else []
            )
            self._spawn(self._push_to(own_zone, other_zones))
            await asyncio.sleep(self._cfg.peers.heartbeat_seconds)

    async def _push_to(self, own_zone: list[str], other_zones: list[str]) -> None:
        await asyncio.gather(
            *(
                self._try_exchange(item, all_reports=self._compare_all_reports)
                for item in [*own_zone, *other_zones]
            )
        )

    def _publish_summary(self) -> None:
        own = self.state.members.own
        live = {member.id: member for member in self.state.members.live()}
        ranked = rank_members(live, purpose=_GATEWAY_PURPOSE)
        summary = ZoneSummary(
            zone=own.zone,
            region=own.region,
            entries=len(live),
            gateways=[live[entry] for entry in ranked[:_MAX_GATEWAYS]],
        )
        data = msgspec.msgpack.encode(summary)
        key = SUMMARY_PREFIX + own.zone
        published = self.state.reports.get(key)
        if published is None or published.data != data:
            self.publish(key, data)

    def _publish_zone_heartbeat(self) -> None:
        key = ZONE_HEARTBEAT_PREFIX + self.state.members.own.zone
        age = self.state.reports.age(key, now=self._clock())
        interval = _HEARTBEATS_PER_ZONE_HEARTBEAT * self._cfg.peers.heartbeat_seconds
        if age is None or age >= interval:
            self.publish(key, b"")

    def _own_address(self) -> str:
        return self.state.members.own.peer_address

    def _sample(self, items: Collection[T], count: int) -> list[T]:
        ordered = sorted(items)
        return self._rng.sample(ordered, min(count, len(ordered)))

    def _on_member_change(self, change: MemberChange) -> None:
        if change.kind is ChangeKind.UPDATED:
            return
        if change.kind in _URGENT_KINDS:
            self._push_requested.set()
        log_event(
            Event.MEMBER_CHANGED,
            member=change.member.id,
            change=change.kind.value,
            incarnation=change.member.incarnation,
        )

    def _on_report_change(self, report: Report) -> None:
        if report.key.startswith(_URGENT_PREFIXES):
            self._push_requested.set()

    def set_listed_vms(self, vms: list[VmRecord]) -> None:
        """Store the platform's VM list, which only supplies addresses to contact."""
        self.zones.set_listed_vms(vms)

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
