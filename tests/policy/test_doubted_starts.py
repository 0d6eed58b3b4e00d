"""Doubts in the starts of targets, among several entry VMs."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentospool.policy import DoubtedStarts
from pimentospool.policy._doubted_starts import COLD_MARGIN_SECONDS


class ManualClock:
    now = 100.0

    def __call__(self):
        return self.now


TARGET = "i-1"
MEMBERS = (11, 12, 13)
COLD_SECONDS = 2.0
"""Shorter than the time for which a doubt is believed that isn't repeated."""


class Member:
    """An entry VM, with the reports that it has sent and received."""

    def __init__(self, key, clock):
        self.key = key
        self.doubted = DoubtedStarts(own=key, clock=clock)
        self.doubted.register(TARGET, 1)
        self.known_start = 1
        self.connected = False
        self.seen, self.heard_of = set(), set()
        """Starts of which it has seen, or heard as well, that they have ended."""
        self.proof = None
        """Doubts that a proof in progress can settle, and the start that it shows."""
        self.reports = itertools.count(1)
        self.received = {}


class Region:
    """Entry VMs with a target that starts again, and messages that may be lost."""

    def __init__(self, clock):
        self.clock = clock
        self.members = [Member(key, clock) for key in MEMBERS]
        self.start, self.cold_until = 1, 0.0
        self.messages = []

    def crash(self, observer, _):
        """The target starts again at once; those that are connected see it."""
        self.start += 1
        self.cold_until = self.clock.now + COLD_SECONDS
        observer.connected = True
        for member in self.members:
            if member.proof is not None and member.proof[1] is None:
                member.proof = None
            if member.connected:
                member.doubted.record_doubt(TARGET)
                member.seen.add(member.known_start)
                member.heard_of.add(member.known_start)
                member.connected = False

    def doubt(self, member, _):
        member.doubted.record_doubt(TARGET)

    def reach(self, member, _):
        member.connected = True
        member.doubted.record_reached(TARGET, cold_seconds=COLD_SECONDS)

    def ask(self, member, _):
        member.proof = member.doubted.open_doubts(TARGET), None

    def answer(self, member, _):
        if member.proof is not None:
            member.connected = True
            member.proof = member.proof[0], self.start

    def end_proof(self, member, _):
        if member.proof is not None and member.proof[1] is not None:
            doubts, shown = member.proof
            member.proof = None
            if shown == member.known_start:
                member.doubted.settle(TARGET, shown, doubts)

    def register(self, member, _):
        cold_seconds = self.cold_until - self.clock.now
        if self.start != member.known_start and cold_seconds > 0:
            member.known_start = self.start
            member.doubted.register(TARGET, self.start)

    def send(self, member, _):
        number, doubts = next(member.reports), member.doubted.notices()
        heard_of = {notice.start for notice in doubts.values()} & member.seen
        report = number, doubts, member.doubted.proofs(), heard_of
        self.messages.append((member.key, report))

    def deliver(self, member, position, *, again=False):
        if not self.messages:
            return
        index = position % len(self.messages)
        sender, report = self.messages[index] if again else self.messages.pop(index)
        number, doubts, proofs, heard_of = report
        if sender == member.key or number < member.received.get(sender, 0):
            return
        member.received[sender] = number
        member.doubted.receive(sender, doubts, proofs)
        member.heard_of |= heard_of

    def tell(self, member, position):
        """Send a report that one other receives at once."""
        self.send(member, position)
        self.deliver(self.members[position % len(self.members)], -1, again=True)

    def deliver_again(self, member, position):
        self.deliver(member, position, again=True)

    def wait(self, _, position):
        self.clock.now += 0.1 * position

    def check(self):
        """Check that who heard of the end of a start doesn't believe it warm."""
        for member in self.members:
            heard = any(start >= member.known_start for start in member.heard_of)
            if heard and self.clock.now < self.cold_until:
                assert self.start > member.known_start
                assert member.doubted.is_doubted(TARGET)


STEPS = ("crash", "doubt", "reach", "ask", "answer", "end_proof", "register", "send")
STEPS += ("tell", "tell", "deliver", "deliver_again", "wait")


@settings(max_examples=2000, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(STEPS),
            st.integers(0, len(MEMBERS) - 1),
            st.integers(0, 5),
        ),
        min_size=20,
        max_size=40,
    )
)
def test_no_member_that_heard_of_a_crash_believes_the_cold_start_warm(steps):
    region = Region(ManualClock())
    for step, member, position in steps:
        getattr(region, step)(region.members[member], position)
        region.check()


# FAILBACK: the entry that ended a doubt at one member freed the target at all others.
@pytest.mark.parametrize("proves_new_start", [False, True])
def test_member_without_the_new_entry_keeps_a_doubt_that_ended_with_it_elsewhere(
    clock, proves_new_start
):
    region = Region(clock)
    first, second, _ = region.members
    region.crash(first, 0)
    region.tell(first, 1)
    region.register(first, 0)
    if proves_new_start:
        for step in (region.doubt, region.ask, region.answer, region.end_proof):
            step(first, 0)
    region.tell(first, 1)
    assert not first.doubted.is_doubted(TARGET)
    assert second.doubted.is_doubted(TARGET)
    region.register(second, 0)
    assert not second.doubted.is_doubted(TARGET)


@pytest.mark.parametrize("lost", [0, 1])
def test_sound_target_is_free_everywhere_once_a_proof_has_arrived(clock, lost):
    region = Region(clock)
    first, second, third = region.members
    for member in (first, third):
        region.doubt(member, 0)
        region.tell(member, 1)
    assert second.doubted.is_doubted(TARGET)
    region.tell(third, 0)
    for step in (region.ask, region.answer, region.end_proof):
        step(first, 0)
    for _ in range(lost):
        region.send(first, 0)
        clock.now += 1.0
    for receiver in (1, 2):
        region.tell(first, receiver)
    assert not any(member.doubted.is_doubted(TARGET) for member in region.members)
    # The settled doubts may still be on their way.
    region.tell(third, 1)
    assert not second.doubted.is_doubted(TARGET)


def test_proof_that_began_before_a_doubt_does_not_settle_it(clock):
    region = Region(clock)
    first, second, _ = region.members
    region.doubt(first, 0)
    region.ask(first, 0)
    region.answer(first, 0)
    region.crash(second, 0)
    region.end_proof(first, 0)
    region.tell(first, 1)
    assert second.doubted.is_doubted(TARGET)
    region.tell(second, 0)
    assert first.doubted.is_doubted(TARGET)


def test_doubts_of_a_member_that_is_cut_off_are_never_shared(clock):
    region = Region(clock)
    first, second, _ = region.members
    region.doubt(first, 0)
    assert first.doubted.is_doubted(TARGET)
    assert first.doubted.notices(in_contact=False) == {}
    region.tell(first, 1)
    assert not second.doubted.is_doubted(TARGET)
    assert first.doubted.is_private(TARGET)
    region.doubt(first, 0)
    region.tell(first, 1)
    assert second.doubted.is_doubted(TARGET)


@pytest.mark.parametrize("heard", [False, True])
def test_doubt_lasts_while_it_is_repeated_and_ends_after_a_new_start_was_warm(
    clock, heard
):
    region = Region(clock)
    first, second, _ = region.members
    region.doubt(first, 0)
    observed = second if heard else first
    for _ in range(20):
        region.tell(first, 1)
        clock.now += 1.0
        assert observed.doubted.is_doubted(TARGET)
    region.reach(first, 0)
    region.tell(first, 1)
    clock.now += COLD_SECONDS
    assert observed.doubted.is_doubted(TARGET)
    clock.now += 2 * COLD_MARGIN_SECONDS
    assert not observed.doubted.is_doubted(TARGET)


# Each renewal was relayed at once, to a whole region, while a target was down.
@pytest.mark.parametrize("reached", [False, True])
def test_renewed_doubt_is_news_only_once_the_target_was_reached(reached):
    clock, sent_at_once = ManualClock(), []
    sender = DoubtedStarts(
        own=11, clock=clock, on_news=lambda: sent_at_once.append(clock.now)
    )
    receiver = DoubtedStarts(own=12, clock=clock)
    for doubted in (sender, receiver):
        doubted.register(TARGET, 1)

    def receive():
        return receiver.receive(11, sender.notices(), sender.proofs())

    sender.record_doubt(TARGET)
    assert receive()
    if reached:
        receiver.record_reached(TARGET, cold_seconds=COLD_SECONDS)
    sender.record_doubt(TARGET)
    assert len(sent_at_once) == 1
    assert receive() is reached


# All entry VMs lose contact if all targets of a region start again at once.
def test_doubt_that_was_told_lasts_if_its_entry_vm_then_loses_contact():
    clock = ManualClock()
    sender, receiver = (DoubtedStarts(own=key, clock=clock) for key in (11, 12))
    for doubted in (sender, receiver):
        doubted.register(TARGET, 1)
    sender.record_doubt(TARGET)
    receiver.receive(11, sender.notices(), {})
    receiver.receive(11, sender.notices(in_contact=False), {})
    assert receiver.is_doubted(TARGET)


# Entry VMs that were cut off kept sound targets in doubt at all others.
@pytest.mark.parametrize(
    ("was_connected", "seconds", "is_told"),
    [(False, 0.1, False), (True, 0.1, True), (False, 2.1, True)],
)
def test_failure_to_connect_after_a_proof_by_another_is_not_told(
    was_connected, seconds, is_told
):
    clock = ManualClock()
    cut_off, prover = (DoubtedStarts(own=key, clock=clock) for key in (11, 12))
    for doubted in (cut_off, prover):
        doubted.register(TARGET, 1)
    cut_off.record_doubt(TARGET)
    prover.receive(11, cut_off.notices(), {})
    prover.settle(TARGET, 1, prover.open_doubts(TARGET))
    cut_off.receive(12, {}, prover.proofs())
    clock.now += seconds
    cut_off.record_doubt(TARGET, was_connected=was_connected)
    assert cut_off.is_doubted(TARGET)
    prover.receive(11, cut_off.notices(), {})
    assert prover.is_doubted(TARGET) is is_told
