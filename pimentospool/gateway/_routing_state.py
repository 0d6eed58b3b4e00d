"""What this process knows of configuration, targets and evacuated zones."""

from collections.abc import Callable, Mapping

import msgspec

from pimentospool.gateway._model import Configuration, Registration
from pimentospool.gateway._routes import RouteTable
from pimentospool.ids import RegionId, ServiceId, TargetId, ZoneId
from pimentospool.log import Event, log_event
from pimentospool.signals import Signal

LAPSE_GRACE_SECONDS = 2.2
"""Time in which targets whose entries lapsed during an outage register again.

The platform promises about two seconds after its return."""
COLD_MARGIN_SECONDS = 0.5
"""Added to a cold target's time for the lag of its registration."""


class TargetState:
    """A registered target and what limits its use.

    Parameters
    ----------
    registration : Registration
        What the target published last.
    """

    def __init__(self, *, registration: Registration) -> None:
        self.registration = registration
        self.cold_until = 0.0
        self.assumed_cold = False
        """Whether only its zone's return says that the target is cold."""
        self.lapses_at: float | None = None

    @property
    def id(self) -> TargetId:
        """Id of the target."""
        return self.registration.id

    def is_cold(self, now: float) -> bool:
        """Whether the target still warms up."""
        return now < self.cold_until


class TargetView(msgspec.Struct, kw_only=True, frozen=True):
    """A target as another entry VM knows it."""

    registration: Registration
    cold_seconds: float
    """Time for which it stays cold, from now."""


class KnowledgeView(msgspec.Struct, kw_only=True, frozen=True):
    """What one entry VM knows, for another one."""

    configuration: Configuration
    targets: tuple[TargetView, ...]
    evacuated: frozenset[ZoneId]


class Knowledge:
    """Latest facts; a configuration is replaced by a newer version only.

    Parameters
    ----------
    clock : callable
        Returns the steady time in seconds.
    zone_regions : mapping of ZoneId to RegionId
        Region of each availability zone.
    """

    def __init__(
        self, *, clock: Callable[[], float], zone_regions: Mapping[ZoneId, RegionId]
    ) -> None:
        self.configuration: Configuration | None = None
        self.routes: RouteTable | None = None
        self.outdated = False
        """Whether news of targets do not arrive at the moment."""
        self.zone_regions = dict(zone_regions)
        self.configuration_adopted: Signal[Configuration] = Signal(
            name="configuration_adopted"
        )
        self.zone_restored: Signal[ZoneId] = Signal(name="zone_restored")
        self.target_removed: Signal[TargetId] = Signal(name="target_removed")
        self._clock = clock
        self._targets: dict[TargetId, TargetState] = {}
        self._evacuated: set[ZoneId] = set()

    def adopt(self, configuration: Configuration) -> bool:
        """Put `configuration` in force if it is newer; return whether it is."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.configuration = configuration
        self.routes = RouteTable(configuration=configuration)
        log_event(
            Event.CONFIGURATION_ADOPTED,
            version=configuration.version,
            previous=known.version if known else None,
            routes=len(configuration.routes),
        )
        self.configuration_adopted.send(configuration)
        return True

    def register(self, registration: Registration) -> None:
        """Record what a target published."""
        now = self._clock()
        state = self._targets.get(registration.id)
        if state is None or _is_new_life(state.registration, registration):
            if state is not None:
                self.target_removed.send(registration.id)
            state = TargetState(registration=registration)
            self._targets[registration.id] = state
            log_event(
                Event.TARGET_REGISTERED,
                target=registration.id,
                service=registration.service,
                address=str(registration.address),
                zone=registration.zone,
                cold_seconds=registration.cold_seconds,
            )
        elif registration.leaving and not state.registration.leaving:
            log_event(Event.TARGET_LEAVING, target=registration.id)
        state.registration = registration
        state.lapses_at = None
        if registration.cold_seconds > 0:
            until = now + registration.cold_seconds + COLD_MARGIN_SECONDS
            state.cold_until = max(state.cold_until, until)

    def deregister(self, target: TargetId, *, lapsed: bool = False) -> None:
        """Remove a target; after a lapse only if it does not register again."""
        state = self._targets.get(target)
        if state is None:
            return
        if lapsed:
            if state.lapses_at is None:
                state.lapses_at = self._clock() + LAPSE_GRACE_SECONDS
            return
        self._remove(target, "removed")

    def target(self, target: TargetId) -> TargetState | None:
        """Return a registered target."""
        return self._targets.get(target)

    def assumed_cold(self, zone: ZoneId | None = None) -> list[TargetState]:
        """Return the targets, of `zone` if given, that are only assumed to be cold."""
        now = self._clock()
        return [
            state
            for state in self._targets.values()
            if state.assumed_cold
            and state.is_cold(now)
            and zone in (None, state.registration.zone)
        ]

    def learn_cold(self, target: TargetId, seconds: float) -> None:
        """Record how long a target has said that it stays cold.

        That it is warm counts only against an assumption, not against what it
        published.
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

    def known_targets(self) -> list[TargetId]:
        """Return the ids of all registered targets."""
        return list(self._targets)

    def replace_evacuated(self, zones: set[ZoneId]) -> None:
        """Record which zones are evacuated now; servers of the others are cold."""
        for zone in zones - self._evacuated:
            log_event(Event.ZONE_EVACUATED, zone=zone)
        for zone in self._evacuated - zones:
            log_event(Event.ZONE_RESTORED, zone=zone)
            self._mark_cold(zone)
        restored = self._evacuated - zones
        self._evacuated = set(zones)
        for zone in restored:
            self.zone_restored.send(zone)

    def view(self) -> KnowledgeView | None:
        """Return all that is known, None before the first configuration."""
        if self.configuration is None:
            return None
        now = self._clock()
        return KnowledgeView(
            configuration=self.configuration,
            targets=tuple(
                TargetView(
                    registration=state.registration,
                    cold_seconds=max(0.0, state.cold_until - now),
                )
                for state in self._targets.values()
            ),
            evacuated=self.evacuated,
        )

    def take_view(self, view: KnowledgeView) -> bool:
        """Take the view of another entry VM if nothing is known here yet."""
        if self.configuration is not None:
            return False
        for item in view.targets:
            self.register(
                msgspec.structs.replace(
                    item.registration, cold_seconds=item.cold_seconds
                )
            )
        self.replace_evacuated(set(view.evacuated))
        return self.adopt(view.configuration)

    @property
    def evacuated(self) -> frozenset[ZoneId]:
        """Zones to whose targets nothing is sent."""
        return frozenset(self._evacuated)

    def region_of(self, zone: ZoneId) -> RegionId:
        """Return the region of `zone`; an unknown zone is a region of its own."""
        return self.zone_regions.get(zone, RegionId(zone))

    def usable_targets(self, service: ServiceId, region: RegionId) -> list[TargetState]:
        """Return the targets of `service` in `region` that take new requests."""
        self._expire()
        return [
            state
            for state in self._targets.values()
            if state.registration.service == service
            and not state.registration.leaving
            and state.registration.zone not in self._evacuated
            and self.region_of(state.registration.zone) == region
        ]

    def _expire(self) -> None:
        now = self._clock()
        for target, state in list(self._targets.items()):
            if state.lapses_at is not None and now >= state.lapses_at:
                self._remove(target, "did not register again after an outage")

    def _remove(self, target: TargetId, reason: str) -> None:
        del self._targets[target]
        log_event(Event.TARGET_REMOVED, target=target, reason=reason)
        self.target_removed.send(target)

    def _mark_cold(self, zone: ZoneId) -> None:
        services = self.configuration.services if self.configuration else {}
        for state in self._targets.values():
            spec = services.get(state.registration.service)
            if state.registration.zone == zone and spec is not None:
                until = self._clock() + spec.cold_seconds + COLD_MARGIN_SECONDS
                state.assumed_cold = state.cold_until < until
                state.cold_until = max(state.cold_until, until)


def _is_new_life(known: Registration, published: Registration) -> bool:
    return (
        known.started_at != published.started_at
        or known.address != published.address
        or known.service != published.service
    )
