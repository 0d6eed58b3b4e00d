"""Keeps the routing state up to date with the published facts.

In a small region every entry VM reads the source. In a large one two relays read it;
the others learn of changes by the relays' datagrams and fetch them from a relay. An
entry VM whose relays have no recent news reads the source by itself, so no loss of
relays delays a change for longer than `FRESH_SECONDS`.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Protocol

from pimentospool.gateway._change_log import ChangeLog
from pimentospool.gateway._facts import (
    ConfigurationPublished,
    DatedFact,
    EvacuationChanged,
    Fact,
    FactBatch,
    FactPosition,
    FactSource,
    HistoryLostError,
    SourceError,
    SourceRestoredError,
    TargetDeregistered,
    TargetRegistered,
    TargetUnreadable,
)
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import EntryRecord
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.gateway._store_confirmation import StoreConfirmation
from pimentospool.ids import MemberKey
from pimentospool.log import Event, log_event

HOLD_SECONDS = 2.5
"""Time for which the source holds a watch open without changes. It bounds the time
after which a dead connection is noticed."""
RELAY_HOLD_SECONDS = 2.0
"""The same at a relay, whose news others rely on."""
BATCHING_DELAY_SECONDS = 0.6
"""Delay after changes before the next watch, so that later changes arrive as one
batch. Each request to the source is charged for."""
RELAY_BATCHING_DELAY_SECONDS = 0.4
"""The same at a relay; the way to the others takes some more time."""
FRESH_SECONDS = 3.2
"""Time since a response of the source to a relay after which an entry VM reads the
source by itself: a watch, the interval of announcements, and one lost of them."""
MIN_BOUND_SECONDS = 4.5
"""Least bound on the time to follow a change for which relays are used. A change may
come with the loss of both relays, so it may take `FRESH_SECONDS` and a request."""
MIN_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 1.0
MAX_FOLLOWER_RETRY_DELAY_SECONDS = 3.0
"""Longest delay of an entry VM that has relays. They notice the return of the source
for it, and hundreds of refused requests a second are charged for."""
MIN_EXPIRY_OUTAGE_SECONDS = 2.5
"""Time without a response after which entries of the source may have expired."""
EXPIRY_WINDOW_SECONDS = 1.5
"""Time after an outage during which a removed entry counts as expired, so that its
target has time to register again."""
FOLLOW_POLL_SECONDS = 0.5
"""Longest wait for an announcement before the age of the relays' news is checked."""


class ChangeReader(Protocol):
    """Fetches changes from another entry VM."""

    async def fetch_changes(
        self, record: EntryRecord, after: FactPosition
    ) -> FactBatch | None:
        """Return the changes after a position, None if they can't be had."""


class FactFeed:
    """Applies published facts, and their changes, to a `RoutingState`.

    Parameters
    ----------
    source : FactSource
        Where facts are read.
    routing_state : RoutingState
        Receives configurations, registrations and evacuated zones.
    fleet : Fleet
        Membership of the entry VMs, from which the relays are chosen.
    changes : ChangeLog
        Receives the changes for entry VMs that follow this one.
    reader : ChangeReader
        Fetches changes from a relay.
    confirmation : StoreConfirmation
        Confirms the configuration by the responses.
    bound_seconds : float
        Time within which a change has to be followed.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        source: FactSource,
        routing_state: RoutingState,
        fleet: Fleet,
        changes: ChangeLog,
        reader: ChangeReader,
        confirmation: StoreConfirmation,
        bound_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        self._source = source
        self._routing_state = routing_state
        self._fleet = fleet
        self._changes = changes
        self._reader = reader
        self._confirmation = confirmation
        self._relays_allowed = bound_seconds >= MIN_BOUND_SECONDS
        self._clock = clock
        self._last_response_at = clock()
        self.failing = False
        self._expiry_window_ends_at = 0.0
        self._announced = asyncio.Event()
        self._announcements: dict[str, tuple[EntryRecord, FactPosition]] = {}
        self._relay_contact_at = float("-inf")
        self._follows = False
        self._next_completion_at = float("-inf")

    @property
    def reads_source(self) -> bool:
        """Whether this entry VM reads the source by itself, and gets responses."""
        return not (self._follows or self.failing)

    # Called by the exchange of reports.

    def announced_position(self) -> tuple[FactPosition, float] | None:
        """Return how far this entry VM has followed the source, and its news' age.

        It is None before the first response.
        """
        if self._changes.position is None:
            return None
        return self._changes.position, self._clock() - self._last_response_at

    def receive_position(
        self, record: EntryRecord, position: FactPosition, age_seconds: float
    ) -> None:
        """Store how far a relay has followed the source, and the age of its news."""
        contact_at = self._clock() - age_seconds
        self._relay_contact_at = max(self._relay_contact_at, contact_at)
        self._announcements[record.id] = (record, position)
        known = self._changes.position
        if self.failing:
            if age_seconds < FRESH_SECONDS:
                self._announced.set()
        elif self._follows and known is not None and position > known:
            self._announced.set()

    # The loop.

    async def run(self) -> None:
        """Read the source, then follow its changes, until cancelled."""
        delay = MIN_RETRY_DELAY_SECONDS
        must_read_all = False
        try:
            while True:
                try:
                    if must_read_all or self._changes.position is None:
                        await self._read_all()
                        must_read_all = False
                    else:
                        await self._complete_active()
                        if self._reads_source():
                            await self._watch()
                        else:
                            await self._follow()
                    delay = MIN_RETRY_DELAY_SECONDS
                except HistoryLostError:
                    log_event(Event.STORE_HISTORY_LOST, revision=self._revision)
                    must_read_all = True
                except SourceRestoredError as exc:
                    log_event(Event.STORE_RESTORED, reason=str(exc))
                    must_read_all = True
                except SourceError as exc:
                    self._record_failure(exc)
                    await self._wait_for_news(delay * random.uniform(0.5, 1.0))
                    delay = min(self._max_retry_delay_seconds(), delay * 2)
        finally:
            await self._source.close()

    @property
    def _revision(self) -> int | None:
        position = self._changes.position
        return None if position is None else position.revision

    def _relays(self) -> list[MemberKey]:
        if not self._relays_allowed:
            return []
        return self._fleet.relays(self._fleet.local_region)

    def _reads_source(self) -> bool:
        """Whether this entry VM has to read the source instead of following a relay."""
        relays = self._relays()
        fresh = self._clock() - self._relay_contact_at < FRESH_SECONDS
        fresh = fresh and not self._confirmation.is_due
        follows = bool(relays) and self._fleet.local_record.key not in relays and fresh
        if self._follows and not follows:
            log_event(
                Event.FACTS_READ_DIRECTLY,
                revision=self._revision,
                relays=len(relays),
                silent_seconds=round(self._clock() - self._relay_contact_at, 2),
            )
        if follows:
            self._last_response_at = max(self._last_response_at, self._relay_contact_at)
        self._follows = follows
        return not follows

    async def _read_all(self) -> None:
        known = self._changes.position
        sent_at = self._confirmation.now()
        snapshot = await self._source.read_all(era=known.era if known else 0)
        self._record_response()
        restored = known is not None and snapshot.position.era > known.era
        if restored:
            log_event(
                Event.STORE_RESTORED,
                era=snapshot.position.era,
                revision=snapshot.position.revision,
            )
        self._routing_state.apply_snapshot(
            snapshot, restored=restored, may_have_expired=self._in_expiry_window()
        )
        self._changes.restart(snapshot.position)
        self._confirmation.record_snapshot(
            snapshot, sent_at=sent_at, restored=restored, first=known is None
        )

    async def _watch(self) -> None:
        position = self._changes.position
        assert position is not None
        is_relay = self._fleet.local_record.key in self._relays()
        hold_seconds = self._confirmation.limit_hold(
            RELAY_HOLD_SECONDS if is_relay else HOLD_SECONDS, failing=self.failing
        )
        sent_at = self._confirmation.now()
        batch = await self._source.watch(position, hold_seconds=hold_seconds)
        self._record_response()
        self._apply(batch, sent_at=sent_at)
        if batch.facts:
            await asyncio.sleep(
                RELAY_BATCHING_DELAY_SECONDS if is_relay else BATCHING_DELAY_SECONDS
            )

    async def _follow(self) -> None:
        """Fetch the changes that a relay has announced, or wait for some."""
        if self.failing:
            self._record_response()
        position = self._changes.position
        assert position is not None
        ahead = [
            record
            for record, announced in self._announcements.values()
            if announced > position
        ]
        if not ahead:
            await self._wait_for_news(FOLLOW_POLL_SECONDS)
            return
        record = random.choice(ahead)
        batch = await self._reader.fetch_changes(record, position)
        sent_at: float | None = None
        if batch is None or not await self._complete(batch):
            # The relay is gone, or has other changes: the source has them all.
            del self._announcements[record.id]
            sent_at = self._confirmation.now()
            batch = await self._source.watch(position, hold_seconds=0.0)
            self._record_response()
        else:
            log_event(
                Event.FACTS_FOLLOWED,
                entry=record.id,
                revision=batch.position.revision,
                facts=len(batch.facts),
            )
        self._apply(batch, sent_at=sent_at)

    async def _wait_for_news(self, seconds: float) -> None:
        """Wait until a relay has news for this entry VM, at most for `seconds`."""
        self._announced.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._announced.wait()

    def _max_retry_delay_seconds(self) -> float:
        relays = self._relays()
        if relays and self._fleet.local_record.key not in relays:
            return self._confirmation.limit_retry_delay(
                MAX_FOLLOWER_RETRY_DELAY_SECONDS, has_relays=True
            )
        return self._confirmation.limit_retry_delay(
            MAX_RETRY_DELAY_SECONDS, has_relays=False
        )

    async def _complete(self, batch: FactBatch) -> bool:
        """Read a configuration that the batch names without its value or tenants."""
        for number, dated in enumerate(batch.facts):
            fact = dated.fact
            if not isinstance(fact, ConfigurationPublished):
                continue
            known = fact.configuration
            if known is not None and known.tenants is not None:
                continue
            sent_at = self._confirmation.now()
            try:
                configuration = await self._source.read_configuration()
            except SourceError:
                if known is None or not self._routing_state.accepts(known):
                    raise
                configuration = known
            else:
                if configuration is None:
                    return False
                self._confirmation.record_configuration(configuration, sent_at)
            batch.facts[number] = DatedFact(
                dated.revision, ConfigurationPublished(configuration)
            )
        return True

    async def _complete_active(self) -> None:
        """Read the active configuration again if it came without its tenants.

        Requests are served whatever their keys until it is complete.
        """
        active, position = self._routing_state.configuration, self._changes.position
        now = self._clock()
        if active is None or active.tenants is not None or position is None:
            return
        if now < self._next_completion_at:
            return
        self._next_completion_at = now + self._max_retry_delay_seconds()
        sent_at = self._confirmation.now()
        with contextlib.suppress(SourceError):
            configuration = await self._source.read_configuration()
            if configuration is not None:
                self._confirmation.record_configuration(configuration, sent_at)
                self._routing_state.adopt(configuration, era=position.era)

    def _apply(self, batch: FactBatch, *, sent_at: float | None) -> None:
        """Apply a batch; `sent_at` is when its call was sent if the source answered."""
        if self._in_expiry_window():
            batch = FactBatch(batch.position, [_expiring(item) for item in batch.facts])
        for dated in batch.facts:
            self._apply_fact(dated.fact, era=batch.position.era)
        self._changes.append(batch)
        self._confirmation.record_batch(batch, sent_at=sent_at)

    def _apply_fact(self, fact: Fact, *, era: int) -> None:
        state = self._routing_state
        match fact:
            case TargetRegistered(registration=registration):
                state.register(registration)
            case TargetDeregistered(target=target, may_have_expired=expired):
                state.deregister(target, expired=expired)
            case TargetUnreadable(target=target):
                state.receive_unreadable(target)
            case EvacuationChanged(zone=zone, evacuated=evacuated):
                state.set_evacuated(zone, evacuated)
            case ConfigurationPublished(configuration=configuration):
                if configuration is not None:
                    state.adopt(configuration, era=era)

    def _in_expiry_window(self) -> bool:
        return self._clock() < self._expiry_window_ends_at

    def _record_failure(self, exc: SourceError) -> None:
        if not self.failing:
            self.failing = True
            self._routing_state.outdated = True
            log_event(Event.STORE_UNREACHABLE, reason=str(exc), revision=self._revision)

    def _record_response(self) -> None:
        now = self._clock()
        if self.failing:
            self.failing = False
            self._routing_state.outdated = False
            silent_seconds = now - self._last_response_at
            if silent_seconds > MIN_EXPIRY_OUTAGE_SECONDS:
                self._expiry_window_ends_at = now + EXPIRY_WINDOW_SECONDS
            log_event(Event.STORE_BACK, silent_seconds=round(silent_seconds, 3))
        self._last_response_at = now


def _expiring(dated: DatedFact) -> DatedFact:
    """Return the fact with the mark that a removed target may register again."""
    if not isinstance(dated.fact, TargetDeregistered):
        return dated
    fact = TargetDeregistered(dated.fact.target, may_have_expired=True)
    return DatedFact(dated.revision, fact)
