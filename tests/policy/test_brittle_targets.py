"""Targets that fall over if they have to turn many requests away, under overload."""

import heapq
import itertools
import random
from collections import defaultdict, deque

import pytest

from pimentospool.policy import BrittleTargets, OccupancyBook

CONTACT_SECONDS = 5.0
"""Time after which a target that says that it is brittle may let fewer wait."""
REPORT_SECONDS = 0.4
SERVICE_SECONDS = 1.0
OVERLOAD = 1.7
TURN_AWAYS = 5.0
SLOTS = 16
QUEUE = 2 * SLOTS
BRITTLE_AT = 5.0
"""Time at which all targets become brittle, while they are overloaded."""
ROOM_SHRINKS_AT = BRITTLE_AT + CONTACT_SECONDS


class BrittleRegion:
    """Entry VMs that send to the least busy target, by reports of some age.

    Parameters
    ----------
    entries, targets : int
        Number of entry VMs and targets.
    room : int
        Requests that a target lets in from `CONTACT_SECONDS` on.
    """

    def __init__(self, *, entries, targets, room, seed):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.room = room
        self.members = [f"e-{number}" for number in range(entries)]
        self.targets = [f"t-{number}" for number in range(targets)]
        self.brittle = {
            name: BrittleTargets(entry=name, clock=self.clock) for name in self.members
        }
        self.books = {name: OccupancyBook(clock=self.clock) for name in self.members}
        self.in_progress = defaultdict(int)
        self.turned_away = defaultdict(deque)
        self.served = self.falls = 0
        self._events = []
        self._ids = itertools.count()

    def clock(self):
        return self.now

    def at(self, seconds, action, *args):
        event = (self.now + seconds, next(self._ids), action, args)
        heapq.heappush(self._events, event)

    def run(self, seconds, *, load):
        self.report()
        self.arrive(load)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)

    def report(self):
        for name, book in self.books.items():
            report = book.local_occupancy()
            told = self.brittle[name].notices()
            for other in self.members:
                if other != name:
                    self.at(0.05, self.receive, other, name, report, told)
        self.at(REPORT_SECONDS, self.report)

    def receive(self, name, sender, report, told):
        self.books[name].receive_report(sender, report)
        for target, age_seconds in told.items():
            self.brittle[name].receive(target, age_seconds)

    def arrive(self, load):
        self.send(self.rng.choice(self.members))
        self.at(self.rng.expovariate(load), self.arrive, load)

    def send(self, name):
        book, brittle = self.books[name], self.brittle[name]
        free = [
            target
            for target in self.targets
            if book.total(target).running < SLOTS + QUEUE // 2
            and brittle.allows(
                target,
                slots=SLOTS,
                in_progress=book.local(target).running,
                members=self.members,
            )
        ]
        if not free:
            return
        self.rng.shuffle(free)
        target = min(free, key=lambda item: book.total(item).running)
        assignment = book.begin(target)
        self.at(0.002, self.arrive_at_target, name, target, assignment)

    def arrive_at_target(self, name, target, assignment):
        room = self.room if self.now > ROOM_SHRINKS_AT else SLOTS + QUEUE
        rejected = self.in_progress[target] >= room
        sent_at = self.now - 0.002
        self.brittle[name].record_answer(
            target,
            TURN_AWAYS if self.now > BRITTLE_AT else None,
            sent_at=sent_at,
            rejected=rejected,
        )
        if rejected:
            assignment.end()
            self.turn_away(target)
            return
        self.in_progress[target] += 1
        self.served += self.now > ROOM_SHRINKS_AT
        seconds = self.rng.uniform(0.5, 1.5) * SERVICE_SECONDS
        self.at(seconds, self.finish, target, assignment)

    def turn_away(self, target):
        times = self.turned_away[target]
        times.append(self.now)
        while times[0] < self.now - 1.0:
            times.popleft()
        if len(times) > TURN_AWAYS:
            times.clear()
            self.falls += self.now > BRITTLE_AT

    def finish(self, target, assignment):
        self.in_progress[target] -= 1
        assignment.end()


@pytest.mark.parametrize(
    ("entries", "targets"), [(2, 3), (8, 9), (24, 12), (65, 13)], ids=str
)
@pytest.mark.parametrize("room", [SLOTS, 12])
def test_overloaded_targets_that_are_brittle_do_not_fall_over(entries, targets, room):
    seconds = 30.0
    region = BrittleRegion(entries=entries, targets=targets, room=room, seed=1)
    capacity = targets * room / SERVICE_SECONDS
    region.run(seconds, load=OVERLOAD * capacity)
    assert region.falls <= 2 + targets / 10
    assert region.served >= 0.6 * capacity * (seconds - ROOM_SHRINKS_AT)


def test_target_that_is_no_longer_brittle_takes_all_requests(clock):
    brittle = BrittleTargets(entry="e-0", clock=clock)
    options = {"slots": 4, "in_progress": 9, "members": ["e-0", "e-1"]}
    assert brittle.allows("i-1", **options)
    brittle.record_answer("i-1", 3.0, sent_at=clock.now - 0.1, rejected=False)
    assert not brittle.allows("i-1", **options)
    brittle.record_answer("i-1", None, sent_at=clock.now - 0.1, rejected=False)
    assert not brittle.allows("i-1", **options)
    clock.now += 1.0
    brittle.record_answer("i-1", None, sent_at=clock.now - 0.1, rejected=False)
    assert brittle.allows("i-1", **options)
