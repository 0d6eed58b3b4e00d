"""Random writes, restores and outages of a store, followed by two entry VMs.

A small store keeps what targets and the operator write. It can be restored from any
copy of the last seconds; its writers then write again what it lost, within the time
that the platform promises. One entry VM follows it by changes and reads it again after
a restore; a second one starts at some time and knows only what it has read since.
"""

import random
from collections import Counter

import pytest
from gateway_factories import Clock, make_configuration, make_registration

from pimentospool.gateway import FactPosition, FactSnapshot, RoutingState

ZONES = {"gulf-a": "gulf", "gulf-b": "gulf"}
STEPS_PER_SEED = 5_000
REWRITE_SECONDS = 1.5
"""Time after a restore in which writers write again; the platform promises two."""
COPY_AGE_SECONDS = 8.0
GRACE_SECONDS = 2.2


class Store:
    """Targets, evacuated zones and the version of the configuration."""

    def __init__(self):
        self.targets = {}
        self.evacuated = frozenset()
        self.version = 1
        self.era = 1
        self.revision = 1

    def copy(self):
        return (dict(self.targets), self.evacuated, self.version, self.revision)

    def restore(self, copy):
        targets, self.evacuated, self.version, self.revision = copy
        self.targets = dict(targets)
        self.era += 1

    def snapshot(self):
        return FactSnapshot(
            position=FactPosition(self.era, self.revision),
            configuration=make_configuration(version=self.version),
            registrations=list(self.targets.values()),
            evacuated=self.evacuated,
        )


class Simulation:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.store = Store()
        self.state = RoutingState(clock=self.clock, zone_regions=ZONES)
        self.state.apply_snapshot(
            self.store.snapshot(), restored=False, may_have_expired=False
        )
        self.copies = []
        self.alive = {}
        """Registrations of the targets that run and accept requests, by id."""
        self.departed = set()
        """Instances whose departure has been followed, by id and start."""
        self.version = 1
        """Newest version that the operator has published."""
        self.rewrite_at = None
        self.restored_at = -100.0
        self.starts = Counter()
        self.case_counts = Counter()

    def run(self, steps):
        actions = [
            self.start_target,
            self.stop_target,
            self.drain_target,
            self.evacuate,
            self.publish,
            self.wait,
            self.wait,
            self.wait,
            self.restore,
        ]
        for _ in range(steps):
            action = self.rng.choice(actions)
            action()
            self.case_counts[action.__name__] += 1
            self.check()

    # What the writers do. Nothing is written while a restore is being repaired, so
    # that the order of their writes stays known.

    @property
    def repairing(self):
        return self.rewrite_at is not None

    def start_target(self):
        if self.repairing:
            return
        target = f"i-{self.rng.randrange(6)}"
        if target in self.alive:
            return
        self.starts[target] += 1
        registration = make_registration(
            target,
            port=9000 + self.starts[target] % 1000,
            zone=self.rng.choice(list(ZONES)),
            started_at=self.starts[target],
        )
        self.alive[target] = registration
        self.write(registration)

    def stop_target(self):
        if self.repairing or not self.alive:
            return
        registration = self.alive.pop(self.rng.choice(sorted(self.alive)))
        self.delete(registration)

    def drain_target(self):
        if self.repairing or not self.alive:
            return
        target = self.rng.choice(sorted(self.alive))
        registration = self.alive.pop(target)
        leaving = make_registration(
            target,
            port=registration.address.port,
            zone=registration.zone,
            started_at=registration.started_at,
            leaving=True,
        )
        self.write(leaving)
        self.departed.add((target, registration.started_at))

    def evacuate(self):
        if self.repairing:
            return
        zone = self.rng.choice(list(ZONES))
        evacuated = self.rng.random() < 0.3
        self.write_evacuation(zone, evacuated)

    def publish(self):
        if self.repairing:
            return
        self.version += 1
        self.write_version()

    def wait(self):
        self.clock.now += self.rng.choice([0.1, 0.5, 1.0])
        if self.repairing and self.clock.now >= self.rewrite_at:
            self.rewrite()
        self.copies.append((self.clock.now, self.store.copy()))
        oldest = self.clock.now - COPY_AGE_SECONDS
        self.copies = [item for item in self.copies if item[0] >= oldest]

    def restore(self):
        if self.repairing or not self.copies or self.rng.random() < 0.7:
            return
        _, copy = self.rng.choice(self.copies)
        self.intended = (dict(self.store.targets), self.store.evacuated)
        self.store.restore(copy)
        self.copies = []
        self.restored_at = self.clock.now
        self.rewrite_at = self.clock.now + self.rng.uniform(0.0, REWRITE_SECONDS)
        self.state.apply_snapshot(
            self.store.snapshot(), restored=True, may_have_expired=False
        )

    def rewrite(self):
        """Write everything again that the copy lacks or has otherwise."""
        self.rewrite_at = None
        targets, evacuated = self.intended
        for target in sorted(self.store.targets.keys() - targets.keys()):
            self.delete(self.store.targets[target])
        for registration in targets.values():
            self.write(registration)
        for zone in ZONES:
            if (zone in evacuated) != (zone in self.store.evacuated):
                self.write_evacuation(zone, zone in evacuated)
            elif zone in evacuated:
                self.write_evacuation(zone, True)
        self.write_version()

    # Writes, which the entry VM follows at once.

    def write(self, registration):
        self.store.revision += 1
        self.store.targets[registration.id] = registration
        self.state.register(registration)
        if not registration.leaving:
            self.departed.discard((registration.id, registration.started_at))

    def delete(self, registration):
        self.store.revision += 1
        self.store.targets.pop(registration.id, None)
        self.state.deregister(registration.id)
        self.departed.add((registration.id, registration.started_at))

    def write_evacuation(self, zone, evacuated):
        self.store.revision += 1
        changed = {zone}
        self.store.evacuated = (
            self.store.evacuated | changed
            if evacuated
            else self.store.evacuated - changed
        )
        self.state.set_evacuated(zone, evacuated)

    def write_version(self):
        self.store.revision += 1
        self.store.version = self.version
        self.state.adopt(make_configuration(version=self.version), era=self.store.era)

    # What holds at any time.

    def check(self):
        usable = {
            state.id: state.registration
            for state in self.state.usable_targets("desk", "gulf")
        }
        assert self.state.configuration.version == self.version
        for registration in usable.values():
            instance = (registration.id, registration.started_at)
            assert instance not in self.departed
        for target, registration in self.alive.items():
            if registration.zone not in self.state.evacuated:
                assert target in usable, (target, self.clock.now - self.restored_at)
        if not self.repairing:
            assert self.state.evacuated == self.store.evacuated
        elif self.clock.now - self.restored_at < GRACE_SECONDS:
            _, evacuated = self.intended
            assert evacuated <= self.state.evacuated


@pytest.mark.parametrize("seed", range(20))
def test_what_holds_over_restores(seed):
    simulation = Simulation(seed)
    simulation.run(STEPS_PER_SEED)
    assert simulation.case_counts["restore"] > 100
