"""Streams beyond the capacity of engines of two speeds: what their callers get.

Guards against streams that are begun although they can't end by their deadline, and
against refusals of those that could.
"""

import heapq
import itertools
import random

import pytest
from gateway_factories import (
    Clock,
    make_configuration,
    make_record,
    make_registration,
    make_request,
    make_route,
    make_service,
)

from pimentospool.gateway import Prompt, RequestKind, RoutingState, SharedBounds
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._placement import Placement
from pimentospool.gateway._progress import RequestProgress
from pimentospool.policy import NoChoice, OccupancyBook, TargetChoice

SLOTS = 64
STEP_SECONDS, STEP_SECONDS_PER_REQUEST = 3.47e-3, 11.6e-6
PREFILL_TOKENS_PER_SECOND = 38_000.0
TOKENS_PER_EVENT = 8
PROMPT_TOKENS = 826
MEAN_EVENTS, MAX_EVENTS = 36.0, 119
DEADLINE_SECONDS, EVENT_TIMEOUT_SECONDS = 12.0, 2.0
ROUTE = make_route(
    "/ask/",
    services=("llm",),
    kind=RequestKind.STREAM,
    timeout_seconds=DEADLINE_SECONDS,
    target_latency_seconds=0.5,
    max_targets=1,
)
SERVICE = make_service("llm", engine=True)
BOUNDS = SharedBounds(
    retry_ratio=0.2,
    retry_reserve=56,
    retry_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
ENTRIES = 6
SPEEDS = (1.0, 0.5)
WARM_UP_SECONDS, SECONDS = 10.0, 45.0


class Stream:
    """One request of a caller, who sends it again while it is refused."""

    def __init__(self, number, rng, at):
        self.number = number
        events = 1 + int(rng.expovariate(1 / (MEAN_EVENTS + 1.5)))
        self.events = min(MAX_EVENTS, events)
        self.hint = max(1, round(self.events * 8 * rng.lognormvariate(0, 0.7)))
        self.began_at, self.deadline = at, at + DEADLINE_SECONDS
        self.sent = 0
        self.tries = 0
        self.result = "none"

    def request(self, now):
        prompt = Prompt(
            tokens=PROMPT_TOKENS,
            max_output_tokens=MAX_EVENTS * TOKENS_PER_EVENT,
            length_hint=self.hint,
        )
        return make_request(ROUTE.prefix, received_at=now, prompt=prompt)


class Engine:
    """Reads prompts between the decoding of one event of each running stream."""

    def __init__(self, name, speed):
        self.name, self.speed = name, speed
        self.waiting, self.running = [], []

    def work(self):
        """Return the seconds to the next event, and the streams that get one."""
        room = SLOTS - len(self.running)
        begun, self.waiting = self.waiting[:room], self.waiting[room:]
        self.running += begun
        seconds = len(begun) * PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND
        step = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * len(self.running)
        return (seconds + TOKENS_PER_EVENT * step) / self.speed


def capacity(speed):
    """Return the streams that an engine with all slots in use ends in a second."""
    step = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * SLOTS
    prefill = PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND * SLOTS / MEAN_EVENTS
    gap = TOKENS_PER_EVENT * step + prefill
    return SLOTS / (MEAN_EVENTS * gap) * speed


class Site:
    """Entry VMs, each of which learns by itself, and the engines of their region."""

    def __init__(self, *, decides, load, seed=1):
        self.clock = Clock(0.0)
        self.rng = random.Random(seed)
        self.engines = {
            f"g-{number}": Engine(f"g-{number}", speed)
            for number, speed in enumerate(SPEEDS)
        }
        book = OccupancyBook(clock=self.clock)
        self.entries = [self._make_entry(name, book) for name in range(ENTRIES)]
        if not decides:
            for entry in self.entries:
                entry._stream_plan = lambda *args: None
        self.rate = load * sum(capacity(speed) for speed in SPEEDS)
        self.events = []
        self.numbers = itertools.count()
        self.streams = []

    def _make_entry(self, name, book):
        routing_state = RoutingState(
            clock=self.clock, zone_regions={"gulf-a": "gulf", "delta-a": "delta"}
        )
        routing_state.adopt(make_configuration(ROUTE, services=[SERVICE]))
        for number, target in enumerate(self.engines):
            routing_state.register(
                make_registration(
                    target, service="llm", port=9000 + number, slots=SLOTS
                )
            )
        fleet = Fleet(
            local_record=make_record(f"e-{name}"), clock=self.clock, rng=self.rng
        )
        return Placement(
            region="gulf",
            routing_state=routing_state,
            fleet=fleet,
            book=book,
            bounds=BOUNDS,
            clock=self.clock,
        )

    def at(self, seconds, call, *args):
        heapq.heappush(self.events, (seconds, next(self.numbers), call, args))

    def play(self):
        at = 0.0
        while (at := at + self.rng.expovariate(self.rate)) < SECONDS:
            stream = Stream(len(self.streams), self.rng, at)
            self.streams.append(stream)
            self.at(at, self.submit, stream)
        for engine in self.engines.values():
            self.at(0.0, self.step, engine)
        while self.events:
            at, _, call, args = heapq.heappop(self.events)
            if at > SECONDS + DEADLINE_SECONDS + 1:
                break
            self.clock.now = at
            call(*args)
        return [item for item in self.streams if item.began_at >= WARM_UP_SECONDS]

    def submit(self, stream):
        now, left = self.clock.now, stream.deadline - self.clock.now
        entry = self.rng.choice(self.entries)
        req = stream.request(now)
        stream.tries += 1
        stream.progress = RequestProgress(route=ROUTE, max_targets=1)
        choice = entry.choose(
            req,
            ROUTE,
            SERVICE,
            stream.progress,
            first_byte_timeout_seconds=min(left, EVENT_TIMEOUT_SECONDS),
            seconds_left=left,
            refuses_late=True,
        )
        if isinstance(choice, NoChoice):
            stream.result = "refused"
            again_at = now + choice.retry_after_seconds
            if again_at < stream.deadline:
                self.at(again_at, self.submit, stream)
            return
        assert isinstance(choice, TargetChoice)
        candidate = choice.candidate
        registration = entry._routing_state.target(candidate.target).registration
        assignment = entry.begin_assignment(req, candidate)
        assignment.on_first_event = lambda at: entry.record_first_byte(
            registration, candidate, at - now
        )
        stream.entry, stream.req, stream.assignment = entry, req, assignment
        stream.observer = entry.observe_stream(ROUTE, registration)
        stream.sent_at, stream.result = now, "running"
        self.engines[candidate.target].waiting.append(stream)

    def step(self, engine):
        for stream in list(engine.running):
            stream.sent += 1
            stream.progress.events_sent = stream.sent
            stream.assignment.first_event()
            stream.observer.record(stream.sent, 0.0)
            if stream.sent >= stream.events:
                self.end(engine.running, stream, "complete")
        for place in (engine.running, engine.waiting):
            for stream in list(place):
                silent = self.clock.now - stream.sent_at > EVENT_TIMEOUT_SECONDS
                if self.clock.now > stream.deadline or (not stream.sent and silent):
                    self.end(place, stream, "cut")
        self.at(self.clock.now + engine.work(), self.step, engine)

    def end(self, place, stream, result):
        place.remove(stream)
        stream.result = result
        stream.assignment.end()
        entry = stream.entry
        health = entry.health(stream.assignment._target)
        health.record_end(self.clock.now - stream.sent_at)
        entry.record_stream_length(
            stream.req, ROUTE, SERVICE, stream.sent, whole=result == "complete"
        )


def share(streams, result):
    return sum(item.result == result for item in streams) / len(streams)


def longest_tenth(streams):
    return sorted(streams, key=lambda item: item.events)[-len(streams) // 10 :]


@pytest.mark.parametrize("seed", [1, 2])
def test_fewer_streams_are_cut_and_more_end_beyond_the_capacity(seed):
    """Against streams that hold slots up to a deadline which they can't meet."""
    before = Site(decides=False, load=1.3, seed=seed).play()
    streams = Site(decides=True, load=1.3, seed=seed).play()
    assert share(before, "cut") > 0.08
    assert share(streams, "cut") < share(before, "cut") / 2
    assert share(streams, "complete") > share(before, "complete")
    assert share(longest_tenth(streams), "complete") > max(
        share(streams, "complete") / 2, share(longest_tenth(before), "complete") * 0.9
    )


def test_streams_that_end_in_time_are_not_refused():
    """Against refusals while the engines have room for all streams."""
    streams = Site(decides=True, load=0.7).play()
    assert share(streams, "refused") == 0.0
    assert share(streams, "complete") > 0.995
