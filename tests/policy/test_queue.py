"""The bounded queue of long requests."""

import random

import pytest

from pimentospool.policy import QueueRefusal, WaitQueue, _queue
from tests.policy._seeded import check_seeds


def test_queue_is_bounded_and_ordered_by_deadline():
    queue = WaitQueue(capacity=2)
    later = queue.offer(deadline=50.0, work_seconds=1.0, now=0.0)
    sooner = queue.offer(deadline=20.0, work_seconds=1.0, now=0.0)
    refusal = queue.offer(deadline=20.0, work_seconds=1.0, now=0.0)
    assert isinstance(refusal, QueueRefusal)
    assert refusal.retry_after_seconds > 0
    assert queue.pop() == sooner
    queue.cancel(later)
    assert queue.pop() is None
    assert len(queue) == 0


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    queue = WaitQueue(capacity=100)
    now = 0.0
    for _ in range(40):
        now += 0.5
        queue.record_served(now)
    for _ in range(20):
        assert not isinstance(
            queue.offer(deadline=now + 60, work_seconds=1.0, now=now), QueueRefusal
        )
    refusal = queue.offer(deadline=now + 60.1, work_seconds=55.0, now=now)
    assert isinstance(refusal, QueueRefusal)
    assert refusal.retry_after_seconds == pytest.approx(5.0, abs=2.0)
    sooner = queue.offer(deadline=now + 3, work_seconds=1.0, now=now)
    assert not isinstance(sooner, QueueRefusal)


def check_earliest_deadline_is_popped(seed):
    rng = random.Random(seed)
    queue = WaitQueue(capacity=30)
    waiting = []
    for _ in range(200):
        if rng.random() < 0.6:
            ticket = queue.offer(deadline=rng.random(), work_seconds=0.0, now=0.0)
            if not isinstance(ticket, QueueRefusal):
                waiting.append(ticket)
        elif waiting and rng.random() < 0.3:
            queue.cancel(waiting.pop(rng.randrange(len(waiting))))
        else:
            first = min(waiting, default=None)
            assert queue.pop() == first
            waiting = [ticket for ticket in waiting if ticket is not first]
        assert len(queue) == len(waiting) <= 30


def test_earliest_deadline_is_always_popped_first():
    check_seeds(check_earliest_deadline_is_popped)


def test_order_check_fails_for_a_queue_in_order_of_arrival(monkeypatch):
    monkeypatch.setattr(_queue.heapq, "heappush", lambda heap, item: heap.append(item))
    monkeypatch.setattr(_queue.heapq, "heappop", lambda heap: heap.pop(0))
    with pytest.raises(AssertionError):
        test_earliest_deadline_is_always_popped_first()
