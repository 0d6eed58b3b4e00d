"""Streams of targets of several software versions, through real sockets."""

import asyncio
import itertools

import aiohttp
import pytest
from platform_site import running_site

from pimentospool.gateway import SourceError
from pimentospool.policy import EntryState
from pimentospool.policy._shared_limits import STARTUP_DELAY_SECONDS
from pimentospool.standins import Fault, SigningTarget

EVENTS = 6
REGIONS = ("gulf-a", "delta-a")
_numbers = itertools.count()


async def add_engine(site, name, version, zone="gulf-a"):
    target = await site.add_target(
        name, service="llm", events=EVENTS, zone=zone, Version=version
    )
    target.gap_seconds = 0.02
    return target


async def wait_until_ready(site):
    await site.wait_until(
        lambda: all(
            node.gateway.state is EntryState.READY
            and len(node.gateway.routing_state.known_targets()) == len(site.targets)
            and len(node.gateway.fleet.ready()) == len(site.nodes)
            for node in site.nodes
        )
    )


async def begin(site, *, node=0):
    """Begin a stream and break it off after some events; return its request id."""
    request_id = f"s-{next(_numbers)}"
    options = {"request_id": request_id, "method": "POST", "data": b"p", "node": node}
    call = asyncio.create_task(site.call("/ask/", **options))
    holder = None
    while holder is None:
        await asyncio.sleep(0.01)
        holder = next(
            (
                target
                for target in site.targets.values()
                for req in target.received
                if req.id == request_id
            ),
            None,
        )
    await asyncio.sleep(0.08)
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    return request_id, holder


async def take_up(site, origin, *, node=0):
    """Take a stream up; return the status and the target that went on, if any."""
    request_id = f"t-{next(_numbers)}"
    headers = {"Resumes": origin, "Last-Event-Id": "2"}
    status, _, body = await site.call(
        "/ask/",
        request_id=request_id,
        method="POST",
        data=b"p",
        node=node,
        headers=headers,
    )
    if status == 200:
        assert body.startswith(b"id: 3\n")
    for target in site.targets.values():
        if any(req.id == request_id for req in target.received):
            return status, target
    return status, None


async def replace_nodes(site):
    """End all nodes at once, and start as many others."""
    ended = list(site.nodes)
    for node in ended:
        await node.stop()
    for node in ended:
        await site.add_node(node.cfg.zone, first_start=False)
    del site.nodes[: len(ended)]


def run_with_site(runner, tmp_path, check, zones=("gulf-a", "gulf-a")):
    async def run():
        async with running_site(tmp_path, zones=zones) as site:
            await check(site)

    runner.run(run())


@pytest.mark.parametrize("zones", [("gulf-a", "gulf-a"), REGIONS])
def test_stream_that_breaks_off_is_not_continued_by_another_version(
    runner, tmp_path, zones
):
    async def check(site):
        for version in ("v1", "v2"):
            await add_engine(site, f"m-{version}", version, zones[-1])
        await wait_until_ready(site)
        loads = site.nodes[0].gateway.fleet.loads
        await site.wait_until(lambda: zones[-1] == "gulf-a" or loads("llm"))
        for target in site.targets.values():
            target.faults = [Fault.CUT_STREAM] * 10
        with pytest.raises(aiohttp.ClientError):
            await site.call("/ask/", request_id="b-1", method="POST", data=b"p")
        assert sum(bool(target.received) for target in site.targets.values()) == 1

    run_with_site(runner, tmp_path, check, zones=zones)


async def set_state(site, version, state):
    """Let all targets of a version register with a state, and wait for it."""
    for target in site.targets.values():
        if target.instance.endswith(version):
            options = {"service": "llm", "Version": version, "State": state}
            zone = target.instance.removesuffix(f"-{version}")
            await site.register(target, zone=zone, **options)
    await asyncio.sleep(1.0)


@pytest.mark.parametrize("zones", [("gulf-a", "gulf-a"), REGIONS])
def test_stream_is_taken_up_at_its_version_at_any_entry_vm(runner, tmp_path, zones):
    async def check(site):
        for zone in sorted(set(zones)):
            for version in ("v1", "v2"):
                await add_engine(site, f"{zone}-{version}", version, zone)
        await wait_until_ready(site)
        for version, other in (("v1", "v2"), ("v2", "v1")):
            await set_state(site, other, "draining")
            origins = [(await begin(site, node=number % 2))[0] for number in range(4)]
            await set_state(site, other, "ready")
            await set_state(site, version, "ready")
            for number, origin in enumerate(origins):
                for node in (number % 2, 1 - number % 2):
                    status, target = await take_up(site, origin, node=node)
                    assert status == 200
                    assert target.instance.endswith(version)

    run_with_site(runner, tmp_path, check, zones=zones)


def test_stream_of_a_version_that_left_is_refused(runner, tmp_path):
    async def check(site):
        await add_engine(site, "m-1", "v1")
        await wait_until_ready(site)
        origin, _ = await begin(site)
        second = await add_engine(site, "m-2", "v2")
        await site.store.delete("servers/m-1")
        states = [node.gateway.routing_state for node in site.nodes]
        await site.wait_until(
            lambda: all(state.known_targets() == ["m-2"] for state in states)
        )
        await asyncio.sleep(1.0)
        for node in range(2):
            assert await take_up(site, origin, node=node) == (503, None)
        assert not second.received

    run_with_site(runner, tmp_path, check)


def test_stream_is_refused_if_all_that_knew_its_version_restarted(runner, tmp_path):
    async def check(site):
        await add_engine(site, "m-1", "v1")
        await wait_until_ready(site)
        origin, _ = await begin(site)
        await site.store.delete("servers/m-1")
        second = await add_engine(site, "m-2", "v2")
        del site.targets["m-1"]
        await replace_nodes(site)
        await wait_until_ready(site)
        assert await take_up(site, origin) == (503, None)
        assert not second.received

    run_with_site(runner, tmp_path, check)


async def refuse(*args, **options):
    raise SourceError("cut off")


async def hang(*args, **options):
    await asyncio.sleep(4.0)
    raise SourceError("slow")


async def no_response(*args):
    return None


def cut_off(monkeypatch, node, *, store, peers):
    """Cut a node from the store, by `store`, and from the other nodes."""
    gateway = node.gateway
    sources = [gateway.feed._source, getattr(gateway, "origin_source", None)]
    for source in filter(None, sources):
        monkeypatch.setattr(source, "watch", store)
    if peers:
        monkeypatch.setattr(gateway.heartbeats, "datagram_received", lambda *_: None)
        monkeypatch.setattr(gateway.heartbeats, "_send", lambda *_: 0)
        monkeypatch.setattr(gateway._view_exchange, "_fetch", no_response)


@pytest.mark.parametrize("zones", [("gulf-a", "gulf-a"), REGIONS])
@pytest.mark.parametrize("store", [refuse, hang])
@pytest.mark.parametrize("peers", [True, False])
def test_entry_vm_out_of_step_does_not_join_versions(
    runner, tmp_path, monkeypatch, zones, store, peers
):
    async def check(site):
        old = await add_engine(site, "gulf-a-v1", "v1")
        await wait_until_ready(site)
        out_of_step = site.nodes[1].gateway
        cut_off(monkeypatch, site.nodes[1], store=store, peers=peers)
        await asyncio.sleep(2.6)
        await add_engine(site, "gulf-a-v2", "v2")
        await set_state(site, "v1", "draining")
        origin, holder = await begin(site)
        assert holder.instance == "gulf-a-v2"
        before = len(old.received)
        status, target = await take_up(site, origin, node=1)
        assert (status, target) == (503, None)
        # Health checks may come at any time.
        later = old.received[before:]
        assert [req.path for req in later if req.path != "/healthz"] == []
        assert out_of_step.routing_state.versions("llm") == {"v1"}
        monkeypatch.undo()
        await site.wait_until(
            lambda: (
                len(out_of_step.routing_state.known_targets()) == 2
                and len(out_of_step.fleet.ready()) == 2
                and (zones != REGIONS or out_of_step.fleet.loads("llm"))
            )
        )
        status, target = await take_up(site, origin, node=1)
        assert status == 200
        assert target.instance == "gulf-a-v2"

    run_with_site(runner, tmp_path, check, zones=zones)


async def drain(site, nodes):
    """Let nodes leave while each still serves a stream; return the streams."""
    streams = []
    for number in nodes:
        options = {"method": "POST", "data": b"p", "node": number}
        call = site.call("/ask/", request_id=f"d-{next(_numbers)}", **options)
        streams.append(asyncio.create_task(call))
    await asyncio.sleep(0.2)
    for number in nodes:
        site.nodes[number].terminate()
    await site.wait_until(
        lambda: all(
            site.nodes[number].gateway.state is EntryState.CLOSED for number in nodes
        )
    )
    return streams


@pytest.mark.parametrize(
    ("zones", "others"),
    [
        (("gulf-a", "gulf-a"), ()),
        (("gulf-a", "gulf-a"), ("v2",)),
        (REGIONS, ("v2", "v3")),
    ],
)
def test_stream_goes_on_after_all_entry_vms_were_replaced_with_overlap(
    runner, tmp_path, zones, others
):
    async def check(site):
        target = await add_engine(site, "m-v1", "v1")
        target.events, target.gap_seconds = 60, 0.05
        await wait_until_ready(site)
        loads = site.nodes[1].gateway.fleet.loads
        await site.wait_until(lambda: zones != REGIONS or loads("llm"))
        origins = [(await begin(site, node=number))[0] for number in (0, 1)]
        for other in others:
            await add_engine(site, f"m-{other}", other)
            await asyncio.sleep(1.0)
        streams = await drain(site, (0, 1))
        for zone in zones:
            gateway = (await site.add_node(zone, first_start=False)).gateway
            while gateway.state is not EntryState.READY:
                await asyncio.sleep(0.02)
            await asyncio.sleep(2.0 if zones == REGIONS else 0.7)
        for node in (2, 3):
            for origin in origins:
                assert await take_up(site, origin, node=node) == (200, target)
        await asyncio.gather(*streams, return_exceptions=True)

    run_with_site(runner, tmp_path, check, zones=zones)


async def start_again(site, target, *, born):
    """End a target, and start one under its id and address."""
    host, _, port = target.address.rpartition(":")
    target._crash()
    await asyncio.sleep(0.1)
    again = SigningTarget(instance=target.instance, events=EVENTS)
    again.born = born
    await again.start(host, int(port))
    site.targets[target.instance] = again
    return again


def streams_of(target):
    return [req.id for req in target.received if req.path == "/ask/"]


@pytest.mark.parametrize("born", [2, None])
def test_stream_is_not_continued_by_a_newer_start_that_has_not_registered(
    runner, tmp_path, born
):
    async def check(site):
        target = await add_engine(site, "m-1", "v1")
        target.gap_seconds = 0.3
        await wait_until_ready(site)
        # New processes send nothing to targets that may be cold.
        await asyncio.sleep(STARTUP_DELAY_SECONDS)
        running = asyncio.create_task(
            site.call("/ask/", request_id="b-1", method="POST", data=b"p")
        )
        await asyncio.sleep(0.8)
        again = await start_again(site, target, born=born)
        await asyncio.gather(running, return_exceptions=True)
        taking_up = []
        for _ in range(3):
            taking_up.append(asyncio.create_task(take_up(site, "b-1")))
            await asyncio.sleep(0.2)
        assert not streams_of(again)
        # A stream that begins there now is not taken for one of the old start.
        assert (await site.call("/ask/", request_id="n-1", method="POST"))[0] == 200
        # It registers within the time that the proof of its start takes.
        await site.register(again, service="llm", Version="v2", born=2)
        assert await asyncio.gather(*taking_up) == [(503, None)] * 3
        assert streams_of(again) == ["n-1"]
        await add_engine(site, "m-2", "v1")
        await asyncio.sleep(1.0)
        _, taker = await take_up(site, "n-1")
        assert taker is not site.targets["m-2"]

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize(("born", "seconds"), [(1, 0.2), (None, 4.0)])
def test_stream_goes_on_at_a_target_that_only_lost_its_connections(
    runner, tmp_path, born, seconds
):
    async def check(site):
        target = await add_engine(site, "m-1", "v1")
        target.gap_seconds, target.born = 0.3, born
        await wait_until_ready(site)
        running = asyncio.create_task(
            site.call("/ask/", request_id="b-1", method="POST", data=b"p")
        )
        await asyncio.sleep(0.8)
        for writer in target._writers:
            writer.transport.abort()
        await asyncio.gather(running, return_exceptions=True)
        async with asyncio.timeout(seconds + EVENTS * target.gap_seconds):
            while (await take_up(site, "b-1"))[0] != 200:
                await asyncio.sleep(0.1)

    run_with_site(runner, tmp_path, check)


def test_stream_is_not_continued_by_a_newer_start_on_a_first_connection(
    runner, tmp_path
):
    async def check(site):
        target = await add_engine(site, "m-1", "v1")
        await wait_until_ready(site)
        origin, _ = await begin(site)
        again = await start_again(site, target, born=2)
        for _ in range(3):
            assert await take_up(site, origin, node=1) == (503, None)
            await asyncio.sleep(0.2)
        assert not streams_of(again)

    run_with_site(runner, tmp_path, check)


async def begin_at_each(site, versions, *, node=0):
    """Begin streams until each version has one; return one of each."""
    origins = {}
    async with asyncio.timeout(20.0):
        while origins.keys() != set(versions):
            begun = await asyncio.gather(*(begin(site, node=node) for _ in range(6)))
            for origin, holder in begun:
                origins[version_of(holder)] = origin
    return origins


def version_of(target):
    return target.instance.rpartition("-")[2]


async def restart_node(site, number):
    """End a node, and start another one; return the number of the new one."""
    ended = site.nodes[number]
    await ended.stop()
    gateway = (await site.add_node(ended.cfg.zone, first_start=False)).gateway
    await site.wait_until(
        lambda: (
            gateway.state is EntryState.READY
            and len(gateway.routing_state.known_targets()) == len(site.targets)
        )
    )
    await asyncio.sleep(0.7)
    return len(site.nodes) - 1


async def check_take_ups(site, origins, *, node):
    """Take each stream up; it has to go on at its version."""
    for version, origin in origins.items():
        status, target = await take_up(site, origin, node=node)
        assert (status, target and version_of(target)) == (200, version)


@pytest.mark.parametrize("zones", [("gulf-a", "gulf-a"), REGIONS])
def test_streams_of_three_versions_go_on_at_their_versions(runner, tmp_path, zones):
    async def check(site):
        versions = ("v1", "v2", "v3")
        for zone in sorted(set(zones)):
            for version in versions:
                await add_engine(site, f"{zone}-{version}", version, zone)
        await wait_until_ready(site)
        by_node = [await begin_at_each(site, versions, node=node) for node in (0, 1)]
        await asyncio.sleep(1.0)
        for node in (0, 1):
            for origins in by_node:
                await check_take_ups(site, origins, node=node)
        for zone in sorted(set(zones)):
            await site.store.delete(f"servers/{zone}-v2")
        await asyncio.sleep(1.5)
        for node in (0, 1):
            for origins in by_node:
                assert await take_up(site, origins["v2"], node=node) == (503, None)
                others = {key: origins[key] for key in ("v1", "v3")}
                await check_take_ups(site, others, node=node)

    run_with_site(runner, tmp_path, check, zones=zones)


@pytest.mark.parametrize("count", [2, 3])
def test_streams_go_on_after_one_entry_vm_restarts_while_several_versions_serve(
    runner, tmp_path, count
):
    async def check(site):
        versions = ("v1", "v2", "v3")[:count]
        for version in versions:
            await add_engine(site, f"m-{version}", version)
        await wait_until_ready(site)
        by_node = [await begin_at_each(site, versions, node=node) for node in (0, 1)]
        await asyncio.sleep(1.0)
        started = await restart_node(site, 0)
        for node in (1, started):
            for origins in by_node:
                await check_take_ups(site, origins, node=node)

    run_with_site(runner, tmp_path, check)


def test_streams_of_a_version_with_two_targets_go_on_after_all_entry_vms_restart(
    runner, tmp_path
):
    async def check(site):
        for name, version in (("a", "v1"), ("b", "v1"), ("c", "v2")):
            await add_engine(site, f"{name}-{version}", version)
        await wait_until_ready(site)
        origins = await begin_at_each(site, ("v1", "v2"))
        await asyncio.sleep(1.0)
        started = [await restart_node(site, number) for number in (0, 1)]
        for node in started:
            await check_take_ups(site, origins, node=node)
        await site.store.delete("servers/a-v1")
        await asyncio.sleep(1.5)
        for node in started:
            await check_take_ups(site, origins, node=node)
        await site.store.delete("servers/b-v1")
        await asyncio.sleep(1.5)
        for node in started:
            assert await take_up(site, origins["v1"], node=node) == (503, None)

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("zones", [("gulf-a", "gulf-a"), REGIONS])
def test_release_in_the_middle_of_take_ups_joins_no_versions(runner, tmp_path, zones):
    async def check(site):
        for number in range(2):
            await add_engine(site, f"a{number}-v1", "v1")
        await wait_until_ready(site)
        loads = site.nodes[1].gateway.fleet.loads
        await site.wait_until(lambda: zones != REGIONS or loads("llm"))
        origins = [(await begin(site, node=0))[0] for _ in range(2)]
        outcomes, released = [], asyncio.Event()

        async def keep_taking_up(node):
            while not released.is_set():
                for origin in origins:
                    outcomes.append(await take_up(site, origin, node=node))

        clients = [asyncio.create_task(keep_taking_up(node)) for node in (0, 1)]
        for number in range(2):
            await asyncio.sleep(1.0)
            await add_engine(site, f"b{number}-v2", "v2")
            await asyncio.sleep(1.0)
            if not number:
                await site.store.delete("servers/a0-v1")
        await asyncio.sleep(1.0)
        assert {status for status, _ in outcomes} == {200}
        await site.store.delete("servers/a1-v1")
        await asyncio.sleep(2.0)
        released.set()
        await asyncio.gather(*clients)
        assert {version_of(target) for status, target in outcomes if target} == {"v1"}
        assert {status for status, _ in outcomes} <= {200, 503}
        assert outcomes[-1] == (503, None)
        for node in (0, 1):
            origin, holder = await begin(site, node=node)
            assert version_of(holder) == "v2"
            await check_take_ups(site, {"v2": origin}, node=1 - node)

    run_with_site(runner, tmp_path, check, zones=zones)


def test_stream_that_began_at_a_newer_start_is_not_continued_by_the_earlier_version(
    runner, tmp_path
):
    async def check(site):
        target = await add_engine(site, "m-1", "v1")
        other = await add_engine(site, "m-2", "v1")
        await wait_until_ready(site)
        other.faults = [Fault.REJECT] * 9
        again = await start_again(site, target, born=2)
        origin, holder = await begin(site, node=1)
        while holder is not again:
            origin, holder = await begin(site, node=1)
        other.faults = []
        await site.register(again, service="llm", Version="v2", born=2)
        await asyncio.sleep(1.0)
        for node in (0, 1):
            _, taker = await take_up(site, origin, node=node)
            assert taker is not other

    run_with_site(runner, tmp_path, check)
