"""Where prompts go whose beginnings other requests share."""

import random

from gateway_factories import (
    Clock,
    make_configuration,
    make_record,
    make_registration,
    make_request,
    make_route,
    make_service,
)

from pimentospool.gateway import (
    Knowledge,
    Prompt,
    PromptPart,
    RequestKind,
    SharedBounds,
)
from pimentospool.gateway._fleet import Fleet, FleetMessage, ServiceLoad
from pimentospool.gateway._placement import Placing
from pimentospool.gateway._progress import Progress
from pimentospool.policy import OccupancyBook, preferred_target

ZONES = {"gulf-a": "gulf", "delta-a": "delta"}
BOUNDS = SharedBounds(
    repeat_ratio=0.2,
    repeat_reserve=56,
    repeat_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
ROUTE = make_route("/plan/", services=("llm",), kind=RequestKind.STREAM)
SERVICE = make_service("llm", engine=True)
TARGETS = {"g-1": "gulf-a", "g-2": "gulf-a", "d-1": "delta-a", "d-2": "delta-a"}


def make_placing(*, wait=0.0):
    clock = Clock()
    knowledge = Knowledge(clock=clock, zone_regions=ZONES)
    knowledge.adopt(make_configuration(ROUTE, services=[SERVICE]))
    for number, (target, zone) in enumerate(TARGETS.items()):
        knowledge.register(
            make_registration(target, service="llm", zone=zone, port=9000 + number)
        )
    fleet = Fleet(own=make_record("own"), clock=clock, rng=random.Random(1))
    record = make_record("far", region="delta", loads={"llm": ServiceLoad(wait, 0.0)})
    fleet.receive(FleetMessage(sender=record, relayed=[], occupancy={}))
    return Placing(
        region="gulf",
        knowledge=knowledge,
        fleet=fleet,
        book=OccupancyBook(clock=clock),
        bounds=BOUNDS,
        clock=clock,
    )


def choose(placing, key, *, shared=6000):
    parts = (PromptPart(key, shared), PromptPart("own", 2000))
    prompt = Prompt(tokens=shared + 2000, max_output_tokens=100, parts=parts)
    return placing.choose(
        make_request(ROUTE.prefix, prompt=prompt),
        ROUTE,
        SERVICE,
        Progress(route=ROUTE, max_targets=1),
        patience_seconds=3.0,
    )


def keys_kept_in(zone):
    keys = [f"part-{number}" for number in range(200)]
    return [
        key for key in keys if TARGETS[preferred_target(key, list(TARGETS))] == zone
    ]


def test_long_shared_prompts_go_to_the_one_target_that_keeps_them():
    placing = make_placing()
    for key in keys_kept_in("delta-a")[:20]:
        assert choose(placing, key).region == "delta"
    for key in keys_kept_in("gulf-a")[:20]:
        choice = choose(placing, key)
        assert choice.candidate.target == preferred_target(key, list(TARGETS))
        assert choice.candidate.unread_tokens == 2000


def test_prompt_is_read_here_where_its_region_is_too_busy():
    placing = make_placing(wait=2.0)
    for key in keys_kept_in("delta-a")[:20]:
        assert choose(placing, key).candidate.unread_tokens == 8000


def test_short_prompts_stay_in_their_region():
    placing = make_placing()
    for key in keys_kept_in("delta-a")[:20]:
        assert TARGETS[choose(placing, key, shared=200).candidate.target] == "gulf-a"


def busy_everywhere(placing, *, but):
    book = placing._book
    for target in TARGETS:
        if target != but:
            book.begin(target, waiting_tokens=30_000, held_tokens=60_000)


def test_unreachable_target_does_not_speak_for_its_region():
    placing = make_placing()
    busy_everywhere(placing, but="g-1")
    idle = placing.local_loads()["llm"]
    placing.health("g-1").unreachable()
    placing._clock.now += 2.0
    assert not placing.health("g-1").ejected
    busy = placing.local_loads()["llm"]
    assert busy.wait_seconds > idle.wait_seconds + 0.5
    placing.health("g-1").answered(1.0)
    assert placing.local_loads()["llm"] == idle


def test_cold_target_does_not_speak_for_its_region():
    placing = make_placing()
    busy_everywhere(placing, but="g-1")
    placing._knowledge.learn_cold("g-1", 3.0)
    assert placing.local_loads()["llm"].wait_seconds > 0.9


def test_region_whose_targets_are_all_doubtful_still_reports():
    placing = make_placing()
    for target in ("g-1", "g-2"):
        placing.health(target).unreachable()
    placing._clock.now += 2.0
    assert "llm" in placing.local_loads()
