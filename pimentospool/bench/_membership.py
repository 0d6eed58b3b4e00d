"""Times in which a simulated fleet follows changes of its membership."""

from collections.abc import Callable

import msgspec

from pimentospool.bench._fleet_simulation import FleetSimulation

JOIN_SECONDS = 6.0
PARTITION_SECONDS = 8.0
MAX_WAIT_SECONDS = 20.0
STEP_SECONDS = 0.1


class MembershipTimes(msgspec.Struct, kw_only=True):
    """Result of one simulated fleet; times in simulated seconds."""

    entries: int
    regions: int
    loss: float
    steady_seconds: float
    missing_pairs: int
    """Largest number of pairs of running members that did not know each other."""
    dead_known_seconds: float
    """Time until 99 of 100 members knew of a dead one."""
    restart_known_seconds: float
    rejoin_seconds: float
    """Time until all knew each other after all regions had been apart."""
    kilobytes_per_second: float


def measure_membership(
    *, entries: int, regions: int, loss: float, steady_seconds: float, seed: int
) -> MembershipTimes:
    """Simulate a fleet that starts, runs, loses a member and is partitioned.

    Parameters
    ----------
    entries, regions : int
        Entry VMs, and regions over which they are spread.
    loss : float
        Share of the datagrams that are lost.
    steady_seconds : float
        Simulated time without a fault.
    seed : int
        Seed of all random choices.
    """
    simulation = FleetSimulation(size=entries, regions=regions, loss=loss, seed=seed)
    simulation.run(JOIN_SECONDS)
    missing_pairs, next_check = simulation.missing_pairs(), simulation.now
    sent_bytes = sum(entry.sent_bytes for entry in simulation.entries)
    while simulation.now < JOIN_SECONDS + steady_seconds:
        next_check += 1.0
        simulation.run(next_check - simulation.now)
        missing_pairs = max(missing_pairs, simulation.missing_pairs())
    sent_bytes = sum(entry.sent_bytes for entry in simulation.entries) - sent_bytes
    number = entries // 2
    dead = simulation.entries[number]
    dead.running = False
    ids = [dead.fleet.local_record.id]
    dead_known_seconds = _seconds_until(
        simulation, lambda: simulation.count_knowing(ids) <= entries // 100
    )
    simulation.start(number, generation=1)
    restart_known_seconds = _seconds_until(
        simulation, lambda: not simulation.missing_pairs()
    )
    simulation.blocked = lambda sender, receiver: sender.region != receiver.region
    simulation.run(PARTITION_SECONDS)
    simulation.blocked = lambda sender, receiver: False
    return MembershipTimes(
        entries=entries,
        regions=regions,
        loss=loss,
        steady_seconds=steady_seconds,
        missing_pairs=missing_pairs,
        dead_known_seconds=dead_known_seconds,
        restart_known_seconds=restart_known_seconds,
        rejoin_seconds=_seconds_until(
            simulation, lambda: not simulation.missing_pairs()
        ),
        kilobytes_per_second=sent_bytes / entries / max(steady_seconds, 1.0) / 1e3,
    )


def _seconds_until(simulation: FleetSimulation, condition: Callable[[], bool]) -> float:
    started_at = simulation.now
    while not condition():
        if simulation.now - started_at > MAX_WAIT_SECONDS:
            return float("inf")
        simulation.run(STEP_SECONDS)
    return simulation.now - started_at
