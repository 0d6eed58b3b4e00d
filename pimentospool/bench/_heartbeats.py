"""Cost of heartbeats for one entry VM, by the size of the fleet."""

import asyncio
import random
import time
from typing import cast

import msgspec

from pimentospool.gateway._fleet import REGION_ROUNDS, Fleet
from pimentospool.gateway._fleet_messages import EntryRecord, ServiceLoad
from pimentospool.gateway._heartbeats import (
    INTERVAL_SECONDS,
    SEED_ROUNDS,
    HeartbeatLoop,
)
from pimentospool.gateway._model import Address
from pimentospool.gateway._region_contact import RegionContact
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.gateway._stream_records import StreamRecordExchange
from pimentospool.gateway._target_reports import ReportExchange
from pimentospool.ids import TargetId
from pimentospool.policy import (
    BrittleTargets,
    CrashSuspects,
    DoubtedStarts,
    EntryState,
    NamedLimits,
    OccupancyBook,
    StreamVersions,
)

CYCLE_ROUNDS = REGION_ROUNDS * SEED_ROUNDS
"""The pattern of receivers repeats after this many rounds."""
CYCLES = 5
_SERVICES = ("llm", "desk")


class HeartbeatCost(msgspec.Struct, kw_only=True):
    """Datagrams of one entry VM; on average it receives as many as it sends."""

    entries: int
    regions: int
    busy_targets: int
    datagrams_per_second: float
    largest_bytes: int
    kilobytes_per_second: float
    send_share: float
    """Share of one core that sending takes."""
    receive_share: float
    """Share of one core that receiving the same number of datagrams takes."""


class _RecordingTransport:
    """Transport that records datagrams instead of sending them."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, addr: object) -> None:
        self.sent.append(data)

    def is_closing(self) -> bool:
        return False


def measure_heartbeats(
    *, entries: int, regions: int, busy_targets: int, seed: int
) -> HeartbeatCost:
    """Measure the heartbeat rounds of one entry VM.

    Parameters
    ----------
    entries, regions : int
        Entry VMs of the fleet, and regions over which they are spread.
    busy_targets : int
        Targets at which the entry VM has requests in progress.
    seed : int
        Seed of the choice of receivers.
    """
    loop = _make_loop(entries, regions, busy_targets, seed)
    transport = _RecordingTransport()
    loop.connection_made(cast(asyncio.BaseTransport, transport))
    started_at = time.process_time()
    for _ in range(CYCLE_ROUNDS * CYCLES):
        loop.send_round()
    send_seconds = time.process_time() - started_at
    started_at = time.process_time()
    for data in transport.sent:
        loop.datagram_received(data, None)
    receive_seconds = time.process_time() - started_at
    seconds = CYCLE_ROUNDS * CYCLES * INTERVAL_SECONDS
    return HeartbeatCost(
        entries=entries,
        regions=regions,
        busy_targets=busy_targets,
        datagrams_per_second=len(transport.sent) / seconds,
        largest_bytes=max(map(len, transport.sent), default=0),
        kilobytes_per_second=sum(map(len, transport.sent)) / seconds / 1e3,
        send_share=send_seconds / seconds,
        receive_share=receive_seconds / seconds,
    )


def _make_loop(
    entries: int, regions: int, busy_targets: int, seed: int
) -> HeartbeatLoop:
    def clock() -> float:
        return 0.0

    records = [_make_record(number, number % regions) for number in range(entries)]
    fleet = Fleet(local_record=records[0], clock=clock, rng=random.Random(seed))
    fleet.local_state = EntryState.READY
    fleet.local_loads = {name: ServiceLoad(0.125, 0.5) for name in _SERVICES}
    for record in records[1:]:
        peer = Fleet(local_record=record, clock=clock, rng=random.Random(seed))
        peer.local_state = EntryState.READY
        fleet.receive(peer.announcement())
    book = OccupancyBook(clock=clock)
    for number in range(busy_targets):
        book.begin(
            TargetId(f"i-{number:010x}"), waiting_tokens=2000, held_tokens=40_000
        )
    reports = ReportExchange(
        fleet=fleet,
        book=book,
        limits=NamedLimits(entry=fleet.local_id, clock=clock),
        brittle=BrittleTargets(entry=fleet.local_id, clock=clock),
        contact=RegionContact(
            fleet=fleet,
            routing_state=RoutingState(clock=clock, zone_regions={}),
            clock=clock,
        ),
        doubted=DoubtedStarts(own=records[0].key, clock=clock),
        cold_reports=dict,
        receive_cold_report=lambda target, seconds: None,
        position=lambda: None,
        receive_position=lambda record, position, age: None,
    )
    return HeartbeatLoop(
        fleet=fleet,
        reports=reports,
        seeds=[],
        refresh_loads=lambda: None,
        suspects=CrashSuspects(clock=clock),
        streams=StreamRecordExchange(
            fleet=fleet,
            versions=StreamVersions(clock=clock, serving=lambda service: ()),
        ),
    )


def _make_record(number: int, region: int) -> EntryRecord:
    address = Address(f"10.{region}.{number // 250}.{number % 250}", 7660)
    return EntryRecord(
        id=f"edge-region{region}-a-{number}",
        generation=1_790_000_000_000_000_000 + number,
        region=f"region{region}",
        zone=f"region{region}-a",
        front=address,
        peer=address,
    )
