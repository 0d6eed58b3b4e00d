"""Placement of prompts with shared prefixes, and the load that a region reports."""

import random

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

from pimentospool.gateway import (
    Prompt,
    PromptPart,
    RequestKind,
    RoutingState,
    SharedBounds,
)
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import ServiceLoad
from pimentospool.gateway._placement import Placement
from pimentospool.gateway._progress import RequestProgress
from pimentospool.policy import OccupancyBook, preferred_target

ZONES = {"gulf-a": "gulf", "delta-a": "delta"}
BOUNDS = SharedBounds(
    retry_ratio=0.2,
    retry_reserve=56,
    retry_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
ROUTE = make_route("/plan/", services=("llm",), kind=RequestKind.STREAM)
SERVICE = make_service("llm", engine=True)
TARGETS = {"g-1": "gulf-a", "g-2": "gulf-a", "d-1": "delta-a", "d-2": "delta-a"}


def make_placement(*, wait=0.0):
    clock = Clock()
    routing_state = RoutingState(clock=clock, zone_regions=ZONES)
    routing_state.adopt(make_configuration(ROUTE, services=[SERVICE]))
    for number, (target, zone) in enumerate(TARGETS.items()):
        routing_state.register(
            make_registration(target, service="llm", zone=zone, port=9000 + number)
        )
    fleet = Fleet(local_record=make_record("own"), clock=clock, rng=random.Random(1))
    record = make_record("far", region="delta")
    announce(fleet, record, loads={"llm": ServiceLoad(wait, 0.0)})
    return Placement(
        region="gulf",
        routing_state=routing_state,
        fleet=fleet,
        book=OccupancyBook(clock=clock),
        bounds=BOUNDS,
        clock=clock,
    )


def choose(placement, key, *, shared=6000):
    parts = (PromptPart(key, shared), PromptPart("own", 2000))
    prompt = Prompt(tokens=shared + 2000, max_output_tokens=100, parts=parts)
    return placement.choose(
        make_request(ROUTE.prefix, prompt=prompt),
        ROUTE,
        SERVICE,
        RequestProgress(route=ROUTE, max_targets=1),
        first_byte_timeout_seconds=3.0,
    )


def keys_preferred_in(zone):
    keys = [f"part-{number}" for number in range(200)]
    return [
        key for key in keys if TARGETS[preferred_target(key, list(TARGETS))] == zone
    ]


def test_long_shared_prompts_go_to_the_target_that_caches_them():
    placement = make_placement()
    for key in keys_preferred_in("delta-a")[:20]:
        assert choose(placement, key).region == "delta"
    for key in keys_preferred_in("gulf-a")[:20]:
        choice = choose(placement, key)
        assert choice.candidate.target == preferred_target(key, list(TARGETS))
        assert choice.candidate.prefill_tokens == 2000


def test_prompt_stays_local_if_its_preferred_region_is_too_busy():
    placement = make_placement(wait=2.0)
    for key in keys_preferred_in("delta-a")[:20]:
        assert choose(placement, key).candidate.prefill_tokens == 8000


def test_short_prompts_stay_in_their_region():
    placement = make_placement()
    for key in keys_preferred_in("delta-a")[:20]:
        assert TARGETS[choose(placement, key, shared=200).candidate.target] == "gulf-a"


def occupy_all_targets(placement, *, except_target):
    book = placement._book
    for target in TARGETS:
        if target != except_target:
            book.begin(target, waiting_tokens=30_000, held_tokens=60_000)


def test_unreachable_target_is_left_out_of_the_regional_load():
    placement = make_placement()
    occupy_all_targets(placement, except_target="g-1")
    idle = placement.local_loads()["llm"]
    placement.health("g-1").record_connect_failure()
    placement._clock.now += 2.0
    assert not placement.health("g-1").ejected
    busy = placement.local_loads()["llm"]
    assert busy.wait_seconds > idle.wait_seconds + 0.5
    placement.health("g-1").record_answer(1.0)
    assert placement.local_loads()["llm"] == idle


def test_cold_target_is_left_out_of_the_regional_load():
    placement = make_placement()
    occupy_all_targets(placement, except_target="g-1")
    placement._routing_state.receive_cold_report("g-1", 3.0)
    assert placement.local_loads()["llm"].wait_seconds > 0.9


def test_region_whose_targets_are_all_doubtful_still_reports():
    placement = make_placement()
    for target in ("g-1", "g-2"):
        placement.health(target).record_connect_failure()
    placement._clock.now += 2.0
    assert "llm" in placement.local_loads()
