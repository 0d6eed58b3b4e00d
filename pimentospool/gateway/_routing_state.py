"""Configuration, registered targets and evacuated zones known to this process."""

from collections.abc import Callable, Mapping

import msgspec

from pimentospool.gateway._facts import FactPosition, FactSnapshot
from pimentospool.gateway._model import (
    Configuration,
    ConfigurationStamp,
    Registration,
    Tenant,
)
from pimentospool.gateway._routes import RouteTable
from pimentospool.ids import RegionId, ServiceId, SoftwareVersion, TargetId, ZoneId
from pimentospool.log import Event, log_event
from pimentospool.policy import KeyTable
from pimentospool.signals import Signal

EXPIRY_GRACE_SECONDS = 2.2
"""Time for targets whose entries expired during a store outage to register again.

The platform promises that they do within about two seconds after the outage."""
DEPARTED_SECONDS = 60.0
"""Time for which targets that left are remembered; a copy of the store is only seconds
old when it is restored."""
MAX_LEAVING_INSTANCES = 4096
"""Instances of which it is remembered that they said that they leave."""
COLD_MARGIN_SECONDS = 0.5
"""Added to the cold time of a target, as its registration arrives with a delay."""


class TargetState:
    """Registration of a target, and until when it is cold or expires.

    Parameters
    ----------
    registration : Registration
        Latest registration that the target published.
    """

    def __init__(self, *, registration: Registration) -> None:
        self.registration = registration
        self.cold_until = 0.0
        self.assumed_cold = False
        """Whether it counts as cold though it has not said so, as its zone's evacuation
        has ended or it has started again."""
        self.unreadable = False
        """Whether its entry has become unreadable, so that it gets no new requests."""
        self.expires_at: float | None = None
        """Time at which the target is removed unless it registers again."""

    @property
    def id(self) -> TargetId:
        """Id of the target."""
        return self.registration.id

    def is_cold(self, now: float) -> bool:
        """Whether the target is still warming up."""
        return now < self.cold_until


class TargetView(msgspec.Struct, kw_only=True, frozen=True):
    """State of one target, for transfer to another entry VM."""

    registration: Registration
    cold_seconds: float
    """Remaining time for which the target stays cold."""


class RoutingView(msgspec.Struct, kw_only=True, frozen=True):
    """Snapshot of the routing state, for transfer to another entry VM."""

    configuration: Configuration
    targets: tuple[TargetView, ...]
    evacuated: frozenset[ZoneId]
    configuration_era: int = 0
    position: FactPosition | None = None
    """How far the sender had followed the source."""


class RoutingState:
    """Current configuration, targets and evacuated zones.

    A configuration is only replaced by one of a newer version, or, after the source was
    restored from a copy, by other content of the same version. One that an entry VM of
    an older build passes on, without its tenants, is not adopted where there may be
    tenants, and is otherwise replaced by the complete one of the same version.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    zone_regions : mapping of ZoneId to RegionId
        Region of each availability zone.
    expects_tenants : bool
        Whether configurations of the deployment have tenants, as far as its settings
        say.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        zone_regions: Mapping[ZoneId, RegionId],
        expects_tenants: bool = False,
    ) -> None:
        self._expects_tenants = expects_tenants
        self.configuration: Configuration | None = None
        self.configuration_era = 0
        """Era of the source in which the configuration was published."""
        self.routes: RouteTable | None = None
        self.keys: KeyTable[Tenant] = KeyTable()
        """Tenants of the configuration by the digests of their API keys."""
        self.outdated = False
        """Whether registrations can't be updated, as the store is unreachable."""
        self.zone_regions = dict(zone_regions)
        self.configuration_adopted: Signal[Configuration] = Signal(
            name="configuration_adopted"
        )
        self.zone_restored: Signal[ZoneId] = Signal(name="zone_restored")
        self.cold_assumed: Signal[TargetId] = Signal(name="cold_assumed")
        """Sent when a target begins to count as cold though it has not said so."""
        self.target_started: Signal[Registration] = Signal(name="target_started")
        """Sent when a target registers that had no entry, or starts again."""
        self.target_removed: Signal[TargetId] = Signal(name="target_removed")
        self.target_observed: Signal[Registration] = Signal(name="target_observed")
        """Sent when a target registers, and when it has just stopped to serve."""
        self._clock = clock
        self._targets: dict[TargetId, TargetState] = {}
        self._evacuated: set[ZoneId] = set()
        self._said_leaving: dict[tuple[TargetId, int], None] = {}
        """Instances that said in an answer that they leave, the oldest first."""
        self._departed: dict[tuple[TargetId, int], tuple[float, TargetState]] = {}
        """Instances that left, by id and start: when, and their last state."""
        self._unconfirmed_evacuations: dict[ZoneId, float] = {}
        """Evacuations that a restored copy lacks, and until when they last."""

    def adopt(self, configuration: Configuration, *, era: int = 0) -> bool:
        """Make `configuration` the active one if it is newer; return whether it is.

        A version that is published again in a later `era` of the source, with other
        content, replaces the earlier one.
        """
        known = self.configuration
        if not self.accepts(configuration):
            log_event(Event.CONFIGURATION_INCOMPLETE, version=configuration.version)
            return False
        if known is not None:
            known_era = self.configuration_era
            is_same = _with_tenants(configuration, known) == known
            completes = known.tenants is None and configuration.tenants is not None
            again = configuration.version == known.version and (
                (completes and era >= known_era) or (era > known_era and not is_same)
            )
            if configuration.version <= known.version and not again:
                if is_same:
                    self.configuration_era = max(self.configuration_era, era)
                return False
        self.configuration = configuration
        self.configuration_era = era
        self.routes = RouteTable(configuration=configuration)
        self.keys = KeyTable(
            (tenant, tenant.key_digests) for tenant in configuration.tenants or ()
        )
        log_event(
            Event.CONFIGURATION_ADOPTED,
            version=configuration.version,
            previous=known.version if known else None,
            routes=len(configuration.routes),
        )
        self.configuration_adopted.send(configuration)
        return True

    def accepts(self, configuration: Configuration) -> bool:
        """Whether a configuration has tenants, or none are expected.

        Without the tenants, requests would be served whatever their keys.
        """
        known = self.configuration
        expects_tenants = self._expects_tenants or (
            known is not None and bool(known.tenants)
        )
        return configuration.tenants is not None or not expects_tenants

    @property
    def stamp(self) -> ConfigurationStamp | None:
        """Stamp of the active configuration, None before the first one."""
        if self.configuration is None:
            return None
        return ConfigurationStamp(self.configuration.version, self.configuration_era)

    def register(self, registration: Registration) -> None:
        """Store the registration that a target published."""
        now = self._clock()
        state = self._targets.get(registration.id)
        if (
            state is not None
            and state.registration.started_at
            and not registration.started_at
        ):
            # The target itself always names its start: this is another writer's.
            self.receive_unreadable(registration.id)
            return
        if state is None or _is_new_instance(state.registration, registration):
            if state is not None:
                self._remember_departed(state)
                self.target_removed.send(registration.id)
            state = TargetState(registration=registration)
            self._targets[registration.id] = state
            _, earlier = self._departed.pop(_instance(registration), (0.0, None))
            if earlier is not None and not _is_new_instance(
                earlier.registration, registration
            ):
                state.cold_until = earlier.cold_until
                state.assumed_cold = earlier.assumed_cold
            log_event(
                Event.TARGET_REGISTERED,
                target=registration.id,
                service=registration.service,
                address=str(registration.address),
                zone=registration.zone,
                cold_seconds=registration.cold_seconds,
            )
            self.target_started.send(registration)
        elif registration.leaving and not state.registration.leaving:
            log_event(Event.TARGET_LEAVING, target=registration.id)
        state.registration = registration
        state.unreadable = False
        self.target_observed.send(registration)
        state.expires_at = None
        if registration.cold_seconds > 0:
            cold_until = now + registration.cold_seconds + COLD_MARGIN_SECONDS
            state.cold_until = max(state.cold_until, cold_until)

    def receive_leaving(self, registration: Registration) -> None:
        """Store that a target has said in an answer that it leaves.

        It holds for this start of the target, whatever is published later.
        """
        instance = _instance(registration)
        if instance in self._said_leaving:
            return
        if len(self._said_leaving) >= MAX_LEAVING_INSTANCES:
            del self._said_leaving[next(iter(self._said_leaving))]
        self._said_leaving[instance] = None
        log_event(Event.TARGET_LEAVING, target=registration.id)

    def receive_unreadable(self, target: TargetId) -> None:
        """Store that the entry of `target` can't be read any more.

        Until it is readable, the target gets no new requests. It isn't removed, so that
        its connections and what is known of it last.
        """
        state = self._targets.get(target)
        if state is not None and not state.unreadable:
            state.unreadable = True
            log_event(Event.TARGET_UNREADABLE, target=target)

    def deregister(self, target: TargetId, *, expired: bool = False) -> None:
        """Remove a target.

        With `expired` its entry may have expired during a store outage, so it is only
        removed if it doesn't register again within `EXPIRY_GRACE_SECONDS`.
        """
        state = self._targets.get(target)
        if state is None:
            return
        if expired:
            if state.expires_at is None:
                state.expires_at = self._clock() + EXPIRY_GRACE_SECONDS
            return
        self._remove(target, "removed")

    def target(self, target: TargetId) -> TargetState | None:
        """Return the state of a registered target, None if it isn't registered."""
        return self._targets.get(target)

    def assumed_cold(self, zone: ZoneId | None = None) -> list[TargetState]:
        """Return the targets that are assumed cold; only those of `zone` if set."""
        now = self._clock()
        return [
            state
            for state in self._targets.values()
            if state.assumed_cold
            and not state.unreadable
            and state.is_cold(now)
            and zone in (None, state.registration.zone)
        ]

    def receive_cold_report(self, target: TargetId, seconds: float) -> None:
        """Store how long a target stays cold according to its health check.

        A report that it is warm only clears an assumed cold time, not one that the
        target published in its registration.
        """
        state = self._targets.get(target)
        if state is None:
            return
        now = self._clock()
        if seconds > 0:
            if state.assumed_cold or not state.is_cold(now):
                log_event(Event.TARGET_COLD, target=target, seconds=round(seconds, 3))
            state.cold_until = now + seconds + COLD_MARGIN_SECONDS
        elif state.assumed_cold:
            log_event(Event.TARGET_COLD, target=target, seconds=0.0)
            state.cold_until = now
        state.assumed_cold = False

    def assume_cold(self, target: TargetId) -> None:
        """Let a target count as cold for as long as a new start is."""
        state = self._targets.get(target)
        if state is not None:
            self._assume_cold(state)
            self.cold_assumed.send(target)

    def known_targets(self) -> list[TargetId]:
        """Return the ids of all registered targets."""
        return list(self._targets)

    def apply_snapshot(
        self, snapshot: FactSnapshot, *, restored: bool, may_have_expired: bool
    ) -> None:
        """Apply all published facts.

        Parameters
        ----------
        snapshot : FactSnapshot
            All facts at one position of the source.
        restored : bool
            Whether the source came back from a copy that is some seconds old. What the
            copy lacks is kept until its writer has had time to write it again, and what
            had been removed isn't used because the copy still has it.
        may_have_expired : bool
            Whether missing registrations may have expired in an outage of the source.
        """
        if snapshot.configuration is not None:
            self.adopt(snapshot.configuration, era=snapshot.position.era)
        zones = set(snapshot.evacuated)
        if restored:
            ends_at = self._clock() + EXPIRY_GRACE_SECONDS
            for zone in self._evacuated - zones:
                self._unconfirmed_evacuations[zone] = ends_at
            zones |= self._evacuated
        self.replace_evacuated(zones)
        present = {registration.id for registration in snapshot.registrations}
        for target in self.known_targets():
            if target in snapshot.unreadable:
                self.receive_unreadable(target)
            elif target not in present:
                self.deregister(target, expired=restored or may_have_expired)
        for registration in snapshot.registrations:
            if not (restored and self._has_departed(registration)):
                self.register(registration)

    def set_evacuated(self, zone: ZoneId, evacuated: bool) -> None:
        """Begin or end the evacuation of a zone."""
        self._unconfirmed_evacuations.pop(zone, None)
        change = {zone}
        self.replace_evacuated(
            self._evacuated | change if evacuated else self._evacuated - change
        )

    def replace_evacuated(self, zones: set[ZoneId]) -> None:
        """Replace the evacuated zones; targets of restored zones are assumed cold."""
        for zone in zones - self._evacuated:
            log_event(Event.ZONE_EVACUATED, zone=zone)
        for zone in self._evacuated - zones:
            log_event(Event.ZONE_RESTORED, zone=zone)
            self._assume_zone_cold(zone)
        restored = self._evacuated - zones
        self._evacuated = set(zones)
        for zone in restored:
            self.zone_restored.send(zone)

    def view(self, position: FactPosition | None = None) -> RoutingView | None:
        """Return the state at `position`, None before the first configuration."""
        if self.configuration is None:
            return None
        now = self._clock()
        return RoutingView(
            configuration=self.configuration,
            targets=tuple(
                TargetView(
                    registration=state.registration,
                    cold_seconds=max(0.0, state.cold_until - now),
                )
                for state in self._targets.values()
                if not state.unreadable
            ),
            evacuated=self.evacuated,
            configuration_era=self.configuration_era,
            position=position,
        )

    def apply_view(self, view: RoutingView) -> bool:
        """Apply the snapshot of another entry VM if no configuration is known yet.

        Returns whether it was applied.
        """
        if self.configuration is not None or not self.accepts(view.configuration):
            return False
        for item in view.targets:
            self.register(
                msgspec.structs.replace(
                    item.registration, cold_seconds=item.cold_seconds
                )
            )
        self.replace_evacuated(set(view.evacuated))
        return self.adopt(view.configuration, era=view.configuration_era)

    @property
    def evacuated(self) -> frozenset[ZoneId]:
        """Evacuated zones, whose targets get no requests."""
        return frozenset(self._evacuated)

    def region_of(self, zone: ZoneId) -> RegionId:
        """Return the region of `zone`; an unknown zone counts as a region by itself."""
        return self.zone_regions.get(zone, RegionId(zone))

    def usable_targets(self, service: ServiceId, region: RegionId) -> list[TargetState]:
        """Return the targets of `service` in `region` that accept new requests."""
        self._expire()
        return [
            state
            for state in self._targets.values()
            if state.registration.service == service
            and not state.registration.leaving
            and not state.unreadable
            and _instance(state.registration) not in self._said_leaving
            and state.registration.zone not in self._evacuated
            and self.region_of(state.registration.zone) == region
        ]

    def versions(self, service: ServiceId) -> set[SoftwareVersion]:
        """Return the software versions of the registered targets of `service`."""
        return {
            state.registration.version
            for state in self._targets.values()
            if state.registration.service == service
        }

    def _has_departed(self, registration: Registration) -> bool:
        """Whether this instance is known to have left, or to be leaving."""
        state = self._targets.get(registration.id)
        instance = _instance(registration)
        if state is not None and state.registration.leaving:
            return instance == _instance(state.registration) or (
                instance in self._departed
            )
        return instance in self._departed

    def _expire(self) -> None:
        now = self._clock()
        for zone, ends_at in list(self._unconfirmed_evacuations.items()):
            if now >= ends_at:
                self.set_evacuated(zone, False)
        for target, state in list(self._targets.items()):
            if state.expires_at is not None and now >= state.expires_at:
                self._remove(target, "did not register again after an outage")

    def _remove(self, target: TargetId, reason: str) -> None:
        self._remember_departed(self._targets.pop(target))
        log_event(Event.TARGET_REMOVED, target=target, reason=reason)
        self.target_removed.send(target)

    def _remember_departed(self, state: TargetState) -> None:
        now = self._clock()
        self.target_observed.send(state.registration)
        self._departed = {
            instance: (removed_at, departed)
            for instance, (removed_at, departed) in self._departed.items()
            if now - removed_at < DEPARTED_SECONDS
        }
        self._departed[_instance(state.registration)] = now, state

    def _assume_zone_cold(self, zone: ZoneId) -> None:
        departed = (state for _, state in self._departed.values())
        for state in (*self._targets.values(), *departed):
            if state.registration.zone == zone:
                self._assume_cold(state)

    def _assume_cold(self, state: TargetState) -> None:
        services = self.configuration.services if self.configuration else {}
        spec = services.get(state.registration.service)
        if spec is not None:
            cold_until = self._clock() + spec.cold_seconds + COLD_MARGIN_SECONDS
            state.assumed_cold = state.cold_until < cold_until
            state.cold_until = max(state.cold_until, cold_until)


def _is_new_instance(known: Registration, published: Registration) -> bool:
    return (
        known.started_at != published.started_at
        or known.address != published.address
        or known.service != published.service
        or known.version != published.version
    )


def _with_tenants(configuration: Configuration, known: Configuration) -> Configuration:
    """Return a configuration with the known tenants if it comes without any."""
    if configuration.tenants is not None:
        return configuration
    return msgspec.structs.replace(configuration, tenants=known.tenants)


def _instance(registration: Registration) -> tuple[TargetId, int]:
    return registration.id, registration.started_at
