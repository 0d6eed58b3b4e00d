"""Which entry VMs of the region reach its targets, and probes of lost contact."""

import asyncio
from collections.abc import Callable

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import EntryRecord
from pimentospool.gateway._model import ServiceSpec
from pimentospool.gateway._pools import ConnectionPools
from pimentospool.gateway._routing_state import RoutingState, TargetState
from pimentospool.ids import MemberKey, RegionId, ServiceId, TargetId
from pimentospool.log import Event, log_event
from pimentospool.policy import NeighbourContacts, TargetContact
from pimentospool.targets import AttemptFailure, FailureCause

PROBE_INTERVAL_SECONDS = 0.4
"""Time between probes while contact may be lost, which is also how soon its return is
noticed."""
PROBES_PER_ROUND = 2
PROBE_HOLD_SECONDS = 0.1
"""Time for which a probe's connection has to stay open. A partition may also accept
connections and reset them."""


class RegionContact:
    """Contact of this entry VM and its neighbours with the targets of their region.

    Parameters
    ----------
    fleet : Fleet
        Membership of the entry VMs.
    routing_state : RoutingState
        Registered targets.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self, *, fleet: Fleet, routing_state: RoutingState, clock: Callable[[], float]
    ) -> None:
        self._fleet = fleet
        self._routing_state = routing_state
        self.own = TargetContact(clock=clock)
        self._neighbours = NeighbourContacts(clock=clock)
        self._was_lost = False

    @property
    def lost(self) -> bool:
        """Whether this entry VM reaches no target of its region."""
        lost = self.own.suspected and self.own.is_lost(list(self.targets()))
        if lost is not self._was_lost:
            self._was_lost = lost
            log_event(Event.TARGETS_OUT_OF_REACH if lost else Event.TARGETS_REACHED)
        return lost

    def targets(self) -> dict[TargetId, tuple[TargetState, ServiceSpec]]:
        """Return the targets of the region, with their services."""
        configuration = self._routing_state.configuration
        services = {} if configuration is None else configuration.services
        return {
            state.id: (state, service)
            for service in services.values()
            for state in self._routing_state.usable_targets(
                service.id, self._fleet.local_region
            )
        }

    def report(self) -> dict[int, bool]:
        """Return, by service key, whether its targets were reached recently."""
        reached = self.own.report()
        # Answers may come on connections from before a cut, as long as they last.
        doubtful = self.own.suspected or self.lost
        return dict.fromkeys(reached, False) if doubtful else reached

    def receive(self, member: MemberKey, reached: dict[int, bool]) -> None:
        """Store the report of another entry VM."""
        self._neighbours.receive(member, reached)

    def record_refusal(self, record: EntryRecord, service: ServiceId) -> None:
        """Record that an entry VM refused a hop, as it reaches no target."""
        self._neighbours.record_refusal(record.key, service)

    def receivers(self, region: RegionId, service: ServiceId) -> list[EntryRecord]:
        """Return the entry VMs of any region that may reach targets of `service`."""
        if region == self._fleet.local_region:
            return self.neighbours(service)
        ready = {record.key: record for record in self._fleet.ready(region)}
        chosen = self._neighbours.without_refusals(list(ready), service)
        return [ready[key] for key in chosen]

    def neighbours(
        self, service: ServiceId, *, proven: bool = False
    ) -> list[EntryRecord]:
        """Return the entry VMs of the region that can be asked for `service`.

        Only those that have reached a target of it recently if `proven`.
        """
        ready = {
            record.key: record
            for record in self._fleet.ready(self._fleet.local_region)
            if record.key != self._fleet.local_record.key
        }
        self._neighbours.forget_all_but(ready)
        chosen = self._neighbours.choose(list(ready), service, proven=proven)
        return [ready[key] for key in chosen]


class ContactProber:
    """Opens connections to targets while contact with them may be lost.

    Parameters
    ----------
    contact : RegionContact
        Told the results.
    pools : ConnectionPools
        Connections to the targets.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        contact: RegionContact,
        pools: ConnectionPools,
        clock: Callable[[], float],
    ) -> None:
        self._contact = contact
        self._pools = pools
        self._clock = clock

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            if self._contact.own.suspected:
                targets = self._contact.targets()
                order = self._contact.own.probe_order(list(targets))
                await asyncio.gather(
                    *(self._probe(*targets[key]) for key in order[:PROBES_PER_ROUND])
                )
            # Logs a change also while no request asks for it.
            _ = self._contact.lost

    async def _probe(self, state: TargetState, service: ServiceSpec) -> None:
        pool = self._pools.target_pool(state.registration, service)
        opened_at = self._clock()
        try:
            conn = await pool.acquire(unused=True)
        except AttemptFailure as exc:
            if exc.cause is FailureCause.UNREACHABLE:
                self._contact.own.record_failure(state.id, service.id)
            return
        try:
            await asyncio.sleep(PROBE_HOLD_SECONDS)
            if conn.closed:
                self._contact.own.record_failure(state.id, service.id)
            else:
                self._contact.own.record_opened(opened_at)
        finally:
            pool.release(conn)
