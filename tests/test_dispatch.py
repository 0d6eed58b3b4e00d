"""Requests stay in the allowed regions and make at most one hop.

Entry VMs may have different revisions of the manifest, so that their views of the
allowed regions and targets disagree. The tests run real dispatchers with random
mixtures of revisions, also with a router that ignores every restriction.
"""

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
from pimentospool.relaying import failure_from_problem
from pimentospool.revisions import Revision
from pimentospool.targets import AttemptFailure
from pimentospool.verdicts import Verdict
from pimentospool.views import View

MANIFEST = Path(__file__).resolve().parent.parent / "examples/magnolia/manifest.toml"
KEY = "a-key-of-the-peers"
REGIONS = ["gulf", "piedmont", "delta"]


SCORE = Score("any", *[0.0] * 10, has_room=True, in_flight=0.0)

ANY_REASON = next(iter(RouteReason))


class Sink:
    started = False

    async def send_whole(self, *, status, content_type, body):
        self.started = True


class Flight:
    def first_token(self):
        pass

    failed = finish = first_token


class OpenAdmission:
    """Admits every request and refuses to queue any."""

    def admit(self, req):
        return nullcontext()

    async def wait_in_queue(self, req, refusal):
        raise RequestFailure(
            reason=Reason.OVERLOADED, detail="full", verdict=Verdict.NOT_RUN
        )

    def wake_next(self):
        pass

    record_placed_after_wait = wake_next


class UnrestrictedRouter:
    """Chooses random destinations and ignores the restrictions of the query."""

    def __init__(self, view, rng):
        self._view = view
        self._rng = rng

    def choose(self, query):
        random_value = self._rng.random()
        if random_value < 0.1:
            return RouteRefusal(reason=Reason.NO_TARGET, detail="none")
        if random_value < 0.5:
            region = self._rng.choice(REGIONS)
            return RegionRoute(region=region, score=SCORE, reason=ANY_REASON)
        targets = self._view.index.manifest.targets
        return TargetRoute(
            target=self._rng.choice(targets), score=SCORE, reason=ANY_REASON
        )

    def start(self, route, query):
        return Flight()


class SimulatedEntryVm:
    """Entry VM with real dispatcher, parser and view, but simulated connections."""

    def __init__(self, fleet, region, revision, *, unrestricted):
        self.fleet = fleet
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
            rng=fleet.rng,
        )
        router.set_manifest(self.view.index)
        self.parser = RequestParser(
            cfg=CallerSettings(), signer=HopSigner(key=KEY), view=self.view
        )
        self.dispatcher = Dispatcher(
            cfg=cfg,
            view=self.view,
            fleet=fleet,
            router=UnrestrictedRouter(self.view, fleet.rng) if unrestricted else router,
            admission=OpenAdmission(),
            client=self,
            rng=fleet.rng,
        )

    @asynccontextmanager
    async def open(self, exchange):
        """Deliver `exchange`, in place of the exchange client of this entry VM."""
        host = exchange.url.split("/")[2]
        if host in REGIONS:
            await self.fleet.hop(self, host, exchange)
        else:
            self.fleet.execute(self, host)
        if self.fleet.rng.random() < 0.3:
            raise AttemptFailure(detail="cut", verdict=Verdict.MAY_HAVE_RUN)
        yield Answer()


class Answer:
    status = 200
    content_type = "application/json"
    is_stream = is_refusal = False

    async def body(self):
        return b"{}"


class SimulatedFleet:
    """All entry VMs and their fleet; records violations in what they send."""

    def __init__(self, rng, revisions, *, unrestricted):
        self.rng = rng
        self.path = []
        self.violations = []
        self.executed = 0
        self.hops = 0
        self.entry_vms = {
            region: SimulatedEntryVm(self, region, revision, unrestricted=unrestricted)
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

    def execute(self, entry_vm, address):
        self.executed += 1
        newest = max(
            (self.entry_vms[region].view for region in self.path), key=_revision_number
        )
        targets = entry_vm.view.index.manifest.targets
        target = next(item for item in targets if item.address == address)
        if entry_vm.view.index.region_of(target) != entry_vm.region:
            self.violations.append("a target of another region")
        if entry_vm.region not in _allowed_regions(newest):
            self.violations.append("served outside the allowed regions")

    async def hop(self, sender, region, exchange):
        self.hops += 1
        if len(self.path) > 1:
            self.violations.append("a second hop")
            return
        if sender.region not in _allowed_regions(sender.view):
            self.violations.append("sent on by a region that may not see it")
        if region not in _allowed_regions(sender.view):
            self.violations.append("sent outside the allowed regions")
        self.path.append(region)
        try:
            await self.receive(region, exchange)
        finally:
            self.path.pop()

    async def receive(self, region, exchange):
        http = _http_request(exchange.headers)
        entry_vm = self.entry_vms[region]
        try:
            req = entry_vm.parser.parse_service(
                http, "ticketing", "tickets/lookup", is_hop=True
            )
            await entry_vm.dispatcher.serve(req, Sink())
        except RequestFailure as exc:
            problem = msgspec.json.encode(exc.problem(request_id=""))
            raise failure_from_problem(problem) from exc

    async def request(self, region):
        entry_vm = self.entry_vms[region]
        self.path = [region]
        headers = {"Authorization": "Bearer stores-gulf-key"}
        try:
            req = entry_vm.parser.parse_service(
                _http_request(headers), "ticketing", "tickets/lookup", is_hop=False
            )
            await entry_vm.dispatcher.serve(req, Sink())
        except RequestFailure:
            pass


def _http_request(headers):
    return SimpleNamespace(headers=headers, body=b"", method="GET")


def _revision_number(view):
    return view.number


def _allowed_regions(view):
    return view.index.customers["stores-gulf"].allowed_regions


def make_revision(number, allowed, serving):
    """Return a revision that allows `allowed` and has targets in `serving` only."""
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


REGION_SETS = st.sets(st.sampled_from(REGIONS), min_size=1)
REVISION_HISTORIES = st.lists(
    st.tuples(REGION_SETS, REGION_SETS), min_size=1, max_size=3
)


async def run_case(history, view_numbers, seed, *, unrestricted):
    revisions = [
        make_revision(number + 1, *content) for number, content in enumerate(history)
    ]
    views = [revisions[number % len(revisions)] for number in view_numbers]
    fleet = SimulatedFleet(random.Random(seed), views, unrestricted=unrestricted)
    for region in REGIONS * 3:
        await fleet.request(region)
    return fleet


@pytest.mark.parametrize("unrestricted", [False, True])
def test_mixed_revisions_cause_no_second_hop_and_no_forbidden_region(unrestricted):
    executed = hops = 0

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(
        history=REVISION_HISTORIES,
        view_numbers=st.tuples(*[st.integers(0, 2)] * 3),
        seed=st.integers(0, 2**32),
    )
    def check(history, view_numbers, seed):
        nonlocal executed, hops
        fleet = asyncio.run(
            run_case(history, view_numbers, seed, unrestricted=unrestricted)
        )
        assert fleet.violations == []
        executed += fleet.executed
        hops += fleet.hops

    check()
    assert executed > 500
    assert hops > 100


@pytest.mark.parametrize("check", ["_check_route", "_check_region"])
def test_violations_occur_without_each_check(monkeypatch, check):
    monkeypatch.setattr(Dispatcher, check, lambda *args: None)
    violations = set()
    for seed in range(40):
        rng = random.Random(seed)
        history = [
            (set(rng.sample(REGIONS, 2)), set(rng.sample(REGIONS, 2))) for _ in range(3)
        ]
        view_numbers = [rng.randrange(3) for _ in REGIONS]
        fleet = asyncio.run(run_case(history, view_numbers, seed, unrestricted=True))
        violations.update(fleet.violations)
    if check == "_check_route":
        assert "a second hop" in violations
        assert "a target of another region" in violations
        assert "sent outside the allowed regions" in violations
    else:
        assert violations == {"sent on by a region that may not see it"}


class HopRecordingFleet(SimulatedFleet):
    """Records the regions that hops were sent to."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.destinations = []

    async def hop(self, sender, region, exchange):
        self.destinations.append(region)
        await super().hop(sender, region, exchange)


@pytest.mark.parametrize("stale_region", ["piedmont", "delta"])
def test_stale_receiver_refuses_and_another_entry_vm_is_tried(stale_region):
    other_regions = {"piedmont", "delta"}
    old, new = (make_revision(number, REGIONS, other_regions) for number in (1, 2))
    views = [old if region == stale_region else new for region in REGIONS]

    async def check(seed):
        fleet = HopRecordingFleet(random.Random(seed), views, unrestricted=False)
        await fleet.request("gulf")
        return fleet

    stale_first_count = 0
    for seed in range(40):
        fleet = asyncio.run(check(seed))
        assert fleet.executed
        assert fleet.violations == []
        if fleet.destinations[0] == stale_region:
            stale_first_count += 1
            assert set(fleet.destinations) == other_regions
    assert stale_first_count


async def refusal_of_stale_receiver():
    old, new = (make_revision(number, REGIONS, REGIONS) for number in (1, 2))
    fleet = SimulatedFleet(random.Random(0), [new, old, old], unrestricted=False)
    entry_vm = fleet.entry_vms["gulf"]
    req = entry_vm.parser.parse_service(
        _http_request({"Authorization": "Bearer stores-gulf-key"}),
        "ticketing",
        "tickets/lookup",
        is_hop=False,
    )
    header = entry_vm.dispatcher._exchanges.hop_header(req)
    headers = {HOP_HEADER: HopSigner(key=KEY).sign(header)}
    with pytest.raises(RequestFailure) as caught:
        fleet.entry_vms["delta"].parser.parse_service(
            _http_request(headers), "ticketing", "tickets/lookup", is_hop=True
        )
    return caught.value


def test_refusal_of_a_stale_receiver_says_not_run():
    failure = asyncio.run(refusal_of_stale_receiver())
    assert failure.reason is Reason.STALE_VIEW
    assert failure.verdict is Verdict.NOT_RUN
