"""Quarantine of parts and requests under which targets crash, in a simulated fleet."""

import heapq
import itertools
import random
from collections import defaultdict

import msgspec
import pytest

from pimentospool.policy import CrashSuspects, RequestTraits, SuspectKind, part_key

CONTACT_SECONDS = 5.0
ALLOWED_ARRIVALS = 3
"""The platform's rule: requests that reach targets later than `CONTACT_SECONDS` after
the fifth crash under a part, or the third under a request."""
GOSSIP_SECONDS = 0.2
RECEIVERS = 3
DATAGRAM_LOSS = 0.05
DOWN_SECONDS = 3.0
ANSWER_SECONDS = 1.0
CRASH_SECONDS = 0.02
SURVIVAL_SECONDS = 0.3
BAD = "bad"


def prompt(*parts):
    """Return a request of which only the parts matter."""
    return RequestTraits(parts=parts)


def lookup(content):
    """Return a request without a prompt."""
    return RequestTraits(content=[content.encode()])


class CrashingFleet:
    """Entry VMs that send requests to targets, some of which crash under them.

    Parameters
    ----------
    entries, targets : int
        Number of entry VMs and targets.
    seed : int
        Seed of the random numbers.
    retries : int
        Number of times that a request is sent again after its target has crashed.
    """

    def __init__(self, *, entries, targets, seed, retries=0):
        self.retries = retries
        self.now = 0.0
        self.rng = random.Random(seed)
        self.entries = [CrashSuspects(clock=lambda: self.now) for _ in range(entries)]
        self.down_until = [0.0] * targets
        self.starts = [0] * targets
        self.in_progress = defaultdict(dict)
        """Unanswered requests by target: number to entry VM, request, retries left."""
        self.crash_times = []
        self.bad_arrivals = []
        self.sound_results = []
        """Time and whether a sound request was sent, for each."""
        self.bad_part = BAD
        self.bad_request = lookup("bad")
        self._events = []
        self._ids = itertools.count()

    def at(self, seconds, action, *args):
        heapq.heappush(
            self._events, (self.now + seconds, next(self._ids), action, args)
        )

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = end

    def gossip(self):
        for entry in self.entries:
            evidence = entry.evidence()
            if evidence is None:
                continue
            for receiver in self.rng.sample(self.entries, RECEIVERS):
                if self.rng.random() > DATAGRAM_LOSS:
                    self.at(self.rng.uniform(0.001, 0.06), receiver.merge, evidence)
        self.at(GOSSIP_SECONDS, self.gossip)

    def load(self, per_second, make_request):
        self.send(make_request(), self.retries)
        self.at(self.rng.expovariate(per_second), self.load, per_second, make_request)

    def is_bad(self, request):
        is_request = request.content_key == self.bad_request.content_key
        return is_request or self.bad_part in request.parts

    def send(self, request, retries_left):
        number = self.rng.randrange(len(self.entries))
        entry = self.entries[number]
        live = [at for at, until in enumerate(self.down_until) if until <= self.now]
        wait = entry.wait_seconds(request, makes_trial=lambda name: number == 0)
        is_bad = self.is_bad(request)
        if not is_bad:
            self.sound_results.append((self.now, wait is None))
        if wait is not None or not live:
            return
        target, attempt = self.rng.choice(live), next(self._ids)
        self.in_progress[target][attempt] = (number, request, retries_left)
        if is_bad:
            self.bad_arrivals.append(self.now)
        self.at(self.rng.uniform(0.02, 0.2), self.begin, target, attempt, is_bad)

    def begin(self, target, request, is_bad):
        if request not in self.in_progress[target]:
            return
        if is_bad:
            self.at(CRASH_SECONDS, self.crash, target)
        else:
            self.at(SURVIVAL_SECONDS, self.survive, target, request)

    def survive(self, target, request):
        if request in self.in_progress[target]:
            number, survivor, _ = self.in_progress[target].pop(request)
            self.entries[number].record_survival(survivor)

    def crash(self, target):
        if self.down_until[target] > self.now:
            return
        self.crash_times.append(self.now)
        self.down_until[target] = self.now + DOWN_SECONDS
        start = f"{target}/{self.starts[target]}"
        self.starts[target] += 1
        lost = defaultdict(list)
        for number, request, retries_left in self.in_progress.pop(target, {}).values():
            lost[number].append(request)
            if retries_left:
                pause = self.rng.uniform(0.01, 0.4)
                self.at(pause, self.send, request, retries_left - 1)
        for number, requests in lost.items():
            self.at(0.05, self.entries[number].record_crash, start, requests)

    def quarantined(self, request):
        """Return the number of entry VMs that keep `request` from targets."""
        return sum(
            entry.wait_seconds(request, makes_trial=lambda name: False) is not None
            for entry in self.entries
        )


def make_prompt(rng, *parts):
    """Return a prompt with a body of its own."""
    return RequestTraits(parts=parts, content=[rng.randbytes(8)])


def sound_prompt(rng, *, users=60):
    return make_prompt(rng, f"caller{rng.randrange(3)}", f"user{rng.randrange(users)}")


def late_arrivals(fleet, *, after_crashes=5):
    crashes = sorted(fleet.crash_times)
    if len(crashes) < after_crashes:
        return []
    bound = crashes[after_crashes - 1] + CONTACT_SECONDS
    return [at for at in fleet.bad_arrivals if at > bound]


FLEETS = [(8, 9, 25.0, seed) for seed in range(4)] + [
    (70, 31, 9.0, 0),
    (195, 40, 6.2, 0),
]
"""Entry VMs, targets, seconds that are played, and seeds."""


@pytest.mark.parametrize(("entries", "targets", "seconds", "seed"), FLEETS)
@pytest.mark.parametrize("depth", [0, 1, 2])
def test_part_that_crashes_targets_is_kept_from_them(
    entries, targets, seconds, seed, depth
):
    retries = 3 * (seed % 2)
    fleet = CrashingFleet(entries=entries, targets=targets, seed=seed, retries=retries)
    rng = fleet.rng
    fleet.gossip()
    fleet.load(targets * 5, lambda: sound_prompt(rng))
    fleet.run(5.0)

    def bad_prompt():
        others = ["caller0", f"user{rng.randrange(60)}", f"more{rng.random()}"]
        return make_prompt(rng, *others[:depth], BAD, *others[depth:])

    fleet.load(targets * 0.8, bad_prompt)
    fleet.run(seconds)
    assert len(late_arrivals(fleet)) <= ALLOWED_ARRIVALS
    assert fleet.quarantined(prompt(BAD)) == entries
    last = [sent for at, sent in fleet.sound_results if at > fleet.now - 1.0]
    assert last.count(True) > 0.95 * len(last)
    assert not fleet.quarantined(prompt("caller0"))


@pytest.mark.parametrize(("entries", "targets", "seconds", "seed"), FLEETS)
@pytest.mark.parametrize("has_prompt", [False, True])
def test_request_that_crashes_targets_is_kept_from_them(
    entries, targets, seconds, seed, has_prompt
):
    fleet = CrashingFleet(entries=entries, targets=targets, seed=seed, retries=1)
    rng = fleet.rng
    parts = ["caller0", "user0"] if has_prompt else []
    fleet.bad_request = RequestTraits(parts=parts, content=[b"bad"])
    fleet.gossip()
    if has_prompt:
        fleet.load(targets * 5, lambda: sound_prompt(rng))
    else:
        fleet.load(targets * 5, lambda: make_prompt(rng))
    fleet.run(5.0)
    fleet.load(targets * 0.4, lambda: fleet.bad_request)
    fleet.run(seconds)
    assert len(late_arrivals(fleet, after_crashes=3)) <= ALLOWED_ARRIVALS
    assert fleet.quarantined(fleet.bad_request) == entries
    last = [sent for at, sent in fleet.sound_results if at > fleet.now - 1.0]
    assert last.count(True) > 0.95 * len(last)
    assert not fleet.quarantined(prompt("caller0", "user0"))


@pytest.mark.parametrize("pause_seconds", [2.0, 15.0, 50.0])
def test_request_that_comes_seldom_is_kept_from_targets(pause_seconds):
    fleet = CrashingFleet(entries=8, targets=3, seed=1, retries=1)
    rng = fleet.rng
    fleet.gossip()
    fleet.load(40, lambda: make_prompt(rng))
    for number in range(8):
        fleet.at(pause_seconds * number, fleet.send, fleet.bad_request, 1)
    fleet.run(pause_seconds * 8)
    assert len(late_arrivals(fleet, after_crashes=3)) <= ALLOWED_ARRIVALS
    assert fleet.quarantined(fleet.bad_request) == 8


@pytest.mark.parametrize("seed", range(6))
def test_sound_requests_are_retried_while_targets_crash_for_other_reasons(seed):
    """Groups of three targets crash together, and single ones in turn."""
    fleet = CrashingFleet(entries=8, targets=3, seed=seed, retries=3)
    rng = fleet.rng
    fleet.gossip()
    fleet.load(40, lambda: make_prompt(rng))
    for number in range(8):
        for target in range(3):
            fleet.at(4.0 + 5.0 * number + rng.uniform(0.0, 0.1), fleet.crash, target)
            fleet.at(8.2 + 5.0 * number + 0.2 * target, fleet.crash, target)
    fleet.run(50.0)
    refused = [sent for _, sent in fleet.sound_results if not sent]
    assert len(refused) <= 0.001 * len(fleet.sound_results)


def test_request_is_blamed_and_not_the_part_that_was_in_the_same_crashes():
    fleet = CrashingFleet(entries=1, targets=1, seed=6)
    [entry] = fleet.entries
    bad = RequestTraits(parts=["a"], content=[b"bad"])
    for number in range(6):
        fleet.now += 1.0
        entry.record_crash(f"t/{number}", [bad])
    assert fleet.quarantined(bad)
    assert not fleet.quarantined(prompt("a"))


def test_part_is_blamed_for_the_crashes_of_several_requests():
    fleet = CrashingFleet(entries=1, targets=1, seed=6)
    [entry] = fleet.entries
    for number in range(8):
        fleet.now += 1.0
        request = RequestTraits(parts=[BAD], content=[b"%d" % (number // 4)])
        entry.record_crash(f"t/{number}", [request])
    assert entry.quarantined_count(SuspectKind.PART) == 1
    assert not entry.quarantined_count(SuspectKind.REQUEST)


@pytest.mark.parametrize("seed", range(6))
def test_sound_parts_are_sent_while_targets_crash_for_other_reasons(seed):
    """Groups of targets crash together, and single ones in turn.

    All requests of a user may fail, so its part has no answer between crashes.
    """
    fleet = CrashingFleet(entries=8, targets=9, seed=seed)
    rng = fleet.rng
    fleet.gossip()
    fleet.load(45, lambda: sound_prompt(rng, users=180))
    for number in range(8):
        group = rng.sample(range(9), 4)
        for target in group:
            fleet.at(4.0 + 5.0 * number + rng.uniform(0.0, 0.1), fleet.crash, target)
        single = rng.randrange(9)
        for repeat in range(3):
            fleet.at(6.0 + 5.0 * number + repeat, fleet.crash, single)
    fleet.run(50.0)
    refused = [sent for _, sent in fleet.sound_results if not sent]
    assert len(refused) <= 0.001 * len(fleet.sound_results)


@pytest.mark.parametrize("seed", range(4))
def test_part_returns_after_its_targets_were_mended(seed):
    fleet = CrashingFleet(entries=8, targets=9, seed=seed)
    rng = fleet.rng
    fleet.gossip()
    fleet.load(45, lambda: sound_prompt(rng))
    fleet.load(5, lambda: make_prompt(rng, "caller0", BAD))
    fleet.run(30.0)
    assert fleet.quarantined(prompt(BAD)) == 8
    fleet.bad_part = ""
    fleet.run(60.0)
    assert not fleet.quarantined(prompt(BAD))


def test_trials_of_a_quarantined_part_are_few():
    fleet = CrashingFleet(entries=8, targets=9, seed=1)
    rng = fleet.rng
    fleet.gossip()
    fleet.load(45, lambda: sound_prompt(rng))
    fleet.load(5, lambda: make_prompt(rng, "caller0", BAD))
    fleet.run(30.0)
    before = len(fleet.bad_arrivals)
    fleet.run(500.0)
    assert 1 <= len(fleet.bad_arrivals) - before <= 3


def test_time_of_a_quarantine_does_not_move_with_the_delay_of_messages():
    fleet = CrashingFleet(entries=8, targets=9, seed=5)
    fleet.gossip()
    for number in range(4):
        fleet.run(1.0)
        fleet.entries[0].record_crash(f"t/{number}", [prompt("a", "b")])
    fleet.run(50.0)
    waits = [
        entry.wait_seconds(prompt("b"), makes_trial=lambda name: False)
        for entry in fleet.entries
    ]
    assert all(9.5 < wait <= 10.1 for wait in waits)


def test_survival_ends_a_quarantine_everywhere():
    fleet = CrashingFleet(entries=8, targets=9, seed=2)
    first, *others = fleet.entries
    for number in range(4):
        fleet.now += 1.0
        first.record_crash(f"t/{number}", [prompt("a", "b")])
    assert fleet.quarantined(prompt("b")) == 1
    for entry in others:
        entry.merge(first.evidence())
    assert fleet.quarantined(prompt("b")) == 8
    assert not fleet.quarantined(prompt("a"))
    fleet.now += 1.0
    others[0].record_survival(prompt("a", "b"))
    for entry in fleet.entries:
        entry.merge(others[0].evidence())
    assert not fleet.quarantined(prompt("b"))


@pytest.mark.parametrize(
    ("crashes", "others", "quarantined"),
    [(3, 0, False), (4, 1, True), (4, 2, False), (5, 4, True), (5, 5, False)],
)
def test_part_in_few_of_many_crashes_is_not_taken_for_their_cause(
    crashes, others, quarantined
):
    fleet = CrashingFleet(entries=1, targets=1, seed=4)
    [entry] = fleet.entries
    for number in range(crashes):
        fleet.now += 1.0
        if number < others:
            entry.record_crash(f"u/{number}", [prompt("a", f"c{number}")])
        entry.record_crash(f"t/{number}", [prompt("a", "b")])
        entry.record_survival(prompt("a"))
    assert bool(fleet.quarantined(prompt("b"))) is quarantined


def test_shared_first_part_is_not_quarantined_on_incomplete_reports():
    fleet = CrashingFleet(entries=1, targets=1, seed=6)
    [entry] = fleet.entries
    for number in range(5):
        fleet.now += 1.0
        entry.record_crash(f"t/{number}", [prompt("a", f"c{number}")])
        if number < 3:
            entry.record_crash(f"t/{number}", [prompt("a", BAD)])
    assert not fleet.quarantined(prompt("a"))


def test_message_with_the_most_evidence_fits_into_a_packet():
    fleet = CrashingFleet(entries=1, targets=1, seed=3)
    [entry] = fleet.entries
    for number in range(40):
        fleet.now += 0.4
        requests = [
            RequestTraits(parts=[f"a{n}", f"b{n}"], content=[b"%d" % n])
            for n in range(30)
        ]
        entry.record_crash(f"t/{number}", requests)
    evidence = entry.evidence()
    assert part_key("a0") != part_key("b0")
    assert len(msgspec.msgpack.encode(evidence)) <= 1400
