"""Membership: merges in generated orders with losses and repetitions, and probes."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentospool._generated.peers import Member, MemberState
from pimentospool.ids import EntryId, RegionId, ZoneId
from pimentospool.policy import ChangeKind, Membership, _membership, newer_member

STATES = list(MemberState)


def member(number=1, *, incarnation=1, state=MemberState.LIVE, life=1, port=80):
    return Member(
        id=EntryId(f"e{number}"),
        region=RegionId("r"),
        zone=ZoneId("z"),
        caller_address=f"10.0.0.{number}:{port}",
        peer_address=f"10.0.0.{number}:81",
        life=life,
        incarnation=incarnation,
        state=state,
    )


def make_membership(number=0, *, incarnation=1, life=1):
    own = member(number, incarnation=incarnation, life=life)
    return Membership(own=own, suspicion_timeout_seconds=3.0, rng=random.Random(1))


records = st.builds(
    member,
    st.integers(1, 3),
    incarnation=st.integers(1, 4),
    state=st.sampled_from(STATES),
    life=st.integers(1, 2),
    port=st.integers(80, 81),
)


def others(membership):
    return {m.id: m for m in membership.records() if m.id != membership.own.id}


def check_merge_is_order_independent(updates, order):
    """Assert that merging in another order, with repetitions, gives the same view."""
    first, second = make_membership(), make_membership()
    for record in updates:
        first.merge(record, now=0.0)
    for record in order:
        second.merge(record, now=0.0)
    assert others(first) == others(second)
    assert first.digest == second.digest


@given(
    st.lists(records, max_size=12).flatmap(
        lambda updates: st.tuples(
            st.just(updates), st.permutations(updates + updates[:4])
        )
    )
)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_merge_does_not_depend_on_order_or_repetition(case):
    check_merge_is_order_independent(*case)


def test_order_check_fails_when_the_last_record_wins(monkeypatch):
    monkeypatch.setattr(_membership, "newer_member", lambda a, b: b)
    updates = [member(incarnation=2), member(incarnation=1)]
    with pytest.raises(AssertionError):
        check_merge_is_order_independent(updates, updates[::-1])


@given(a=records, b=records, c=records)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_newer_member_is_commutative_associative_and_idempotent(a, b, c):
    b, c = (msgspec.structs.replace(item, id=a.id) for item in (b, c))
    assert newer_member(a, a) == a
    assert newer_member(a, b) == newer_member(b, a)
    left = newer_member(newer_member(a, b), c)
    assert left == newer_member(a, newer_member(b, c))


def check_records_never_regress(updates):
    """Assert that a member's incarnation and state never regress."""
    membership = make_membership()
    for record in updates:
        before = membership.record(record.id)
        membership.merge(record, now=0.0)
        after = membership.record(record.id)
        if before is not None:
            assert after.incarnation >= before.incarnation
            if after.incarnation == before.incarnation:
                assert STATES.index(after.state) >= STATES.index(before.state)


@given(st.lists(records, max_size=20))
@settings(max_examples=300, derandomize=True, deadline=None)
def test_records_never_regress(updates):
    check_records_never_regress(updates)


def test_regression_check_fails_when_state_precedence_is_reversed(monkeypatch):
    monkeypatch.setattr(
        _membership, "_STATE_PRECEDENCE", {state: -i for i, state in enumerate(STATES)}
    )
    with pytest.raises(AssertionError):
        check_records_never_regress([member(state=MemberState.GONE), member()])


@given(
    st.lists(records, max_size=20),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=30),
    st.randoms(use_true_random=False),
)
@settings(max_examples=150, derandomize=True, deadline=None)
def test_views_agree_after_lossy_exchanges_and_full_ones(updates, pairs, rng):
    views = [make_membership(10 + number) for number in range(3)]
    for record in updates:
        rng.choice(views).merge(record, now=0.0)
    for a, b in pairs:
        for record in views[a].gossip_updates(limit=2):
            if rng.random() < 0.5:
                views[b].merge(record, now=0.0)
    for _ in range(2):
        for a in views:
            for b in views:
                for record in a.records():
                    b.merge(record, now=0.0)
    assert len({membership.digest for membership in views}) == 1


def test_suspicion_of_this_process_is_refuted_with_a_higher_incarnation():
    membership = make_membership(1, incarnation=5)
    for state in (MemberState.SUSPECT, MemberState.GONE):
        update = member(1, incarnation=membership.own.incarnation, state=state)
        change = membership.merge(update, now=0.0)
        assert change.kind is ChangeKind.REFUTED
        assert newer_member(update, membership.own) == membership.own
    assert membership.merge(member(1, incarnation=1), now=0.0) is None


def test_update_of_an_earlier_generation_with_a_higher_incarnation_is_refuted():
    membership = make_membership(1, incarnation=5, life=5)
    update = member(1, incarnation=9, life=3, state=MemberState.GONE)
    membership.merge(update, now=0.0)
    assert membership.own.incarnation == 10
    assert membership.own.life == 5


def test_newer_process_with_the_same_id_is_reported_and_not_refuted():
    membership = make_membership(1, incarnation=5, life=5)
    change = membership.merge(member(1, incarnation=7, life=7), now=0.0)
    assert change.kind is ChangeKind.REPLACED
    assert membership.own.incarnation == 5


def test_suspect_is_gone_after_its_timeout_which_a_pause_restarts():
    membership = make_membership()
    membership.merge(member(), now=0.0)
    assert membership.suspect(member(), now=1.0).kind is ChangeKind.SUSPECTED
    membership.restart_timers(now=3.0)
    assert membership.expire(now=4.5) == []
    (change,) = membership.expire(now=6.0)
    assert change.kind is ChangeKind.GONE
    assert membership.live() == [membership.own]
    membership.expire(now=6.0 + _membership.TOMBSTONE_SECONDS)
    assert membership.record(EntryId("e1")) is None


def test_leaving_takes_precedence_over_suspicion_and_survives_refutation():
    membership = make_membership(1, incarnation=5)
    leaving = membership.leave(now=0.0)
    assert leaving.state is MemberState.LEAVING
    update = msgspec.structs.replace(leaving, state=MemberState.GONE)
    membership.merge(update, now=0.0)
    assert membership.own.state is MemberState.LEAVING
    other = make_membership()
    other.merge(leaving, now=0.0)
    other.merge(msgspec.structs.replace(leaving, state=MemberState.SUSPECT), now=0.0)
    assert other.record(leaving.id).state is MemberState.LEAVING


def test_every_member_is_probed_once_per_round():
    membership = make_membership()
    for number in range(1, 6):
        membership.merge(member(number), now=0.0)
    probed = [membership.next_probe().id for _ in range(10)]
    assert sorted(probed[:5]) == sorted(probed[5:])
    assert len(set(probed)) == 5


def test_gossip_updates_are_sent_a_bounded_number_of_times():
    membership = make_membership()
    membership.merge(member(), now=0.0)
    sent = [membership.gossip_updates(limit=8) for _ in range(50)]
    assert sum(map(len, sent)) < 20
    assert sent[-1] == []


def test_failed_probe_of_an_earlier_generation_suspects_nobody():
    membership = make_membership()
    membership.merge(member(), now=0.0)
    membership.merge(member(incarnation=2, life=2), now=0.5)
    assert membership.suspect(member(), now=1.0) is None
    assert membership.record(EntryId("e1")).state is MemberState.LIVE
