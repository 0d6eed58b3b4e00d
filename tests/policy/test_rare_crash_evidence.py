"""Quarantine of parts under which targets crash and that come seldom, in model time."""

import msgspec
import pytest

from pimentospool.policy import CrashSuspects, RequestTraits, SuspectKind
from pimentospool.policy._crash_records import MAX_SUSPECTS

CONTACT_SECONDS = 5.0
ALLOWED_ARRIVALS = 3
"""The platform's rule: requests that reach targets later than `CONTACT_SECONDS` after
the fifth crash."""
STEP_SECONDS = 0.2
BAD = "bad"
SOUND_PARTS = ["caller0", "caller0,user1", "caller0,user2"]


def prompt(*parts, content=b""):
    return RequestTraits(parts=parts, content=[content] if content else [])


class Fleet:
    """Entry VMs that exchange evidence; sound requests share the first part."""

    def __init__(self, *, entries):
        self.now = 0.0
        self.entries = [self.new_entry() for _ in range(entries)]
        self.crash_times = []
        self.late_arrivals = 0
        self.sent = 0
        self.other_crashes = 0
        self.sound_refusals = 0

    def new_entry(self):
        return CrashSuspects(clock=lambda: self.now)

    def run(self, seconds, *, sound_interval_seconds=STEP_SECONDS):
        end, next_sound_at = self.now + seconds, self.now
        while self.now < end:
            self.now += STEP_SECONDS
            self.exchange()
            if self.now >= next_sound_at:
                next_sound_at += sound_interval_seconds
                self.send_sound()

    def exchange(self):
        for sender in self.entries:
            evidence = sender.evidence()
            for receiver in self.entries:
                if evidence is not None and receiver is not sender:
                    receiver.merge(evidence)

    def send_sound(self):
        for number, entry in enumerate(self.entries):
            for parts in SOUND_PARTS:
                request = prompt(*parts.split(","))
                if self.wait(entry, request, trial_entry=-1) is not None:
                    self.sound_refusals += 1
                elif number == 0:
                    entry.record_survival(request)

    def wait(self, entry, request, *, trial_entry=0):
        is_trial_entry = trial_entry >= 0 and entry is self.entries[trial_entry]
        return entry.wait_seconds(request, makes_trial=lambda name: is_trial_entry)

    def send_bad(self):
        """Send one request with the part, whose target crashes under it."""
        self.sent += 1
        entry = self.entries[self.sent % len(self.entries)]
        request = prompt("caller0", BAD, content=b"%d" % self.sent)
        if self.wait(entry, request) is not None:
            return
        if len(self.crash_times) >= 5:
            bound = self.crash_times[4] + CONTACT_SECONDS
            self.late_arrivals += self.now > bound
        self.crash_times.append(self.now)
        beside = prompt("caller0", "user1", content=b"beside %d" % self.sent)
        entry.record_crash(f"t/{self.sent}", [request, beside])

    def crash_otherwise(self):
        self.other_crashes += 1
        request = prompt("caller0", "user2", content=b"other %d" % self.other_crashes)
        self.entries[0].record_crash(f"u/{self.other_crashes}", [request])


@pytest.mark.parametrize("entries", [1, 2])
@pytest.mark.parametrize("interval_seconds", [2.0, 11.0, 40.0, 120.0, 300.0])
def test_part_that_comes_seldom_is_kept_from_targets(interval_seconds, entries):
    fleet = Fleet(entries=entries)
    for _ in range(max(12, round(100 / interval_seconds))):
        fleet.send_bad()
        fleet.run(interval_seconds, sound_interval_seconds=1.0)
    assert fleet.entries[0].quarantined_count(SuspectKind.PART) == 1
    assert fleet.late_arrivals <= ALLOWED_ARRIVALS
    assert fleet.sound_refusals == 0


@pytest.mark.parametrize("interval_seconds", [2.0, 11.0, 40.0, 120.0])
@pytest.mark.parametrize("crashes_before", [2, 3, 4])
def test_evidence_outlives_the_restart_of_each_entry_vm_in_turn(
    interval_seconds, crashes_before
):
    fleet = Fleet(entries=2)
    for number in range(12):
        fleet.send_bad()
        fleet.run(interval_seconds / 2, sound_interval_seconds=1.0)
        restarted = number - crashes_before
        if restarted in (0, 1):
            fleet.run(CONTACT_SECONDS)
            fleet.entries[restarted] = fleet.new_entry()
        fleet.run(interval_seconds / 2, sound_interval_seconds=1.0)
    assert fleet.late_arrivals <= ALLOWED_ARRIVALS
    assert fleet.sound_refusals == 0


def test_part_is_found_beside_more_frequent_crashes_for_other_reasons():
    fleet = Fleet(entries=2)
    for _ in range(20):
        fleet.send_bad()
        for _ in range(4):
            fleet.run(4.0)
            fleet.crash_otherwise()
    assert fleet.late_arrivals <= ALLOWED_ARRIVALS
    assert fleet.sound_refusals == 0


def test_part_that_survived_between_its_crashes_is_not_quarantined():
    fleet = Fleet(entries=2)
    first, second = fleet.entries
    for number in range(20):
        first.record_crash(f"t/{number}", [prompt("caller0", "seldom")])
        fleet.run(40.0)
        if number % 3 == 2:
            second.record_survival(prompt("caller0", "seldom"))
        fleet.run(1.0)
    assert not first.quarantined_count(SuspectKind.PART)
    assert not second.quarantined_count(SuspectKind.PART)


def test_survival_is_not_undone_by_an_entry_vm_that_did_not_hear_of_it():
    fleet = Fleet(entries=2)
    first, second = fleet.entries
    for number in range(3):
        first.record_crash(f"t/{number}", [prompt("seldom")])
        fleet.run(2.0)
    fleet.entries = [first]
    first.record_survival(prompt("seldom"))
    fleet.run(120.0)
    fleet.entries = [first, second]
    fleet.run(10.0)
    second.record_crash("t/4", [prompt("seldom")])
    fleet.run(1.0)
    assert not first.quarantined_count(SuspectKind.PART)
    assert not second.quarantined_count(SuspectKind.PART)


def test_trials_are_not_made_again_by_a_process_that_restarted():
    fleet = Fleet(entries=2)
    while not fleet.entries[0].quarantined_count(SuspectKind.PART):
        fleet.send_bad()
        fleet.run(1.0)
    crashes = len(fleet.crash_times)
    fleet.run(61.0)
    fleet.send_bad()
    fleet.send_bad()
    assert len(fleet.crash_times) == crashes + 1
    for _ in range(3):
        fleet.entries[0] = fleet.new_entry()
        fleet.run(5.0)
        fleet.send_bad()
        fleet.send_bad()
    assert len(fleet.crash_times) == crashes + 1


def test_requests_lost_in_many_crashes_do_not_displace_a_rare_part():
    fleet = Fleet(entries=1)
    [entry] = fleet.entries
    for _ in range(3):
        fleet.send_bad()
        fleet.run(11.0)
    requests = [prompt(content=b"%d" % number) for number in range(3 * MAX_SUSPECTS)]
    entry.record_crash("u/0", requests)
    fleet.run(1.0)
    fleet.send_bad()
    assert entry.quarantined_count(SuspectKind.PART) == 1


def test_old_evidence_is_sent_seldom_and_fits_into_a_packet():
    fleet = Fleet(entries=1)
    [entry] = fleet.entries
    for number in range(300):
        fleet.now += 1.0
        parts = [prompt(f"a{number}-{n}", f"b{n % 7}") for n in range(9)]
        entry.record_crash(f"t/{number}", parts)
        entry.record_survival(parts[0])
    fleet.now += 200.0
    sent = []
    for _ in range(100):
        fleet.now += STEP_SECONDS
        evidence = entry.evidence()
        sent.append(0 if evidence is None else len(msgspec.msgpack.encode(evidence)))
    assert 0 < max(sent) <= 1400
    assert sum(sent) / (100 * STEP_SECONDS) <= 1000
