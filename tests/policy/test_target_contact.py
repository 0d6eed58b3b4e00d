"""Lost contact with all targets of a region, told apart from what looks like it."""

import pytest

from pimentospool.policy import NeighbourContacts, TargetContact
from pimentospool.policy._target_contact import (
    CONFIRMATION_SECONDS,
    FAILURE_SECONDS,
    REPORT_SECONDS,
    service_key,
)

TARGETS = [f"t-{number}" for number in range(6)]
S, OTHER = service_key("s"), service_key("other")
NOTICE_SECONDS = 5.0
"""The platform's bound on the time until a cut has to be noticed."""


class Simulation:
    """An entry VM that tries targets in turn, and probes while contact is suspected."""

    def __init__(self, targets=TARGETS):
        self.now = 100.0
        self.targets = targets
        self.contact = TargetContact(clock=lambda: self.now)
        self.down = set()
        self.opened_at = dict.fromkeys(targets, 0.0)
        """When the kept connection to each target was opened."""
        self.old_work = True

    def request(self, target):
        """Send a request on a kept connection, or else on a new one."""
        if target not in self.down:
            self.contact.record_answer("s", opened_at=self.opened_at[target])
        elif not self.old_work:
            self.contact.record_failure(target, "s")

    def open(self, target):
        if target in self.down:
            self.contact.record_failure(target, "s")
        else:
            self.opened_at[target] = self.now
            self.contact.record_opened(self.now)

    def run(self, seconds, *, opens=True):
        """Return the seconds in which contact counted as lost."""
        lost_seconds = 0.0
        for step in range(round(seconds / 0.1)):
            self.now += 0.1
            target = self.targets[step % len(self.targets)]
            self.request(target)
            if opens or target in self.down:
                self.open(target)
            if self.contact.suspected and step % 4 == 0:
                for probed in self.contact.probe_order(self.targets)[:2]:
                    self.open(probed)
            lost_seconds += 0.1 * self.contact.is_lost(self.targets)
        return lost_seconds


@pytest.mark.parametrize("old_work", [False, True])
@pytest.mark.parametrize("targets", [2, 3, 6, 40])
def test_cut_from_all_targets_is_noticed_in_time(targets, old_work):
    simulation = Simulation([f"t-{number}" for number in range(targets)])
    simulation.run(10.0)
    simulation.down = set(simulation.targets)
    simulation.old_work = old_work
    assert simulation.run(10.0) >= 10.0 - NOTICE_SECONDS
    simulation.down = set()
    simulation.run(1.0)
    assert not simulation.contact.is_lost(simulation.targets)


@pytest.mark.parametrize("opens", [False, True])
@pytest.mark.parametrize("crashed", [1, 3, 5])
def test_crash_of_some_targets_is_no_cut(crashed, opens):
    simulation = Simulation()
    simulation.down = set(TARGETS[:crashed])
    simulation.old_work = False
    assert not simulation.run(20.0, opens=opens)


def test_silence_of_all_targets_for_a_second_is_no_cut():
    simulation = Simulation()
    for _ in range(5):
        simulation.down, simulation.old_work = set(TARGETS), False
        assert not simulation.run(1.3)
        simulation.down = set()
        assert not simulation.run(3.0)


def test_answer_on_an_old_connection_does_not_hide_a_cut():
    now = 0.5
    contact = TargetContact(clock=lambda: now)
    for _ in range(5):
        now += 0.5
        for target in TARGETS[:3]:
            contact.record_failure(target, "s")
        contact.record_answer("s", opened_at=0.5)
    assert contact.is_lost(TARGETS)
    contact.record_answer("s", opened_at=3.1)
    assert not contact.is_lost(TARGETS)
    assert not contact.suspected


def test_failures_that_do_not_come_again_are_forgotten():
    now = 0.0
    contact = TargetContact(clock=lambda: now)
    for target in TARGETS:
        contact.record_failure(target, "s")
    now = CONFIRMATION_SECONDS
    assert contact.is_lost(TARGETS)
    now = FAILURE_SECONDS
    assert not contact.is_lost(TARGETS)


def test_targets_that_did_not_fail_are_probed_first():
    now = 5.0
    contact = TargetContact(clock=lambda: now)
    contact.record_failure("t-0", "s")
    now = 6.0
    contact.record_failure("t-1", "s")
    assert contact.probe_order(["t-0", "t-1", "t-2"]) == ["t-2", "t-0", "t-1"]


def test_neighbours_that_reach_the_service_come_first_and_cut_ones_never():
    now = 0.0
    contacts = NeighbourContacts(clock=lambda: now)
    contacts.receive(1, {S: True})
    contacts.receive(2, {S: False, OTHER: True})
    contacts.receive(3, {OTHER: False})
    contacts.receive(5, {OTHER: True})
    assert contacts.choose([1, 2, 3, 4, 5], "s", proven=False) == [1]
    contacts.receive(1, {S: False})
    assert contacts.choose([1, 2, 3, 4, 5], "s", proven=False) == [4, 5]
    assert not contacts.choose([1, 2, 3, 4, 5], "s", proven=True)
    assert not contacts.choose([1, 2, 3], "s", proven=False)
    now = REPORT_SECONDS
    assert contacts.choose([1, 2], "s", proven=False) == [1, 2]


def test_service_whose_targets_died_for_all_is_reported_as_not_reached():
    now = 0.0
    contact = TargetContact(clock=lambda: now)
    contact.record_answer("dead", opened_at=0.0)
    now = 4.0
    contact.record_failure("t-0", "dead")
    contact.record_answer("sound", opened_at=3.0)
    assert contact.report() == {service_key("dead"): False, service_key("sound"): True}
