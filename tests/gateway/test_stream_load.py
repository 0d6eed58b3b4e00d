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
    announce,
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
SERVICE = make_service(
    "llm", engine=True, cold_seconds=3.0, cold_requests_per_second=2.3
)
BOUNDS = SharedBounds(
    retry_ratio=0.2,
    retry_reserve=56,
    retry_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
ENTRIES = 6
SPEEDS = (1.0, 0.5)
START_SECONDS, COLD_SECONDS, RISE_SECONDS = 15.0, 3.0, 20.0
"""When a third engine starts, for how long it says that it is cold, and how long it
takes to become as fast as the first one."""
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
        self.result, self.target = "none", ""

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

    def work(self, now):
        """Return the seconds to the next event of the running streams."""
        room = SLOTS - len(self.running)
        begun, self.waiting = self.waiting[:room], self.waiting[room:]
        self.running += begun
        seconds = len(begun) * PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND
        step = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * len(self.running)
        return (seconds + TOKENS_PER_EVENT * step) / self.speed_at(now)

    def speed_at(self, now):
        return self.speed


class StartingEngine(Engine):
    """An engine that has just started, and is slow for longer than it is cold."""

    def speed_at(self, now):
        age = (now - START_SECONDS) / RISE_SECONDS
        return self.speed * min(1.0, max(0.05, age))


def capacity(speed):
    """Return the streams that an engine with all slots in use ends in a second."""
    step = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * SLOTS
    prefill = PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND * SLOTS / MEAN_EVENTS
    gap = TOKENS_PER_EVENT * step + prefill
    return SLOTS / (MEAN_EVENTS * gap) * speed


class Site:
    """Entry VMs, each of which learns by itself, and the engines of their region."""

    def __init__(self, *, decides, load, seed=1, finds_limit=True):
        self.clock = Clock(0.0)
        self.rng = random.Random(seed)
        self.engines = {
            f"g-{number}": Engine(f"g-{number}", speed)
            for number, speed in enumerate(SPEEDS)
        }
        book = OccupancyBook(clock=self.clock)
        self.entries = [self._make_entry(name, book) for name in range(ENTRIES)]
        self.heartbeat = 0
        if not finds_limit:
            for entry in self.entries:
                entry._warm_up = lambda *args, **options: None
        if not decides:
            for entry in self.entries:
                entry.streams.plan = lambda *args: None
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
        self.at(0.0, self.beat)
        while self.events:
            at, _, call, args = heapq.heappop(self.events)
            if at > SECONDS + DEADLINE_SECONDS + 1:
                break
            self.clock.now = at
            call(*args)
        return [item for item in self.streams if item.began_at >= WARM_UP_SECONDS]

    def start_engine(self):
        """Let a third engine start."""
        engine = self.engines["g-9"] = StartingEngine("g-9", 1.0)
        for entry in self.entries:
            registration = make_registration(
                "g-9",
                service="llm",
                port=9009,
                slots=SLOTS,
                cold_seconds=COLD_SECONDS,
                started_at=2,
            )
            entry._routing_state.register(registration)
        self.step(engine)

    def beat(self):
        """Let the entry VMs hear each other."""
        self.heartbeat += 1
        for entry in self.entries:
            for other in self.entries:
                if other is not entry:
                    announce(
                        entry._fleet,
                        other._fleet.local_record,
                        heartbeat=self.heartbeat,
                    )
        self.at(self.clock.now + 0.5, self.beat)

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
        stream.observer = entry.streams.observe(ROUTE, registration)
        stream.sent_at, stream.result = now, "running"
        stream.target, stream.registration = candidate.target, registration
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
        self.at(self.clock.now + engine.work(self.clock.now), self.step, engine)

    def end(self, place, stream, result):
        place.remove(stream)
        stream.result = result
        stream.assignment.end()
        entry = stream.entry
        health = entry.health(stream.assignment._target)
        health.record_end(self.clock.now - stream.sent_at)
        if result == "cut":
            entry.record_failure(stream.registration)
        entry.streams.record_length(
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


def play_start(*, seed, finds_limit):
    """Return all streams and those of an engine that starts as the others are full."""
    site = Site(decides=True, load=1.3, seed=seed, finds_limit=finds_limit)
    site.at(START_SECONDS, site.start_engine)
    streams = site.play()
    started = [
        item
        for item in streams
        if item.target == "g-9" and item.sent_at > START_SECONDS
    ]
    return streams, started


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_started_engine_gets_the_load_that_it_can_bear(seed):
    """Against one that is flooded after its cold time, or idle beside full ones."""
    flooded_all, flooded = play_start(seed=seed, finds_limit=False)
    streams, started = play_start(seed=seed, finds_limit=True)
    assert share(flooded, "cut") > 0.03
    assert share(started, "cut") < share(flooded, "cut") / 2
    assert len(started) > 0.75 * len(flooded)
    assert share(streams, "complete") > share(flooded_all, "complete") - 0.01
