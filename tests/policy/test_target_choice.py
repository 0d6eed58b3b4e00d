"""Choice of a destination by load, cached prompts, slowness and failures."""

import pytest

from pimentospool.policy import (
    Candidate,
    NoChoice,
    Occupancy,
    RegionChoice,
    RemoteRegion,
    TargetChoice,
    choose_destination,
)


def engine(target="i-1", *, running=0, waiting=0, held=0, prefill=500, **fields):
    values = {
        "slots": 64,
        "cache_tokens": 250_000,
        "required_cache_tokens": 1000,
    } | fields
    return Candidate(
        target=target,
        occupancy=Occupancy(running, waiting, held),
        prefill_tokens=prefill,
        **values,
    )


def promptless(target="i-1", *, running=0, **fields):
    return Candidate(target=target, occupancy=Occupancy(running), slots=6, **fields)


def choose(candidates, remotes=(), first_byte_timeout_seconds=2.0):
    return choose_destination(
        candidates, remotes, first_byte_timeout_seconds=first_byte_timeout_seconds
    )


@pytest.mark.parametrize("pace", [5.0, 100.0])
@pytest.mark.parametrize("latency_ratio", [1.0, 20.0])
def test_idle_target_that_was_slow_is_tried_again(pace, latency_ratio):
    fields = {"service_pace": pace, "latency_ratio": latency_ratio}
    for target in (engine(**fields), promptless(**fields)):
        assert isinstance(choose([target]), TargetChoice)
    region = RemoteRegion(region="delta", wait_seconds=9.0, service_pace=pace)
    assert isinstance(choose([], [region]), RegionChoice)


@pytest.mark.parametrize("may_try_idle", [True, False])
def test_request_that_has_waited_is_no_trial_of_an_idle_target(may_try_idle):
    slow = promptless(service_pace=27.0)
    region = RemoteRegion(region="delta", wait_seconds=0.8)
    for destinations in ([slow], []), ([], [region]):
        choice, timely_choice = (
            choose_destination(
                *destinations,
                first_byte_timeout_seconds=seconds,
                may_try_idle=may_try_idle,
            )
            for seconds in (0.45, 1.2)
        )
        assert isinstance(choice, NoChoice) is not may_try_idle
        assert not isinstance(timely_choice, NoChoice)


def test_busy_target_that_is_too_slow_for_the_caller_refuses():
    assert isinstance(choose([promptless(running=1, service_pace=100.0)]), NoChoice)
    assert isinstance(choose([engine(waiting=9000, service_pace=9.0)]), NoChoice)
    region = RemoteRegion(region="delta", wait_seconds=9.0, slot_utilisation=0.1)
    assert isinstance(choose([], [region]), NoChoice)


def test_prompt_that_no_target_can_read_in_time_is_refused_at_once():
    assert isinstance(choose([engine(prefill=90_000)]), NoChoice)


def test_cached_prompt_outweighs_a_short_queue_but_not_a_long_one():
    kept = engine("kept", prefill=500, waiting=2000)
    fresh = engine("fresh", prefill=6500)
    assert choose([kept, fresh]).candidate.target == "kept"
    kept = engine("kept", prefill=500, waiting=30_000)
    assert choose([kept, fresh]).candidate.target == "fresh"


def test_target_with_a_full_batch_is_avoided():
    full = engine("full", running=80, slot_hold_seconds=4.0)
    assert choose([full, engine("free", prefill=3000)]).candidate.target == "free"


def test_target_whose_kv_cache_would_overflow_is_avoided():
    full = engine("full", held=249_800)
    assert choose([full, engine("free", prefill=5000)]).candidate.target == "free"


def test_slow_and_failing_targets_are_avoided():
    assert (
        choose([engine("slow", latency_ratio=6), engine("b")]).candidate.target == "b"
    )
    assert (
        choose([promptless("bad", failure_rate=0.6), promptless("b")]).candidate.target
        == "b"
    )


def test_busy_region_sends_requests_to_a_region_with_a_shorter_wait():
    busy = engine(waiting=20_000)
    idle = RemoteRegion(region="delta", wait_seconds=0.02, prefill_tokens=500)
    assert choose([busy], [idle]).region == "delta"
    calm = engine(waiting=500)
    assert isinstance(choose([calm], [idle]), TargetChoice)


def test_long_prompts_go_to_the_region_that_has_them_cached():
    local = engine(prefill=9000)
    home = RemoteRegion(region="delta", wait_seconds=0.02, prefill_tokens=2900)
    assert choose([local], [home]).region == "delta"
    short = engine(prefill=800)
    near = RemoteRegion(region="delta", wait_seconds=0.02, prefill_tokens=600)
    assert isinstance(choose([short], [near]), TargetChoice)


def test_request_without_a_timely_first_byte_is_refused_with_retry_after():
    choice = choose([engine(waiting=90_000)], first_byte_timeout_seconds=2.4)
    assert isinstance(choice, NoChoice)
    assert 0.2 <= choice.retry_after_seconds <= 10.0
    assert isinstance(
        choose([engine(waiting=90_000)], first_byte_timeout_seconds=5.0), TargetChoice
    )


@pytest.mark.parametrize(("running", "served"), [(0, True), (4, True), (6, False)])
def test_slow_service_is_not_refused_while_it_has_free_slots(running, served):
    choice = choose_destination(
        [promptless(running=running, service_pace=33.0)],
        [],
        first_byte_timeout_seconds=2.0,
        objective_seconds=0.3,
    )
    assert isinstance(choice, TargetChoice) is served


def test_long_prompt_is_not_refused_if_idle_targets_take_as_long():
    choice = choose_destination(
        [engine(prefill=60_000)],
        [],
        first_byte_timeout_seconds=3.0,
        objective_seconds=0.4,
    )
    assert isinstance(choice, TargetChoice)


def test_long_prompts_avoid_batches_whose_requests_they_would_delay():
    crowded, calm = engine("crowded", running=60), engine("calm", running=5)
    remote = RemoteRegion(region="delta", wait_seconds=0.02, slot_utilisation=0.1)
    assert isinstance(choose([calm], [remote]), TargetChoice)
    long_prompt = engine(running=62, prefill=2900)
    assert choose([long_prompt], [remote]).region == "delta"
    assert choose([crowded, calm]).candidate.target == "calm"


def test_request_without_a_destination_is_refused():
    assert isinstance(choose([]), NoChoice)


@pytest.mark.parametrize("wait", [0.0, 0.5])
def test_region_without_targets_uses_another_region(wait):
    remote = RemoteRegion(region="delta", wait_seconds=wait)
    assert choose([], [remote]).region == "delta"


def test_pace_of_the_service_scales_waits_but_not_queues_for_slots():
    options = {"running": 64, "waiting": 29_500, "slot_hold_seconds": 6.4}
    busy, fast = engine(**options), engine(**options, service_pace=0.5)
    assert busy.first_byte_seconds == pytest.approx(1.01 + 0.1)
    assert fast.first_byte_seconds == pytest.approx(0.505 + 0.1)
