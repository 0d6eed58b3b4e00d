"""Finds the software version that began a stream which a caller takes up.

An entry VM that was cut off, stood still or follows a slow source doesn't know of a
version that has joined meanwhile. That one version alone serves is therefore believed
only after a read of the source that began with the request, or, while the source
doesn't respond, if entry VMs of all zones say so. All VMs learn of a version from the
source, so no stream can have begun at one that such a read doesn't show.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Protocol

from pimentospool.gateway._change_log import ChangeLog
from pimentospool.gateway._facts import (
    FactSource,
    HistoryLostError,
    SourceError,
    SourceRestoredError,
    TargetRegistered,
)
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import EntryRecord
from pimentospool.gateway._model import Registration
from pimentospool.ids import ServiceId, SoftwareVersion, StreamKey, TargetId
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    FOLLOWED_SECONDS,
    OriginEvidence,
    StreamVersions,
    stream_key,
)
from pimentospool.tasks import timeout_after_read

SOURCE_TIMEOUT_SECONDS = 0.5
"""Longest wait for the source; far above its usual response time."""
SOURCE_RETRY_SECONDS = 0.5
"""Time after a failed read in which the source isn't read again; reads are priced."""
PEER_TIMEOUT_SECONDS = 0.5
"""Longest wait for other entry VMs; some round trips between regions."""
MAX_QUESTIONS = 32
"""Limit on the streams for which others are asked at the same time."""


class PeerReader(Protocol):
    """Asks other entry VMs what they know of a stream."""

    async def learn_stream(self, record: EntryRecord, key: StreamKey) -> bool:
        """Store what another entry VM knows; return whether it responded."""


class StreamOrigins:
    """Finds the versions that began streams, from records, the source and others.

    Parameters
    ----------
    versions : StreamVersions
        Software versions at which streams began.
    source : FactSource
        Where facts are read; used by nothing else, as a failure closes its connections.
    changes : ChangeLog
        Tells how far the routing state has followed the source.
    fleet : Fleet
        Membership of the entry VMs.
    peers : PeerReader
        Asks other entry VMs.
    known_start : callable
        Returns the start of a target that the routing state shows, None without one.
    clock : callable
        Returns a monotonic time in seconds that also counts while the VM is suspended.
    """

    def __init__(
        self,
        *,
        versions: StreamVersions,
        source: FactSource,
        changes: ChangeLog,
        fleet: Fleet,
        peers: PeerReader,
        known_start: Callable[[TargetId], int | None] = lambda target: None,
        clock: Callable[[], float],
    ) -> None:
        self._versions = versions
        self._source = source
        self._changes = changes
        self._fleet = fleet
        self._peers = peers
        self._known_start = known_start
        self._clock = clock
        self._reading: asyncio.Task[bool] | None = None
        self._failed_at = float("-inf")
        self._starts_ahead: dict[TargetId, int] = {}
        """Starts in the last response that the routing state may not show yet."""
        self._questions = 0

    async def version_of(
        self, service: ServiceId, request_id: str | None
    ) -> SoftwareVersion | None:
        """Return the version that began a stream, None if it can't be found out.

        `request_id` is that of the request to which the caller got the first event.
        """
        versions, asked_at = self._versions, self._clock()
        version = versions.recorded_version(service, request_id)
        evidence = OriginEvidence.RECORD
        if version is None:
            await self._read_source(asked_at)
            evidence = OriginEvidence.SOURCE
            if versions.follows(asked_at):
                version = versions.sole_version(service)
        if version is None:
            all_zones = await self._ask_others(service, request_id)
            evidence = OriginEvidence.PEERS
            version = versions.recorded_version(service, request_id)
            if version is None and (all_zones or versions.follows(asked_at)):
                version = versions.sole_version(service)
        if evidence is not OriginEvidence.RECORD:
            log_event(
                Event.STREAM_ORIGIN_SOUGHT,
                service=service,
                resumes=request_id,
                version=version,
                evidence=evidence.value,
                complete=versions.complete,
                follows=versions.follows(asked_at),
                seconds=round(self._clock() - asked_at, 3),
            )
        return version

    async def registered_start(self, registration: Registration) -> int | None:
        """Return the start of a target that the source lists now, None if unknown."""
        asked_at = self._clock()
        await self._read_source(asked_at, max_age_seconds=0.0)
        if not self._versions.follows(asked_at, max_age_seconds=0.0):
            return None
        target = registration.id
        ahead = self._starts_ahead.get(target, self._known_start(target))
        return registration.started_at if ahead is None else ahead

    async def close(self) -> None:
        """Close the connections to the source."""
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.gather(self._reading, return_exceptions=True)
        await self._source.close()

    async def _read_source(
        self, asked_at: float, *, max_age_seconds: float = FOLLOWED_SECONDS
    ) -> None:
        """Follow the source up to `asked_at`; requests of one moment share a read."""
        with contextlib.suppress(TimeoutError):
            async with timeout_after_read(SOURCE_TIMEOUT_SECONDS):
                while not self._versions.follows(
                    asked_at, max_age_seconds=max_age_seconds
                ):
                    if self._reading is None:
                        if self._clock() - self._failed_at < SOURCE_RETRY_SECONDS:
                            return
                        self._reading = asyncio.create_task(self._read())
                    if not await asyncio.shield(self._reading):
                        return

    async def _read(self) -> bool:
        """Read the latest registrations; return whether the source responded."""
        try:
            position, sent_at = self._changes.position, self._clock()
            if position is None:
                return False
            batch = await self._source.watch(position, hold_seconds=0.0)
        except (SourceError, SourceRestoredError, HistoryLostError):
            self._failed_at = self._clock()
            return False
        else:
            self._starts_ahead = {}
            for dated in batch.facts:
                if isinstance(dated.fact, TargetRegistered):
                    registration = dated.fact.registration
                    self._starts_ahead[registration.id] = registration.started_at
                    self._versions.observe(registration.service, registration.version)
            self._versions.record_followed(sent_at)
            return True
        finally:
            self._reading = None

    async def _ask_others(self, service: ServiceId, request_id: str | None) -> bool:
        """Ask entry VMs of each zone; return whether one of each has responded."""
        if self._questions >= MAX_QUESTIONS:
            return False
        key = stream_key(service, request_id or "")
        self._questions += 1
        try:
            zones = self._fleet.witnesses()
            responses = await asyncio.gather(
                *(self._ask_zone(records, key) for records in zones)
            )
        finally:
            self._questions -= 1
        return all(responses)

    async def _ask_zone(self, records: list[EntryRecord], key: StreamKey) -> bool:
        async def ask(record: EntryRecord) -> bool:
            try:
                async with timeout_after_read(PEER_TIMEOUT_SECONDS):
                    return await self._peers.learn_stream(record, key)
            except TimeoutError:
                return False

        return any(await asyncio.gather(*(ask(record) for record in records)))
