"""Ranking of entry VMs for callers, ranking of zone members, and drill windows."""

from collections import Counter

from pimentospool._generated.manifest import DrillKind, DrillWindow
from pimentospool._generated.peers import Member
from pimentospool.ids import EntryId, RegionId, ZoneId
from pimentospool.policy import DrillSchedule, rank_entries, rank_members

DELAYS = {"south": 55.0, "west": 20.0}


def members(*zones):
    return [
        Member(
            id=EntryId(f"{zone}-{number}"),
            region=RegionId(region),
            zone=ZoneId(zone),
            caller_address=f"10.0.0.{number}:80",
            peer_address=f"10.0.0.{number}:81",
            life=1,
            incarnation=1,
        )
        for region, zone, count in zones
        for number in range(count)
    ]


def rank(entries, *, caller="c", zone="north-a", lost=frozenset()):
    return rank_entries(
        entries,
        zone=ZoneId(zone),
        region=RegionId("north"),
        caller=caller,
        lost_regions=lost,
        delay_ms=DELAYS.__getitem__,
        limit=16,
    )


ENTRIES = members(
    ("south", "south-a", 2),
    ("north", "north-b", 2),
    ("west", "west-a", 1),
    ("north", "north-a", 3),
)


def test_callers_zone_ranks_first_then_its_region_then_others_by_delay():
    ranked = rank(ENTRIES)
    zones = [choice.zone for choice in ranked]
    assert zones == ["north-a"] * 3 + ["north-b"] * 2 + ["west-a"] + ["south-a"] * 2
    assert [choice.weight for choice in ranked] == [1.0] * 3 + [0.0] * 5


def test_nearest_zone_with_an_entry_vm_gets_all_the_weight():
    ranked = rank([item for item in ENTRIES if item.region != "north"])
    assert ranked[0].zone == "west-a"
    assert [choice.weight for choice in ranked] == [1.0, 0.0, 0.0]


def test_lost_region_is_left_out():
    ranked = rank(ENTRIES, lost=frozenset({RegionId("north")}))
    assert {choice.region for choice in ranked} == {"west", "south"}


def test_callers_spread_evenly_and_each_gets_a_stable_order():
    nearest = Counter(rank(ENTRIES, caller=f"c{n}")[0].id for n in range(3000))
    assert all(800 < count < 1200 for count in nearest.values())
    assert rank(ENTRIES, caller="x") == rank(ENTRIES, caller="x")


def test_member_ranking_ignores_input_order_and_is_stable_when_one_leaves():
    ids = [EntryId(f"e{number}") for number in range(20)]
    ranked = rank_members(ids, purpose="reader")
    assert rank_members(ids[::-1], purpose="reader") == ranked
    assert rank_members(ids, purpose="gateway") != ranked
    without = [entry for entry in ids if entry != ranked[0]]
    assert rank_members(without, purpose="reader") == ranked[1:]


def window(kind, *regions, start=100.0, end=200.0):
    return DrillWindow(kind=kind, regions=list(regions), start=start, end=end)


def test_drill_windows_are_active_only_between_their_times():
    schedule = DrillSchedule(
        region=RegionId("north"),
        windows=[
            window(DrillKind.REGION, "south"),
            window(DrillKind.LINK, "north", "west", start=150.0),
            window(DrillKind.LINK, "south", "east"),
            window(DrillKind.CONFIGURATION, start=180.0, end=190.0),
        ],
    )
    assert schedule.lost_regions(time=99.9) == set()
    assert schedule.lost_regions(time=100.0) == {"south"}
    assert schedule.lost_regions(time=150.0) == {"south", "west"}
    assert schedule.lost_regions(time=200.0) == set()
    times = (179.0, 185.0, 190.0)
    lost = [schedule.platform_lost(time=time) for time in times]
    assert lost == [False, True, False]
