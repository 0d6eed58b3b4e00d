"""Datagrams with arbitrary content."""

import random

import msgspec
from gateway_factories import Clock, announce, make_record
from hypothesis import given
from hypothesis import strategies as st

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import (
    CrashMessage,
    GossipMessage,
    ReportMessage,
    TargetReport,
    encode_vector,
)
from pimentospool.gateway._heartbeats import HeartbeatLoop
from pimentospool.gateway._region_contact import RegionContact
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.gateway._stream_records import StreamRecordExchange
from pimentospool.gateway._target_reports import ReportExchange
from pimentospool.policy import (
    BrittleTargets,
    CrashEvidence,
    CrashSuspects,
    DoubtedStarts,
    EntryState,
    LimitNotice,
    NamedLimits,
    OccupancyBook,
    StreamVersions,
)
from pimentospool.policy._crash_evidence import CrashAge, Sighting, SuspectAge

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**40), 2**40),
    st.floats(),
    st.text(max_size=6),
    st.binary(max_size=12),
)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=8),
        st.dictionaries(st.text(max_size=4), inner, max_size=4),
    ),
    max_leaves=12,
)


class SocketLikeTransport:
    """Accepts what a UDP socket accepts."""

    def is_closing(self):
        return False

    def sendto(self, data, address):
        host, port = address
        assert 0 < port <= 65535
        assert all(0 <= int(part) < 256 for part in host.split("."))


def make_loop():
    clock = Clock()
    fleet = Fleet(local_record=make_record("own"), clock=clock, rng=random.Random(1))
    fleet.local_state = EntryState.READY
    announce(fleet, make_record("near"))
    announce(fleet, make_record("far", region="delta"))
    reports = ReportExchange(
        fleet=fleet,
        book=OccupancyBook(clock=clock),
        limits=NamedLimits(entry=fleet.local_id, clock=clock),
        brittle=BrittleTargets(entry=fleet.local_id, clock=clock),
        contact=RegionContact(
            fleet=fleet,
            routing_state=RoutingState(clock=clock, zone_regions={}),
            clock=clock,
        ),
        doubted=DoubtedStarts(own=fleet.local_record.key, clock=clock),
        cold_reports=dict,
        receive_cold_report=lambda target, seconds: None,
        position=lambda: None,
        receive_position=lambda record, position, age: None,
    )
    loop = HeartbeatLoop(
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
    loop.connection_made(SocketLikeTransport())
    return loop, clock


def receive_and_go_on(data):
    """Receive a datagram, then send some rounds."""
    loop, clock = make_loop()
    loop.datagram_received(data, ("127.0.0.1", 1))
    for _ in range(32):
        clock.now += 0.2
        loop.send_round()


@given(data=st.binary(max_size=200))
def test_arbitrary_bytes_are_skipped(data):
    receive_and_go_on(data)


def test_deeply_nested_message_is_skipped():
    receive_and_go_on(b"\x91" * 60_000)
    receive_and_go_on(b"\x92\x04" + b"\x91" * 60_000)


@given(fields=st.lists(values, max_size=8), tag=st.integers(0, 10))
def test_arbitrary_fields_are_skipped(fields, tag):
    receive_and_go_on(msgspec.msgpack.encode([tag, *fields]))


@given(data=st.data())
def test_one_replaced_field_does_no_harm(data):
    record = make_record("third")
    message = data.draw(
        st.sampled_from(
            [
                GossipMessage(
                    sender=record,
                    vector=encode_vector([record.key], [5]),
                    records=[make_record("fourth")],
                    wanted=[make_record("near").key],
                    loads={},
                ),
                ReportMessage(
                    [
                        TargetReport(
                            1,
                            1,
                            {"i-1": (1, 2, 3)},
                            {},
                            {"i-1": LimitNotice(1.3, 0.5)},
                            {"i-2": 0.5},
                        )
                    ],
                    to_relay=True,
                ),
                CrashMessage(
                    CrashEvidence(
                        [CrashAge(2, 9)],
                        [Sighting(1, 2, 0, 9), Sighting(1, 3, 0, 900)],
                        [SuspectAge(4, 100)],
                        [SuspectAge(1, 50)],
                    )
                ),
            ]
        )
    )
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    holder = fields
    while True:
        number = data.draw(st.integers(0, len(holder) - 1))
        inner = holder[number]
        if isinstance(inner, list) and inner and data.draw(st.booleans()):
            holder = inner
            continue
        holder[number] = data.draw(values)
        break
    receive_and_go_on(msgspec.msgpack.encode(fields))
