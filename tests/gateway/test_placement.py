"""Placement of prompts with shared prefixes, and the load that a region reports."""

import random
from collections import deque

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
from pimentospool.policy import (
    DoubtNotice,
    EntryState,
    NoChoice,
    Occupancy,
    OccupancyBook,
    RegionChoice,
    TargetChoice,
    preferred_target,
)
from pimentospool.policy._target_contact import (
    CONFIRMATION_SECONDS,
    REFUSAL_SECONDS,
    service_key,
)

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


def make_placement(*, wait=0.0, utilisation=0.0, own="own"):
    clock = Clock()
    routing_state = RoutingState(clock=clock, zone_regions=ZONES)
    routing_state.adopt(make_configuration(ROUTE, services=[SERVICE]))
    for number, (target, zone) in enumerate(TARGETS.items()):
        routing_state.register(
            make_registration(target, service="llm", zone=zone, port=9000 + number)
        )
    fleet = Fleet(local_record=make_record(own), clock=clock, rng=random.Random(1))
    record = make_record("far", region="delta")
    announce(fleet, record, loads={"llm": ServiceLoad(wait, utilisation)})
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


# Hops to entry VMs of the same region, which reach targets that this one doesn't.

HOME_ROUTE = make_route("/home/", services=("llm",), home_regions=frozenset({"gulf"}))


def make_cut_off_placement(*, neighbour_reports=None):
    """Return a placement that reaches no target, and the record of its neighbour."""
    placement = make_placement()
    record = make_record("near")
    announce(placement._fleet, record)
    for target in ("g-1", "g-2"):
        placement.contact.own.record_failure(target, "llm")
    placement._clock.now += CONFIRMATION_SECONDS
    for target in ("g-1", "g-2"):
        placement.health(target).record_connect_failure()
    placement.contact.receive(record.key, neighbour_reports or {})
    return placement, record


def choose_for(placement, route, *, progress=None, **fields):
    return placement.choose(
        make_request(route.prefix, **fields),
        route,
        SERVICE,
        progress or RequestProgress(route=route, max_targets=2),
        first_byte_timeout_seconds=2.0,
    )


def test_request_bound_to_its_region_goes_by_a_neighbour_that_reaches_targets():
    reached = {service_key("llm"): True}
    placement, record = make_cut_off_placement(neighbour_reports=reached)
    choice = choose_for(placement, HOME_ROUTE)
    assert choice.region == "gulf"
    assert placement.hop_receivers("gulf", "llm") == [record]
    assert placement.local_loads() == {}


def test_request_of_another_home_does_not_go_by_a_neighbour():
    reached = {service_key("llm"): True}
    placement, _ = make_cut_off_placement(neighbour_reports=reached)
    elsewhere = make_route(
        "/far/", services=("llm",), home_regions=frozenset({"delta"})
    )
    assert choose_for(placement, elsewhere).region == "delta"


def test_hop_is_never_sent_on_to_a_neighbour():
    reached = {service_key("llm"): True}
    placement, _ = make_cut_off_placement(neighbour_reports=reached)
    assert isinstance(choose_for(placement, HOME_ROUTE, is_hop=True), NoChoice)


def test_neighbour_that_refused_for_lack_of_contact_is_left_out_for_a_while():
    reached = {service_key("llm"): True}
    placement, record = make_cut_off_placement(neighbour_reports=reached)
    placement.contact.record_refusal(record, "llm")
    assert isinstance(choose_for(placement, HOME_ROUTE), NoChoice)
    placement._clock.now += REFUSAL_SECONDS
    assert choose_for(placement, HOME_ROUTE).region == "gulf"


def test_hops_to_another_region_go_to_entry_vms_that_reach_targets():
    placement = make_placement()
    [cut_off] = placement.hop_receivers("delta", "llm")
    placement.contact.record_refusal(cut_off, "llm")
    assert placement.hop_receivers("delta", "llm") == [cut_off]
    other = make_record("far-2", region="delta")
    announce(placement._fleet, other)
    assert placement.hop_receivers("delta", "llm") == [other]
    assert len(placement.hop_receivers("delta", "desk")) == 2


def test_entry_vm_without_contact_says_so_as_it_refuses():
    placement, _ = make_cut_off_placement()
    progress = RequestProgress(route=HOME_ROUTE, max_targets=2)
    assert not placement.in_contact("llm", progress)
    placement = make_placement()
    assert placement.in_contact("llm", progress)
    progress.unreachable_targets |= {"g-1", "g-2"}
    assert not placement.in_contact("llm", progress)


def test_request_goes_by_no_neighbour_once_its_region_is_excluded():
    reached = {service_key("llm"): True}
    placement, _ = make_cut_off_placement(neighbour_reports=reached)
    progress = RequestProgress(route=HOME_ROUTE, max_targets=2)
    progress.excluded_regions.add("gulf")
    assert isinstance(choose_for(placement, HOME_ROUTE, progress=progress), NoChoice)


def test_neighbour_that_reaches_no_target_either_gets_no_hops():
    placement, _ = make_cut_off_placement(neighbour_reports={service_key("llm"): False})
    assert isinstance(choose_for(placement, HOME_ROUTE), NoChoice)


def test_neighbour_whose_contact_is_not_known_is_asked_only_if_no_region_serves():
    placement, _ = make_cut_off_placement()
    assert choose_for(placement, HOME_ROUTE).region == "gulf"
    anywhere = make_route("/any/", services=("llm",))
    assert choose_for(placement, anywhere).region == "delta"


def test_one_unreachable_target_leads_to_no_hop():
    placement = make_placement()
    record = make_record("near")
    announce(placement._fleet, record)
    placement.contact.receive(record.key, {service_key("llm"): True})
    placement.contact.own.record_failure("g-1", "llm")
    placement._clock.now += CONFIRMATION_SECONDS
    placement.health("g-1").record_connect_failure()
    assert choose_for(placement, HOME_ROUTE).candidate.target == "g-2"


# An entry VM whose connections a cut had reset refused what a neighbour could serve.
@pytest.mark.parametrize("own", [True, False])
def test_request_goes_by_a_neighbour_if_this_entry_vm_doubts_all_targets(own):
    placement = make_placement()
    service = make_service("llm", engine=True, cold_seconds=3.0)
    config = make_configuration(ROUTE, version=2, services=[service])
    placement._routing_state.adopt(config)
    record = make_record("near")
    announce(placement._fleet, record)
    placement.contact.receive(record.key, {service_key("llm"): True})
    if own:
        for target in ("g-1", "g-2"):
            placement.record_loss(target)
    else:
        doubts = dict.fromkeys(("g-1", "g-2"), DoubtNotice(0, 1))
        placement.doubted_starts.receive(record.key, doubts, {})
    choice = choose_for(placement, HOME_ROUTE)
    assert isinstance(choice, RegionChoice if own else NoChoice)


def test_answers_on_old_connections_leave_no_request_without_a_way():
    reached = {service_key("llm"): True}
    placement, _ = make_cut_off_placement(neighbour_reports=reached)
    for target in ("g-1", "g-2"):
        placement.health(target).record_answer(1.0)
        assert placement.health(target).ejected
    placement.contact.own.record_opened(placement._clock.now)
    assert not placement.contact.lost
    assert choose_for(placement, HOME_ROUTE).region == "gulf"


def test_answers_on_old_connections_are_not_reported_while_new_ones_fail():
    placement = make_placement()
    own = placement.contact.own
    own.record_answer("llm", opened_at=0.0)
    assert placement.contact.report() == {service_key("llm"): True}
    for target in ("g-1", "g-2"):
        own.record_failure(target, "llm")
    own.record_answer("llm", opened_at=0.0)
    assert placement.contact.report() == {service_key("llm"): False}


def test_slow_service_is_served_by_all_its_slots_from_the_first_requests_on():
    """Requests take 1.0 s at each target, which only their answers tell."""
    clock, route = Clock(), make_route(home_regions=frozenset({"gulf"}))
    service = make_service()
    routing_state = RoutingState(clock=clock, zone_regions=ZONES)
    routing_state.adopt(make_configuration(route, services=[service]))
    for number in range(4):
        routing_state.register(
            make_registration(f"g-{number}", slots=7, port=9000 + number)
        )
    placement = Placement(
        region="gulf",
        routing_state=routing_state,
        fleet=Fleet(local_record=make_record("own"), clock=clock, rng=random.Random(1)),
        book=OccupancyBook(clock=clock),
        bounds=BOUNDS,
        clock=clock,
    )
    running, most_used = deque(), 0
    for _ in range(200):
        clock.now += 1 / 15
        while running and running[0][0] <= clock.now:
            _, candidate, assignment = running.popleft()
            assignment.end()
            start = routing_state.target(candidate.target).registration
            placement.record_first_byte(start, candidate, 1.0)
        choice = placement.choose(
            make_request(),
            route,
            service,
            RequestProgress(route=route, max_targets=2),
            first_byte_timeout_seconds=2.0,
        )
        assert isinstance(choice, TargetChoice), choice
        most_used = max(most_used, choice.candidate.occupancy.running + 1)
        assignment = placement.begin_assignment(make_request(), choice.candidate)
        running.append((clock.now + 1.0, choice.candidate, assignment))
    assert most_used <= 7


@pytest.mark.parametrize("bound_route", [False, True])
@pytest.mark.parametrize("running", [2, 5])
def test_requests_that_may_travel_leave_room_for_those_that_may_not(
    running, bound_route
):
    """Against engines full of work that another region could have done."""
    placement = make_placement()
    bound = make_route(
        "/bound/",
        services=("llm",),
        kind=RequestKind.STREAM,
        home_regions=frozenset({"gulf"}),
    )
    routes = (ROUTE, bound) if bound_route else (ROUTE,)
    placement._routing_state.adopt(
        make_configuration(*routes, version=2, services=[SERVICE])
    )
    for target in ("g-1", "g-2"):
        for _ in range(running):
            placement._book.begin(target)
    for route in routes:
        choice = placement.choose(
            make_request(route.prefix, prompt=Prompt(tokens=10, max_output_tokens=9)),
            route,
            SERVICE,
            RequestProgress(route=route, max_targets=1),
            first_byte_timeout_seconds=3.0,
        )
        leaves = running == 5 and bound_route and route is ROUTE
        assert isinstance(choice, RegionChoice) is leaves


def choose_small(placement):
    req = make_request(ROUTE.prefix, prompt=Prompt(tokens=10, max_output_tokens=9))
    progress = RequestProgress(route=ROUTE, max_targets=1)
    return placement.choose(
        req, ROUTE, SERVICE, progress, first_byte_timeout_seconds=3.0
    )


def recover(placement, *targets):
    for target in targets:
        placement.health(target).record_connect_failure()
    placement._clock.now += 1.0


def test_recovered_target_gets_few_requests_until_it_answers_in_time():
    """Against a target that is flooded as it returns idle."""
    placement = make_placement()
    recover(placement, "g-1")
    targets = []
    for _ in range(8):
        choice = choose_small(placement)
        targets.append(choice.candidate.target)
        placement.begin_assignment(make_request(), choice.candidate)
    assert targets.count("g-1") == 4
    registration = placement._routing_state.target("g-1").registration
    candidate = choice.candidate
    for _ in range(4):
        placement.record_first_byte(registration, candidate, 0.01)
    assert choose_small(placement).candidate.target == "g-1"


def test_recovered_targets_are_used_if_there_is_no_other():
    """Against refusals as all targets of a service have recovered."""
    placement = make_placement()
    placement._fleet._region_loads._reports.clear()
    recover(placement, "g-1", "g-2")
    for _ in range(5):
        for target in ("g-1", "g-2"):
            placement._book.begin(target)
    assert isinstance(choose_small(placement), TargetChoice)


def test_doubt_that_is_settled_leaves_no_limit():
    """Against sound targets that end connections and lose their share."""
    placement = make_placement()
    spec = make_service("llm", engine=True, cold_seconds=3.0)
    placement._routing_state.adopt(
        make_configuration(ROUTE, version=2, services=[spec])
    )
    placement.record_loss("g-1")
    choose_small(placement)
    assert not placement._warm_ups


def cold_senders(names, *, silent):
    """Return the entry VMs that send to a cold target as they don't hear `silent`."""
    spec = make_service("llm", engine=True, cold_seconds=9.0)
    senders = set()
    for own in names:
        placement = make_placement(own=own)
        placement._routing_state.adopt(
            make_configuration(ROUTE, version=2, services=[spec])
        )
        for target in ("g-1", "g-2"):
            placement._routing_state.receive_cold_report(target, 60.0)
        others = [name for name in names if name != own]
        for name in others:
            announce(placement._fleet, make_record(name))
            if name in silent:
                state = EntryState.CLOSED
                announce(placement._fleet, make_record(name), state=state, heartbeat=2)
        live = {record.id for record in placement._fleet.live(region="gulf")}
        assert live == set(others) - set(silent)
        placement._clock.now += 2.5
        choice = choose_for(placement, HOME_ROUTE)
        if isinstance(choice, TargetChoice) and choice.candidate.target == "g-1":
            senders.add(own)
    return senders


def test_entry_vms_that_are_not_heard_keep_their_places_at_cold_targets():
    """Against more senders than half of a cold target's limit in differing views.

    Entry VMs that are cut off, frozen, or of an earlier build send in their own places.
    A link that stalls for half a second doubles what each of them sends in a second.
    """
    names = [f"e-{number}" for number in range(12)]
    in_contact = cold_senders(names, silent=())
    assert in_contact
    assert cold_senders(names, silent=in_contact) <= in_contact


def test_connection_error_at_a_target_that_others_use_begins_no_warm_up():
    """Against sound targets that lose their share by one connection that failed."""
    placement = make_placement()
    recover(placement, "g-1")
    load = {target: Occupancy(20) for target in ("g-1", "g-2")}
    placement._book.receive_report("e-2", load)
    choose_small(placement)
    assert not placement._warm_ups


def test_target_at_its_limit_is_used_if_the_other_region_is_too_slow():
    """Against refusals while a recovered target could serve the request."""
    placement = make_placement(wait=30.0, utilisation=1.0)
    recover(placement, "g-1", "g-2")
    for _ in range(5):
        for target in ("g-1", "g-2"):
            placement._book.begin(target)
    assert isinstance(choose_small(placement), TargetChoice)
