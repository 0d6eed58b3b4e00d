"""No loop and no byte outside the allowed regions, for any mix of views."""

import asyncio
import random
import time
from contextlib import asynccontextmanager, nullcontext
from functools import cache
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentospool._generated.platform import (
    RevisionIndex,
    VmKind,
    VmRecord,
    VmState,
)
from pimentospool._generated.settings import (
    CallerSettings,
    EntrySettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TargetSettings,
    TlsSettings,
)
from pimentospool.callers._parsing import RequestParser
from pimentospool.dispatch import Dispatcher
from pimentospool.errors import Reason, RequestFailure
from pimentospool.hops import HOP_HEADER, HopSigner
from pimentospool.manifest import read_manifest
from pimentospool.policy import RegionRoute, Router, RouteRefusal, TargetRoute
from pimentospool.policy._scores import RouteReason, Score
from pimentospool.relaying import problem_failure
from pimentospool.revisions import Revision
from pimentospool.targets import AttemptFailure
from pimentospool.verdicts import Verdict
from pimentospool.views import View

MANIFEST = Path(__file__).resolve().parent.parent / "examples/magnolia/manifest.toml"
KEY = "a-key-of-the-peers"
REGIONS = ["gulf", "piedmont", "delta"]


SCORE = Score("any", *[0.0] * 10, has_room=True, in_flight=0.0)

ANY = next(iter(RouteReason))


class Sink:
    started = False

    async def whole(self, *, status, content_type, body):
        self.started = True


class Flight:
    def first_token(self):
        pass

    failed = finish = first_token


class OpenAdmission:
    """Admits everything and lets nothing wait."""

    def admitted(self, req):
        return nullcontext()

    async def wait_turn(self, req, refusal):
        raise RequestFailure(
            reason=Reason.OVERLOADED, detail="full", verdict=Verdict.NOT_RUN
        )

    def wake(self):
        pass

    turn_used = wake


class LawlessRouter:
    """Sends any request anywhere, whatever the query says."""

    def __init__(self, view, rng):
        self._view = view
        self._rng = rng

    def choose(self, query):
        draw = self._rng.random()
        if draw < 0.1:
            return RouteRefusal(reason=Reason.NO_TARGET, detail="none")
        if draw < 0.5:
            region = self._rng.choice(REGIONS)
            return RegionRoute(region=region, score=SCORE, reason=ANY)
        targets = self._view.index.manifest.targets
        return TargetRoute(target=self._rng.choice(targets), score=SCORE, reason=ANY)

    def start(self, route, query):
        return Flight()


class Node:
    """One entry VM: the real dispatcher, parser and view over fake edges."""

    def __init__(self, world, region, revision, *, lawless):
        self.world = world
        self.region = region
        self.view = View()
        self.view.adopt(revision)
        cfg = Settings(
            deployment="test",
            entry=EntrySettings(
                id=f"{region}-entry",
                region=region,
                zone=f"{region}-a",
                caller_address=region,
                peer_address="",
                admin_address="",
            ),
            platform=PlatformSettings(
                configuration_address="", vm_list_address="", directory_address=""
            ),
            peers=PeerSettings(key=KEY),
            tls=TlsSettings(),
            targets=TargetSettings(),
        )
        router = Router(
            region=region,
            entry=cfg.entry.id,
            clock=time.monotonic,
            rng=world.rng,
        )
        router.set_manifest(self.view.index)
        self.parser = RequestParser(
            cfg=CallerSettings(), signer=HopSigner(key=KEY), view=self.view
        )
        self.dispatcher = Dispatcher(
            cfg=cfg,
            view=self.view,
            fleet=world,
            router=LawlessRouter(self.view, world.rng) if lawless else router,
            admission=OpenAdmission(),
            client=self,
            rng=world.rng,
        )

    @asynccontextmanager
    async def open(self, exchange):
        """Stand in for the exchange client of this entry VM."""
        host = exchange.url.split("/")[2]
        if host in REGIONS:
            await self.world.hop(self, host, exchange)
        else:
            self.world.execute(self, host)
        if self.world.rng.random() < 0.3:
            raise AttemptFailure(detail="cut", verdict=Verdict.MAY_HAVE_RUN)
        yield Answer()


class Answer:
    status = 200
    content_type = "application/json"
    is_stream = is_refusal = False

    async def body(self):
        return b"{}"


class World:
    """All entry VMs; also their fleet. It judges what they send."""

    def __init__(self, rng, revisions, *, lawless):
        self.rng = rng
        self.path = []
        self.violations = []
        self.executed = 0
        self.hops = 0
        self.nodes = {
            region: Node(self, region, revision, lawless=lawless)
            for region, revision in zip(REGIONS, revisions, strict=True)
        }

    def entries(self, region):
        return [
            VmRecord(
                id=f"{region}-entry",
                kind=VmKind.ENTRY,
                state=VmState.LIVE,
                region=region,
                zone=f"{region}-a",
                caller_address=region,
            )
        ]

    def regions(self):
        return set(REGIONS)

    def execute(self, node, address):
        self.executed += 1
        newest = max((self.nodes[region].view for region in self.path), key=_number)
        targets = node.view.index.manifest.targets
        target = next(item for item in targets if item.address == address)
        if node.view.index.region_of(target) != node.region:
            self.violations.append("a target of another region")
        if node.region not in _allowed(newest):
            self.violations.append("served outside the allowed regions")

    async def hop(self, sender, region, exchange):
        self.hops += 1
        if len(self.path) > 1:
            self.violations.append("a second hop")
            return
        if sender.region not in _allowed(sender.view):
            self.violations.append("sent on by a region that may not see it")
        if region not in _allowed(sender.view):
            self.violations.append("sent outside the allowed regions")
        self.path.append(region)
        try:
            await self.receive(region, exchange)
        finally:
            self.path.pop()

    async def receive(self, region, exchange):
        http = _http(exchange.headers)
        node = self.nodes[region]
        try:
            req = node.parser.parse_service(
                http, "ticketing", "tickets/lookup", is_hop=True
            )
            await node.dispatcher.serve(req, Sink())
        except RequestFailure as exc:
            problem = msgspec.json.encode(exc.problem(request_id=""))
            raise problem_failure(problem) from exc

    async def request(self, region):
        node = self.nodes[region]
        self.path = [region]
        headers = {"Authorization": "Bearer stores-gulf-key"}
        try:
            req = node.parser.parse_service(
                _http(headers), "ticketing", "tickets/lookup", is_hop=False
            )
            await node.dispatcher.serve(req, Sink())
        except RequestFailure:
            pass


def _http(headers):
    return SimpleNamespace(headers=headers, body=b"", method="GET")


def _number(view):
    return view.number


def _allowed(view):
    return view.index.customers["stores-gulf"].allowed_regions


def make_revision(number, allowed, serving):
    """Return a revision with one customer's regions and the targets of `serving`."""
    return _make_revision(number, frozenset(allowed), frozenset(serving))


@cache
def _make_revision(number, allowed, serving):
    base = read_manifest(MANIFEST)
    customers = [
        msgspec.structs.replace(item, allowed_regions=sorted(allowed))
        for item in base.customers
    ]
    targets = [item for item in base.targets if item.zone[:-2] in serving]
    manifest = msgspec.structs.replace(base, customers=customers, targets=targets)
    return Revision(
        number=number,
        digest="",
        index=RevisionIndex(revision=number, parts=[]),
        manifest=manifest,
    )


SUBSETS = st.sets(st.sampled_from(REGIONS), min_size=1)
HISTORIES = st.lists(st.tuples(SUBSETS, SUBSETS), min_size=1, max_size=3)


async def run_case(history, held, seed, *, lawless):
    revisions = [
        make_revision(number + 1, *content) for number, content in enumerate(history)
    ]
    views = [revisions[number % len(revisions)] for number in held]
    world = World(random.Random(seed), views, lawless=lawless)
    for region in REGIONS * 3:
        await world.request(region)
    return world


@pytest.mark.parametrize("lawless", [False, True])
def test_no_mix_of_views_makes_a_loop_or_leaves_the_allowed_regions(lawless):
    executed = hops = 0

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(
        history=HISTORIES,
        held=st.tuples(*[st.integers(0, 2)] * 3),
        seed=st.integers(0, 2**32),
    )
    def check(history, held, seed):
        nonlocal executed, hops
        world = asyncio.run(run_case(history, held, seed, lawless=lawless))
        assert world.violations == []
        executed += world.executed
        hops += world.hops

    check()
    assert executed > 500
    assert hops > 100


@pytest.mark.parametrize("check", ["_check_route", "_check_region"])
def test_each_check_is_needed(monkeypatch, check):
    monkeypatch.setattr(Dispatcher, check, lambda *args: None)
    violations = set()
    for seed in range(40):
        rng = random.Random(seed)
        history = [
            (set(rng.sample(REGIONS, 2)), set(rng.sample(REGIONS, 2))) for _ in range(3)
        ]
        held = [rng.randrange(3) for _ in REGIONS]
        world = asyncio.run(run_case(history, held, seed, lawless=True))
        violations.update(world.violations)
    if check == "_check_route":
        assert "a second hop" in violations
        assert "a target of another region" in violations
        assert "sent outside the allowed regions" in violations
    else:
        assert violations == {"sent on by a region that may not see it"}


class RecordingWorld(World):
    """Remembers where hops went."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.destinations = []

    async def hop(self, sender, region, exchange):
        self.destinations.append(region)
        await super().hop(sender, region, exchange)


@pytest.mark.parametrize("behind", ["piedmont", "delta"])
def test_stale_receiver_refuses_and_another_entry_vm_is_asked(behind):
    away = {"piedmont", "delta"}
    old, new = (make_revision(number, REGIONS, away) for number in (1, 2))
    views = [old if region == behind else new for region in REGIONS]

    async def check(seed):
        world = RecordingWorld(random.Random(seed), views, lawless=False)
        await world.request("gulf")
        return world

    asked_stale_first = 0
    for seed in range(40):
        world = asyncio.run(check(seed))
        assert world.executed
        assert world.violations == []
        if world.destinations[0] == behind:
            asked_stale_first += 1
            assert set(world.destinations) == away
    assert asked_stale_first


async def refusal_of_stale_receiver():
    old, new = (make_revision(number, REGIONS, REGIONS) for number in (1, 2))
    world = World(random.Random(0), [new, old, old], lawless=False)
    node = world.nodes["gulf"]
    req = node.parser.parse_service(
        _http({"Authorization": "Bearer stores-gulf-key"}),
        "ticketing",
        "tickets/lookup",
        is_hop=False,
    )
    header = node.dispatcher._exchanges.hop_header(req)
    headers = {HOP_HEADER: HopSigner(key=KEY).sign(header)}
    with pytest.raises(RequestFailure) as caught:
        world.nodes["delta"].parser.parse_service(
            _http(headers), "ticketing", "tickets/lookup", is_hop=True
        )
    return caught.value


def test_stale_receiver_says_not_run():
    failure = asyncio.run(refusal_of_stale_receiver())
    assert failure.reason is Reason.STALE_VIEW
    assert failure.verdict is Verdict.NOT_RUN
