"""What is known of a start of a target, while its entry lapses and returns."""

import math
import random

import pytest
from gateway_factories import (
    Clock,
    make_configuration,
    make_record,
    make_registration,
    make_service,
)

from pimentospool.gateway import RoutingState, SharedBounds
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._placement import Placement
from pimentospool.policy import (
    MAX_LAPSED_STARTS,
    DoubtNotice,
    LimitNotice,
    OccupancyBook,
    ProofNotice,
)

BOUNDS = SharedBounds(
    retry_ratio=0.2,
    retry_reserve=56,
    retry_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
START = make_registration(started_at=1)


class Region:
    """Placement and routing state of one entry VM."""

    def __init__(self, **service):
        self.clock = Clock()
        self.routing_state = RoutingState(
            clock=self.clock, zone_regions={"gulf-a": "gulf"}
        )
        self.routing_state.adopt(make_configuration(services=[make_service(**service)]))
        fleet = Fleet(
            local_record=make_record("own"), clock=self.clock, rng=random.Random(1)
        )
        self.placement = Placement(
            region="gulf",
            routing_state=self.routing_state,
            fleet=fleet,
            book=OccupancyBook(clock=self.clock),
            bounds=BOUNDS,
            clock=self.clock,
        )
        self.routing_state.register(START)

    def tell_all(self):
        """Record each restriction that an answer or a failure can name."""
        sent_at = self.clock()
        placement = self.placement
        placement.health("i-1").record_quiet(30.0)
        placement.health("i-1").record_connect_failure()
        placement.named_limits.record_answer("i-1", 1.5, sent_at=sent_at)
        placement.brittle_targets.record_answer(
            "i-1", 3.0, sent_at=sent_at, rejected=True
        )

    def restrictions(self):
        """Return which restrictions of the target hold."""
        placement = self.placement
        health = placement.health("i-1")
        held = {
            "quiet": health.quiet_seconds > 0,
            "ejected": health.ejected,
            "limit": not math.isinf(placement.named_limits.limit("i-1")),
            "brittle": not placement.brittle_targets.allows(
                "i-1", slots=8, in_progress=0, members=["own"]
            ),
        }
        return {name for name, holds in held.items() if holds}


ALL = {"quiet", "ejected", "limit", "brittle"}


@pytest.fixture
def region():
    return Region()


def lapse_by_removal(region):
    region.routing_state.deregister("i-1")


def lapse_by_expiry(region):
    region.routing_state.deregister("i-1", expired=True)
    region.clock.now += 2.3
    region.routing_state.usable_targets("desk", "gulf")


def test_restrictions_hold_after_the_entry_was_removed_and_returned(region):
    region.tell_all()
    lapse_by_removal(region)
    region.clock.now += 0.2
    region.routing_state.register(START)
    assert region.restrictions() == ALL


def test_quiet_time_and_limit_hold_after_the_entry_expired_and_returned(region):
    region.tell_all()
    lapse_by_expiry(region)
    region.routing_state.register(START)
    assert {"quiet", "limit"} <= region.restrictions()


def test_answer_that_comes_while_the_entry_has_lapsed_counts_on_its_return(region):
    lapse_by_removal(region)
    region.tell_all()
    region.routing_state.register(START)
    assert region.restrictions() == ALL


@pytest.mark.parametrize("lapses", [False, True])
def test_new_start_has_no_restrictions_of_the_earlier_one(region, lapses):
    region.tell_all()
    if lapses:
        lapse_by_removal(region)
    region.routing_state.register(make_registration(started_at=2))
    assert region.restrictions() == set()


def test_start_that_moves_to_another_address_keeps_its_restrictions(region):
    region.tell_all()
    region.routing_state.register(make_registration(started_at=1, port=9001))
    assert region.restrictions() == ALL


def test_other_address_without_a_start_time_is_another_start(region):
    lapse_by_removal(region)
    region.routing_state.register(make_registration())
    region.tell_all()
    region.routing_state.register(make_registration(port=9001))
    assert region.restrictions() == set()


def test_answer_of_an_earlier_start_does_not_count_for_the_new_one(region):
    placement = region.placement
    assert placement.counts(START)
    lapse_by_removal(region)
    assert placement.counts(START)
    region.routing_state.register(make_registration(started_at=2))
    assert not placement.counts(START)


@pytest.mark.parametrize("replaced", [False, True])
def test_slow_answer_of_an_earlier_start_does_not_count_for_the_new_one(
    region, replaced
):
    placement, routing_state = region.placement, region.routing_state
    candidate = placement._make_candidate(
        routing_state.target("i-1"), make_service(), prefill_tokens=0, tokens=0
    )
    if replaced:
        routing_state.register(make_registration(started_at=2))
    for ratio in (1.2, 0.8):
        placement.pace(make_service().id).record(ratio)
    for _ in range(9):
        placement.record_first_byte(START, candidate, 30.0)
    assert (placement.health("i-1").latency_ratio == 1.0) is replaced


# What a new start said before its entry arrived was dropped with that.
def test_quiet_time_that_a_doubted_target_names_holds_when_it_registers(region):
    service = make_service(cold_seconds=3.0)
    region.routing_state.adopt(make_configuration(version=2, services=[service]))
    region.placement.record_loss("i-1")
    region.placement.record_reached("i-1")
    region.placement.start_health(START).record_quiet(30.0)
    region.routing_state.register(make_registration(started_at=2, cold_seconds=3.0))
    assert region.restrictions() == {"quiet"}


def test_reports_of_others_on_an_earlier_start_do_not_count_for_the_new_one(region):
    placement, clock = region.placement, region.clock
    region.routing_state.register(make_registration(started_at=2))
    clock.now += 0.5
    placement.named_limits.receive("i-1", LimitNotice(1.5, 0.7))
    placement.brittle_targets.receive("i-1", 0.7)
    assert region.restrictions() == set()
    assert placement.brittle_targets.allows(
        "i-1", slots=8, in_progress=7, members=["own"]
    )
    placement.named_limits.receive("i-1", LimitNotice(1.5, 0.3))
    placement.brittle_targets.receive("i-1", 0.3)
    assert region.restrictions() == {"limit"}
    assert not placement.brittle_targets.allows(
        "i-1", slots=8, in_progress=7, members=["own"]
    )


def test_reports_of_others_count_for_a_start_whose_entry_returned(region):
    lapse_by_removal(region)
    region.routing_state.register(START)
    region.placement.named_limits.receive("i-1", LimitNotice(1.5, 3.0))
    assert region.restrictions() == {"limit"}


def test_targets_that_never_return_are_forgotten_in_time_and_number(region):
    routing_state, placement = region.routing_state, region.placement
    for number in range(2 * MAX_LAPSED_STARTS):
        target = f"x-{number}"
        routing_state.register(make_registration(target, started_at=1))
        placement.health(target).record_quiet(5.0)
        placement.named_limits.record_answer(target, 1.0, sent_at=region.clock())
        doubted = {target: DoubtNotice(1, 1)}, {target: ProofNotice(1, {2: 1})}
        placement.doubted_starts.receive(2, *doubted)
        routing_state.deregister(target)
        placement.doubted_starts.receive(2, {}, {f"y-{number}": ProofNotice(1, {2: 1})})
    doubted_starts = placement.doubted_starts
    assert len(doubted_starts._known_starts) <= MAX_LAPSED_STARTS + 1
    assert len(doubted_starts._settled) <= MAX_LAPSED_STARTS + 1
    assert len(placement._health) <= MAX_LAPSED_STARTS + 1
    assert len(placement.named_limits._notices) <= MAX_LAPSED_STARTS + 1
    region.clock.now += 1e4
    routing_state.deregister("i-1")
    for number in range(2 * MAX_LAPSED_STARTS):
        placement.health(f"x-{number}").record_quiet(5.0)
    assert len(placement._health) <= 1


@pytest.mark.parametrize("doubted", [False, True])
def test_new_start_after_a_doubt_counts_as_cold_though_its_entry_says_nothing(doubted):
    region = Region(cold_seconds=3.0)
    checked = []
    region.routing_state.cold_assumed.connect(checked.append)
    if doubted:
        region.placement.record_loss("i-1")
    region.routing_state.register(make_registration(started_at=2))
    state = region.routing_state.target("i-1")
    assert region.placement.is_cold(state) is doubted
    assert checked == ["i-1"] * doubted
    region.routing_state.receive_cold_report("i-1", 0.0)
    assert not region.placement.is_cold(state)
