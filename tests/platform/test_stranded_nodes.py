"""Nodes that are cut off from all targets, on other terms and beside other events."""

import statistics
import time

import pytest
from cut_site import with_cut_site

NOTICE_SECONDS = 5.0
"""The platform's bound on the time until a cut has to be noticed."""
MEASURED_SECONDS = 2.5
LEAST_RATIO = 2 / 3
"""The platform's rule: from `NOTICE_SECONDS` after a cut began, callers of nodes that
are cut off are served at least so often as those of the others, at the first try."""
INTERVAL_SECONDS = 0.1
PATHS = ("/look/", "/book/")
STREAMS = (("/look/", "GET"), ("/plan/", "POST"))
TURN_AWAYS = 2
LIMIT = 2.0
LIMIT_WINDOW_SECONDS = 4.0


async def measure(site, *, cut, least_share=0.98, **options):
    since = time.monotonic()
    await site.load(MEASURED_SECONDS, **options)
    await site.finish()
    nodes = [n for n, node in enumerate(site.site.nodes) if not node.task.done()]
    shares = {node: site.share(node, since=since) for node in nodes}
    served = statistics.mean(shares[node] for node in cut)
    others = statistics.mean(shares[node] for node in nodes if node not in cut)
    assert others >= least_share
    assert served >= LEAST_RATIO * others


def most_within(times, seconds):
    return max((sum(at <= t < at + seconds for t in times) for at in times), default=0)


@pytest.mark.parametrize("kind", ["new ones hang", "accepted and reset"])
def test_callers_are_served_if_a_single_node_reaches_targets(runner, tmp_path, kind):
    async def check(site):
        await site.load(1.0, interval_seconds=INTERVAL_SECONDS)
        await site.cut(kind)
        await site.load(NOTICE_SECONDS, interval_seconds=INTERVAL_SECONDS)
        await measure(site, cut=range(4), interval_seconds=INTERVAL_SECONDS)

    runner.run(with_cut_site(tmp_path, check, nodes=5, cut=4))


@pytest.mark.parametrize("kind", ["hang", "accepted and reset"])
def test_callers_are_served_at_nodes_cut_off_as_they_start(runner, tmp_path, kind):
    async def check(site):
        await site.load(NOTICE_SECONDS)
        await measure(site, cut=[1, 2])

    runner.run(with_cut_site(tmp_path, check, nodes=3, cut=2, kind=kind))


@pytest.mark.parametrize("kind", ["hang", "new ones hang"])
def test_streams_are_served_at_nodes_cut_off(runner, tmp_path, kind):
    async def check(site):
        await site.load(1.0, calls=STREAMS)
        await site.cut(kind)
        await site.load(NOTICE_SECONDS, calls=STREAMS)
        await measure(site, cut=range(2), calls=STREAMS)

    runner.run(with_cut_site(tmp_path, check, nodes=3, cut=2, streams=3))


@pytest.mark.parametrize("kind", ["hang", "accepted and reset"])
def test_callers_are_served_if_a_cut_comes_again_within_a_second(
    runner, tmp_path, kind
):
    async def check(site):
        await site.load(1.0)
        for _ in range(2):
            await site.cut(kind)
            await site.load(2.5)
            await site.heal()
            await site.load(0.7)
        await site.cut(kind)
        await site.load(NOTICE_SECONDS)
        await measure(site, cut=range(2))

    runner.run(with_cut_site(tmp_path, check, nodes=3, cut=2))


@pytest.mark.parametrize("beside", ["store away", "node leaves", "one target"])
def test_callers_are_served_at_nodes_cut_off_beside(runner, tmp_path, beside):
    async def check(site):
        await site.load(1.0)
        await site.cut("hang")
        for store in (site.site.store, site.view.store):
            store.silent = beside == "store away"
        await site.load(NOTICE_SECONDS - 0.5)
        if beside == "node leaves":
            site.site.nodes[3].terminate()
        await site.load(0.5)
        await measure(site, cut=range(2))

    targets = 1 if beside == "one target" else 3
    runner.run(with_cut_site(tmp_path, check, nodes=4, cut=2, targets=targets))


@pytest.mark.parametrize("kind", ["reset", "new ones hang"])
def test_brittle_targets_turn_away_no_more_than_they_stand_beside_a_cut(
    runner, tmp_path, kind
):
    async def check(site):
        targets = site.site.targets.values()
        await site.load(1.0)
        for target in targets:
            target.gap_seconds, target.room = 0.05, 8
            target.answer_headers = {"Server-Brittle": str(TURN_AWAYS)}
        told_at = time.monotonic()
        await site.load(2.0)
        await site.cut(kind)
        await site.load(NOTICE_SECONDS)
        await measure(site, cut=range(3), least_share=0.0)
        await site.heal()
        await site.load(MEASURED_SECONDS)
        await site.finish()
        for target in targets:
            times = [
                req.received_at
                for req in target.received
                if not req.executed and req.path in PATHS
            ]
            counted = [at for at in times if at > told_at + NOTICE_SECONDS]
            assert most_within(counted, 1.0) <= TURN_AWAYS

    runner.run(with_cut_site(tmp_path, check, nodes=4, cut=3))


def test_named_limits_are_kept_beside_a_cut(runner, tmp_path):
    async def check(site):
        await site.load(1.0)
        for target in site.site.targets.values():
            target.answer_headers = {"Server-Limit": str(LIMIT)}
        told_at = time.monotonic()
        await site.load(2.0)
        await site.cut("new ones hang")
        await site.load(NOTICE_SECONDS)
        await site.heal()
        await site.load(MEASURED_SECONDS)
        await site.finish()
        for times in site.arrivals(told_at + NOTICE_SECONDS):
            most = most_within(times, LIMIT_WINDOW_SECONDS)
            assert most <= 1.5 * LIMIT * LIMIT_WINDOW_SECONDS + 5

    runner.run(with_cut_site(tmp_path, check, nodes=4, cut=3))
