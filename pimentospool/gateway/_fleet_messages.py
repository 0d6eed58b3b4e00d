"""Datagrams that entry VMs exchange, encoded as MessagePack arrays."""

import hashlib
import math
import struct
from collections.abc import Sequence
from functools import cached_property
from ipaddress import IPv4Address

import msgspec

from pimentospool.gateway._facts import FactPosition
from pimentospool.gateway._model import Address
from pimentospool.ids import MemberKey, TargetId
from pimentospool.policy import (
    CrashEvidence,
    DoubtNotice,
    LimitNotice,
    Occupancy,
    ProofNotice,
)

_KEY_BYTES = 4
_VALUE_BYTES = 2
MAX_PORT = 65535
PROTOCOL_VERSION = 1
"""Version of the messages of this build. Types of datagrams that an older build doesn't
know are sent only to records that name at least the version which introduced them."""
MAX_LOAD_SECONDS = 3600.0
"""Waits above this come from a faulty sender."""

MAX_QUANTITY = 1e15
"""Costs and rates above this come from a faulty sender."""


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of a service in one region, at its target with the least cost."""

    wait_seconds: float
    """Expected time to the first byte of a small request."""
    slot_utilisation: float
    """Share of the target's slots in use."""

    def __post_init__(self) -> None:
        """Reject values that no entry VM computes; NaN fails the comparison too."""
        if not (0.0 <= self.wait_seconds <= MAX_LOAD_SECONDS):
            raise ValueError("the wait is out of range")
        if not (0.0 <= self.slot_utilisation <= 1.0):
            raise ValueError("the utilisation is out of range")


class EntryRecord(msgspec.Struct, array_like=True, frozen=True, dict=True):
    """Record that an entry VM publishes about itself."""

    id: str
    generation: int
    """Start time of the process in Unix nanoseconds."""
    region: str
    zone: str
    front: Address
    """Address at which callers connect."""
    peer: Address
    """Address for requests and heartbeats of other entry VMs."""
    link_mbps: float = 0.0
    """Bandwidth of its link in Mbit/s, 0 if it isn't known."""
    protocol: int = 0
    """Version of the messages that it understands; 0 before tenants were known."""

    def __post_init__(self) -> None:
        """Reject addresses to which nothing can be sent, and a bandwidth of no link."""
        if not (0.0 <= self.link_mbps < math.inf):
            raise ValueError("the bandwidth is out of range")
        for address in (self.front, self.peer):
            if not 0 < address.port <= MAX_PORT:
                raise ValueError("the port is out of range")
            IPv4Address(address.host)

    @cached_property
    def key(self) -> MemberKey:
        """Short identifier of this start of the entry VM."""
        text = f"{self.id}/{self.generation}".encode()
        digest = hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()
        return MemberKey(int.from_bytes(digest, "little"))


class GossipMessage(msgspec.Struct, array_like=True, tag=1):
    """Heartbeats, records and the load of a region."""

    sender: EntryRecord
    vector: bytes = b""
    """Keys and values of the heartbeat table; see `encode_vector`."""
    records: list[EntryRecord] = []
    wanted: list[int] = []
    """Keys of members whose records the sender lacks."""
    loads: dict[str, ServiceLoad] | None = None
    """Load of the sender's region by service; only sent to other regions. A service
    without a usable target is not in it."""
    version: int = 0
    """Version of the sender's configuration; 0 before the first."""


class TargetReport(msgspec.Struct, array_like=True, frozen=True):
    """What one entry VM has sent to the targets of its region."""

    sender: int
    """Key of the entry VM."""
    number: int
    """Number of the report, by which older ones are dropped."""
    occupancy: dict[str, tuple[int, int, int]]
    """Requests in progress at each target: count, waiting and held tokens."""
    cold_seconds: dict[str, float] = {}
    """Time for which targets stay cold that the entry VM has checked."""
    limits: dict[str, LimitNotice] = {}
    """What targets have told the entry VM of the rates that they take."""
    brittle: dict[str, float] = {}
    """Seconds since targets told the entry VM that they are brittle."""
    reached: dict[int, bool] = {}
    """Whether the entry VM has recently reached targets, by service key."""
    doubts: dict[str, DoubtNotice] = {}
    """Targets that may have started again, as far as the entry VM has seen."""
    proofs: dict[str, ProofNotice] = {}
    """Targets that have not, as the entry VM has checked."""


class ReportMessage(msgspec.Struct, array_like=True, tag=2):
    """Reports of entry VMs of one region."""

    reports: list[TargetReport]
    to_relay: bool = False
    """Whether the receiver sends the reports to all entry VMs of the region."""
    sender: int = 0
    """Key of the entry VM that sends the message."""
    position: FactPosition | None = None
    """How far the sender has followed the source, if it reads it by itself."""
    position_age_seconds: float = 0.0
    """Time since the source last responded to the sender."""


class CrashMessage(msgspec.Struct, array_like=True, tag=3):
    """Evidence on the parts of prompts under which targets crash."""

    evidence: CrashEvidence


class StreamMessage(msgspec.Struct, array_like=True, tag=4):
    """Software versions at which streams began."""

    keys_by_version: dict[str, list[int]]
    to_relay: bool = False
    """Whether the receiver sends the records to all entry VMs of its region."""


class FreshnessQuery(msgspec.Struct, array_like=True, tag=5):
    """Asks how old the confirmation of the receiver's configuration is."""

    sender: int
    """Key of the entry VM that asks."""
    number: int
    """Names the query in its reply."""


class FreshnessReply(msgspec.Struct, array_like=True, tag=6):
    """Tells how old the confirmation of the sender's configuration is."""

    number: int
    """Number of the query."""
    version: int
    era: int
    """Era of the store in which the configuration was published."""
    age_seconds: float
    """Time since the sender's configuration was known to be the newest."""

    def __post_init__(self) -> None:
        """Reject ages of no confirmation; NaN fails the comparison too."""
        if not (0.0 <= self.age_seconds < math.inf):
            raise ValueError("the age is out of range")


class QuotaQuery(msgspec.Struct, array_like=True, tag=7):
    """Asks an owner of a tenant's quota to charge a request."""

    sender: int
    """Key of the entry VM that asks."""
    number: int
    """Number of the request at the sender; the same if the query is repeated."""
    tenant: int
    """Hash of the tenant's name."""
    cost: float

    def __post_init__(self) -> None:
        """Reject costs of no request; NaN fails the comparison too."""
        _check_quantity(self.cost)


class QuotaReply(msgspec.Struct, array_like=True, tag=8):
    """Decision of an owner on one request."""

    sender: int
    number: int
    admitted: bool
    wait_seconds: float = 0.0
    """Time after which a refused request should come back."""
    level: float = 0.0
    """Level of the owner's bucket after the decision, for the log."""

    def __post_init__(self) -> None:
        """Reject waits that no owner names."""
        _check_quantity(self.wait_seconds)


class QuotaRefund(msgspec.Struct, array_like=True, tag=9):
    """Gives back the cost of a request that no target has run."""

    sender: int
    number: int
    tenant: int
    cost: float

    def __post_init__(self) -> None:
        """Reject costs of no request."""
        _check_quantity(self.cost)


class TenantDemand(msgspec.Struct, array_like=True, frozen=True):
    """Demand of one tenant in the region of the sender."""

    tenant: int
    number: int
    """Number at the sender, by which older demands are dropped."""
    demand: float
    """Cost per second of the requests, with those that were refused."""
    heard_sender: int = 0
    """Key of the entry VM of the receiver's region that the sender has last heard, and
    the number of its demand; 0 if there was none."""
    heard_number: int = 0

    def __post_init__(self) -> None:
        """Reject demands that no owner names."""
        _check_quantity(self.demand)


class QuotaCopy(msgspec.Struct, array_like=True, frozen=True):
    """State of one tenant's quota, for an owner that may have to go on with it."""

    tenant: int
    level: float
    weight: float
    demand: float

    def __post_init__(self) -> None:
        """Reject states that no owner has."""
        _check_quantity(abs(self.level))
        _check_quantity(self.weight)
        _check_quantity(self.demand)


class QuotaDemand(msgspec.Struct, array_like=True, tag=10):
    """What owners of quotas tell those of other regions, and their deputies."""

    sender: int
    demands: list[TenantDemand] = []
    copies: list[QuotaCopy] = []


FleetMessage = (
    GossipMessage
    | ReportMessage
    | CrashMessage
    | StreamMessage
    | FreshnessQuery
    | FreshnessReply
    | QuotaQuery
    | QuotaReply
    | QuotaRefund
    | QuotaDemand
)


def _check_quantity(value: float) -> None:
    if not 0.0 <= value <= MAX_QUANTITY:
        raise ValueError("the quantity is out of range")


def encode_vector(keys: Sequence[int], values: Sequence[int]) -> bytes:
    """Return all keys (32 bits each), followed by all values (16 bits each)."""
    return struct.pack(f"<{len(keys)}I{len(values)}H", *keys, *values)


def decode_vector(data: bytes) -> tuple[Sequence[int], Sequence[int]]:
    """Return the keys and values in `data`; an incomplete pair is dropped."""
    count = len(data) // (_KEY_BYTES + _VALUE_BYTES)
    size = count * (_KEY_BYTES + _VALUE_BYTES)
    numbers = struct.unpack(f"<{count}I{count}H", data[:size])
    return numbers[:count], numbers[count:]


def encode_occupancy(
    occupancy: dict[TargetId, Occupancy],
) -> dict[str, tuple[int, int, int]]:
    """Return the occupancy of each target for a report."""
    return {
        str(target): (load.running, load.waiting_tokens, load.held_tokens)
        for target, load in occupancy.items()
    }


def decode_occupancy(report: TargetReport) -> dict[TargetId, Occupancy]:
    """Return the occupancy of each target in a report."""
    return {
        TargetId(target): Occupancy(*load) for target, load in report.occupancy.items()
    }
