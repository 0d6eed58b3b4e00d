"""Software versions at which streams began, and at which they may go on.

What two software versions of a service write doesn't fit together, so a stream that
broke off goes on only at the version that began it. Any entry VM may be asked to go on
with it, and the one that relayed its beginning may be gone. There are two sources:

- Records of streams, exchanged by the entry VMs while several versions serve.
- The versions of a service. If only one of them served for as long as a stream may
  last, every stream of the service began at it, also those without a record.

The second holds only as far as the registrations were followed; an entry VM that was
cut off or stood still knows nothing of versions that joined meanwhile. A version that
follows from neither isn't known, and the stream may not go on.
"""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping
from enum import Enum

import msgspec

from pimentospool.ids import ServiceId, SoftwareVersion, StreamKey

MAX_STREAM_SECONDS = 30.0
"""Time after the beginning of a stream in which callers may take it up; about twice the
longest deadline of a caller."""
MAX_RECORDS = 100_000
"""Limit on the records that are kept, the newest ones."""
SENDS_PER_RECORD = 2
"""How often a record is sent to the other entry VMs, as a datagram may get lost."""
FOLLOWED_SECONDS = 0.2
"""Age of a read of the registrations that shows all versions that serve. Streams do not
begin, break off and reach another entry VM in less time."""
UNPROVED_VERSION = SoftwareVersion("unproved start " * 5)
"""In place of the version of a target whose start is in doubt; longer than any, so that
no target has it."""
_KEY_BYTES = 4
_MAX_KNOWN_SECONDS = 1e9


class OriginEvidence(Enum):
    """What the version that began a stream is known from."""

    RECORD = "record"
    SOURCE = "source"
    PEERS = "peers"


class StreamKnowledge(msgspec.Struct, array_like=True, frozen=True):
    """What one entry VM knows, for another one that has just started."""

    complete_seconds: float
    """Time for which the sender knows all versions that served."""
    ages: dict[str, dict[str, float]]
    """Seconds since each version of each service last served."""
    records: dict[str, list[int]]
    """Keys of the streams that began at each version."""


class _Record:
    """Version of one stream, until when it is kept, and how often it is still sent."""

    __slots__ = ("expires_at", "sends_left", "version")

    def __init__(
        self, version: SoftwareVersion, expires_at: float, sends_left: int
    ) -> None:
        self.version = version
        self.expires_at = expires_at
        self.sends_left = sends_left


class StreamVersions:
    """Versions of the streams that callers may take up at this entry VM.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    serving : callable
        Returns the versions of a service that serve now.
    first_start : bool
        Whether all entry VMs start for the first time, so that no stream began before.
    on_mixed : callable
        Called with a service when several of its versions begin to count, and again
        with False when only one does.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        serving: Callable[[ServiceId], Collection[SoftwareVersion]],
        first_start: bool = False,
        on_mixed: Callable[[ServiceId, bool], None] = lambda service, mixed: None,
    ) -> None:
        self._clock = clock
        self._serving = serving
        self._on_mixed = on_mixed
        self._complete_since = -math.inf if first_start else clock()
        self._followed_until = -math.inf
        self._seen_at: dict[ServiceId, dict[SoftwareVersion, float]] = {}
        self._records: OrderedDict[StreamKey, _Record] = OrderedDict()
        self._mixed: set[ServiceId] = set()

    @property
    def complete(self) -> bool:
        """Whether all versions are known that any stream may have begun at."""
        return self._clock() - self._complete_since >= MAX_STREAM_SECONDS

    def observe(self, service: ServiceId, version: SoftwareVersion) -> None:
        """Record that a target of `service` serves, or has just stopped to serve."""
        self._seen_at.setdefault(service, {})[version] = self._clock()

    def record_followed(self, at: float) -> None:
        """Record that all versions that had registered by a time are known."""
        self._followed_until = max(self._followed_until, at)

    def follows(self, at: float, *, max_age_seconds: float = FOLLOWED_SECONDS) -> bool:
        """Whether the registrations were followed up to a time, or nearly."""
        return self._followed_until >= at - max_age_seconds

    def sole_version(self, service: ServiceId) -> SoftwareVersion | None:
        """Return the version at which all streams of `service` began, if it is one.

        It holds for streams that began as long as the registrations were followed.
        """
        versions = self._recent_versions(service)
        mixed = len(versions) > 1
        if mixed != (service in self._mixed):
            self._mixed ^= {service}
            self._on_mixed(service, mixed)
        return versions.pop() if self.complete and len(versions) == 1 else None

    def record(
        self, service: ServiceId, request_id: str, version: SoftwareVersion
    ) -> None:
        """Record the version at which the stream of a caller's request began."""
        self._store(stream_key(service, request_id), version, SENDS_PER_RECORD)

    def recorded_version(
        self, service: ServiceId, request_id: str | None
    ) -> SoftwareVersion | None:
        """Return the version of which there is a record for a stream.

        `request_id` is that of the request to which the caller got the first event.
        """
        if request_id is None:
            return None
        self._expire()
        record = self._records.get(stream_key(service, request_id))
        return None if record is None else record.version

    def version_of(
        self, service: ServiceId, request_id: str | None
    ) -> SoftwareVersion | None:
        """Return the version at which a stream began, as far as this entry VM follows.

        It is that of its record, or the only one.
        """
        return self.recorded_version(service, request_id) or self.sole_version(service)

    # Exchange with other entry VMs.

    def take_unsent(self, limit: int) -> dict[SoftwareVersion, list[StreamKey]]:
        """Return at most `limit` records that the other entry VMs may need.

        There are none while every service has one version that they know, too.
        """
        self._expire()
        if all(self.sole_version(service) is not None for service in self._seen_at):
            return {}
        unsent: dict[SoftwareVersion, list[StreamKey]] = {}
        for key, record in reversed(self._records.items()):
            if limit <= 0:
                break
            if record.sends_left:
                record.sends_left -= 1
                limit -= 1
                unsent.setdefault(record.version, []).append(key)
        return unsent

    def receive(self, keys_by_version: Mapping[str, Collection[int]]) -> None:
        """Store records of other entry VMs."""
        for version, keys in keys_by_version.items():
            for key in keys:
                self._store(StreamKey(key), SoftwareVersion(version), 0)

    def knowledge(self, key: StreamKey | None = None) -> StreamKnowledge:
        """Return what this entry VM knows, of all streams or of one."""
        self._expire()
        now = self._clock()
        records: dict[str, list[int]] = {}
        if key is None:
            for known, record in self._records.items():
                records.setdefault(record.version, []).append(known)
        elif key in self._records:
            records[self._records[key].version] = [key]
        return StreamKnowledge(
            complete_seconds=min(now - self._complete_since, _MAX_KNOWN_SECONDS),
            ages={
                service: {
                    version: now - self._seen_at[service][version]
                    for version in self._recent_versions(service)
                }
                for service in list(self._seen_at)
            },
            records=records,
        )

    def merge(self, knowledge: StreamKnowledge) -> None:
        """Add what another entry VM knows."""
        now = self._clock()
        for service, ages in knowledge.ages.items():
            seen_at = self._seen_at.setdefault(ServiceId(service), {})
            for name, age in ages.items():
                version = SoftwareVersion(name)
                seen_at[version] = max(
                    seen_at.get(version, -math.inf), now - max(0.0, age)
                )
        if knowledge.complete_seconds > 0:
            self._complete_since = min(
                self._complete_since, now - knowledge.complete_seconds
            )
        self.receive(knowledge.records)

    def _recent_versions(self, service: ServiceId) -> set[SoftwareVersion]:
        now = self._clock()
        seen_at = self._seen_at.setdefault(service, {})
        for version in self._serving(service):
            seen_at[version] = now
        for version, at in list(seen_at.items()):
            if now - at >= MAX_STREAM_SECONDS:
                del seen_at[version]
        return set(seen_at)

    def _store(self, key: StreamKey, version: SoftwareVersion, sends_left: int) -> None:
        known = self._records.get(key)
        if known is not None:
            sends_left = max(sends_left, known.sends_left)
        expires_at = self._clock() + MAX_STREAM_SECONDS
        self._records[key] = _Record(version, expires_at, sends_left)
        self._records.move_to_end(key)
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def _expire(self) -> None:
        now = self._clock()
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires_at > now:
                return
            del self._records[key]


def stream_key(service: ServiceId, request_id: str) -> StreamKey:
    """Return the key of the stream that began as a caller's request."""
    text = f"{service}/{request_id}".encode("utf-8", "surrogateescape")
    digest = hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()
    return StreamKey(int.from_bytes(digest, "big"))
