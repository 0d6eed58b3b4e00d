"""Expected length, pace and end of streams, and the decisions that follow from them."""

import random

import pytest
from gateway_factories import Clock

from pimentospool.policy import (
    Candidate,
    NoChoice,
    Occupancy,
    RegionChoice,
    RemoteRegion,
    RouteKey,
    StatedLength,
    StreamExpectations,
    StreamObserver,
    TargetChoice,
    choose_destination,
    is_narrower,
    reserve_seconds,
)
from pimentospool.policy._stream_lengths import MIN_SAMPLES, StreamLengths
from pimentospool.policy._stream_pace import STALE_SECONDS, StreamPaces

KEY = RouteKey("llm", "ask", True)


def gap_seconds(running, speed=1.0):
    return (0.028 + 0.0006 * running) / speed


def learn(paces, targets, *, rounds=40, seed=1):
    rng = random.Random(seed)
    for _ in range(rounds):
        for target, speed in targets.items():
            running = rng.randint(5, 60)
            seconds = 4 * gap_seconds(running, speed) * rng.uniform(0.8, 1.2)
            paces.record(KEY, target, events=4, seconds=seconds, running=running)


def test_pace_at_a_load_is_learned_from_all_targets_of_a_route():
    """Against an entry VM that knows nothing of targets that it sends little to."""
    paces = StreamPaces(clock=Clock())
    learn(paces, {f"i-{number}": 1.0 for number in range(30)}, rounds=2)
    for running in (10, 32, 60):
        expected = gap_seconds(running)
        for target in ("i-1", "never used", None):
            seconds = paces.event_seconds(KEY, running, target)
            assert seconds == pytest.approx(expected, rel=0.2)


def test_slow_target_is_known_and_forgotten():
    """Against a target that is shunned for good as it once was slow."""
    clock = Clock()
    paces = StreamPaces(clock=clock)
    learn(paces, {"fast": 1.0, "other": 1.0, "slow": 0.5}, rounds=60)
    assert paces.factor("slow") / paces.factor("fast") == pytest.approx(2.0, rel=0.25)
    clock.now += 24.0
    assert paces.factor("slow") < 1.25
    clock.now += 36.0
    assert paces.factor("slow") == pytest.approx(1.0, rel=0.1)


def test_pace_without_events_is_forgotten():
    """Against engines that recover while all their streams are refused."""
    clock = Clock()
    paces = StreamPaces(clock=clock)
    learn(paces, {"a": 0.1, "b": 0.1}, rounds=2000)
    clock.now += STALE_SECONDS
    assert paces.event_seconds(KEY, 30) > 8 * gap_seconds(30)
    clock.now += 0.1
    assert paces.event_seconds(KEY, 30) is None
    learn(paces, {"a": 1.0, "b": 1.0}, rounds=20)
    assert paces.event_seconds(KEY, 30) == pytest.approx(gap_seconds(30), rel=0.2)


def test_slow_caller_does_not_make_a_target_slow():
    """Against the pace of a caller's link that is taken for that of an engine."""
    clock = Clock()
    paces = StreamPaces(clock=clock)
    observer = StreamObserver(
        paces=paces, key=KEY, target="i-1", running=lambda: 10, clock=clock
    )
    for number in range(200):
        clock.now += 1.0
        observer.record(number, number * 0.9)
    assert paces.event_seconds(KEY, 10) is None


def make_lengths(*, noise=None, count=96):
    lengths, rng = StreamLengths(clock=Clock()), random.Random(3)
    for _ in range(count):
        events = min(119, 1 + int(rng.expovariate(1 / 36)))
        hint = 0
        if noise is not None:
            hint = max(1, round(events * 8 * rng.lognormvariate(0, noise)))
        lengths.record(KEY, events, StatedLength(hint, 952))
    return lengths


def test_hint_counts_by_how_right_hints_are():
    """Against refusals by hints that are often far off."""
    exact = make_lengths(noise=0.05).estimate(KEY, StatedLength(800, 952))
    assert exact.median == pytest.approx(100, rel=0.15)
    vague = make_lengths(noise=3.0).estimate(KEY, StatedLength(800, 952))
    none = make_lengths().estimate(KEY, StatedLength(0, 952))
    assert none.median * 0.7 < vague.median < 60
    assert none.median < 36 < none.high < 119


def test_stated_lengths_beyond_those_seen_tell_no_more():
    """Against refusals by a default limit that is far above those of other requests."""
    lengths = StreamLengths(clock=Clock())
    for events in range(10, 106):
        lengths.record(KEY, events, StatedLength(events * 8, events * 10))
    seen = lengths.estimate(KEY, StatedLength(840, 1050))
    assert seen.median == pytest.approx(105, rel=0.1)
    far = lengths.estimate(KEY, StatedLength(0, 1_000_000))
    assert far.median <= seen.median * 1.1
    assert lengths.estimate(KEY, StatedLength(0, 5)).median <= 5


def test_stream_that_is_taken_up_has_less_to_do():
    """Against a resumed stream that is judged as if it began."""
    lengths = make_lengths()
    fresh, resumed, over = (
        lengths.estimate(KEY, StatedLength(), sent=sent) for sent in (0, 90, 500)
    )
    assert resumed.high < 30 < fresh.high
    assert over.median == 1.0


def test_nothing_is_expected_of_an_unknown_route():
    """Against refusals without a reason."""
    lengths = make_lengths(count=MIN_SAMPLES - 1)
    assert lengths.estimate(KEY, StatedLength()) is None
    streams = StreamExpectations(clock=Clock())
    assert streams.plan(KEY, StatedLength(), sent=0) is None
    learn(streams.paces, {"i-1": 1.0})
    assert streams.plan(KEY, StatedLength(), sent=0) is None


def test_cut_answers_count_if_they_are_long():
    """Against lengths that only the short answers tell, as the long ones are cut."""
    lengths = make_lengths()
    before = lengths.estimate(KEY, StatedLength())
    for _ in range(40):
        lengths.record(KEY, 2, StatedLength(), whole=False)
    assert lengths.estimate(KEY, StatedLength()) == before
    for _ in range(60):
        lengths.record(KEY, 110, StatedLength(), whole=False)
    assert lengths.estimate(KEY, StatedLength()).median > before.median


def engine(target, rest_seconds, *, running=40, **fields):
    return Candidate(
        target=target,
        occupancy=Occupancy(running),
        slots=64,
        cache_tokens=250_000,
        rest_seconds=rest_seconds,
        slot_hold_seconds=4.0,
        **fields,
    )


def choose(candidates, remotes=(), **options):
    fields = {"first_byte_timeout_seconds": 2.0, "seconds_left": 8.0} | options
    return choose_destination(candidates, remotes, **fields)


def test_stream_goes_where_it_ends_in_time():
    """Against a stream that is begun at a slow target and cut there."""
    choice = choose([engine("slow", 9.0, running=0), engine("fast", 5.0, running=60)])
    assert choice.candidate.target == "fast"
    far = RemoteRegion(region="delta", wait_seconds=1.0, rest_seconds=3.0)
    assert isinstance(choose([engine("slow", 9.0)], [far]), RegionChoice)


def test_stream_that_ends_too_late_everywhere_is_refused_with_the_time_to_drain():
    """Against work that is begun although it can't be ended in time."""
    far = RemoteRegion(region="delta", wait_seconds=0.1, rest_seconds=11.0)
    choice = choose([engine("a", 9.0), engine("b", 12.0)], [far])
    assert isinstance(choice, NoChoice)
    assert 0.2 <= choice.retry_after_seconds < 4.0
    assert choice.completion_seconds > 9.0
    later = choose([engine("a", 9.0)], seconds_left=1.0)
    assert later.retry_after_seconds > choice.retry_after_seconds
    assert isinstance(choose([engine("a", 9.0)], refuses_late=False), TargetChoice)
    assert isinstance(choose([engine("a", 0.0)]), TargetChoice)


def test_stream_far_from_its_deadline_is_placed_as_if_its_end_were_unknown():
    """Against deployments without late streams whose placement changes."""
    for rest_seconds, near in ((1.5, False), (7.0, True)):
        targets = [
            engine("idler", rest_seconds * 1.2, running=20),
            engine("faster", rest_seconds, running=30),
        ]
        choice = choose(targets, seconds_left=9.0)
        assert choice.candidate.target == ("faster" if near else "idler")


def test_work_that_may_travel_leaves_room_for_work_that_may_not():
    """Against a full region beside an idle one."""
    idle = RemoteRegion(region="delta", wait_seconds=0.02)
    for running, leaves in ((30, False), (62, True)):
        local = engine("a", 0.0, running=running)
        utilisation = local.slot_utilisation
        priced = engine(
            "a", 0.0, running=running, reserve_seconds=reserve_seconds(utilisation)
        )
        assert isinstance(choose([local], [idle]), TargetChoice)
        assert isinstance(choose([priced], [idle]), RegionChoice) is leaves


def test_narrower_routes_are_those_with_fewer_regions():
    regions = ("a", "b", "c")
    two, every = frozenset({"a", "b"}), frozenset()
    assert is_narrower(two, every, regions=regions)
    assert not is_narrower(every, two, regions=regions)
    assert not is_narrower(frozenset(regions), every, regions=regions)
    assert not is_narrower(frozenset({"a"}), frozenset({"b", "c"}), regions=regions)
