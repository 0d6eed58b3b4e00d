"""API keys of tenants: what targets, callers and other entry VMs see of them."""

import asyncio

import logbook
import msgspec
import pytest
from platform_site import HOST, running_site

from pimentospool.gateway import EntryState, Refusal, RefusalReason
from pimentospool.policy import key_digest
from pimentospool.standins import (
    Fault,
    platform_configuration,
    platform_route,
    platform_tenant,
)
from pimentospool.verdicts import Verdict

KEY = "secret-key-1"
DIGEST = key_digest(KEY.encode()).hex()
ZONES = ("gulf-a", "delta-a")
ROUTES = (
    platform_route("/look/", "idempotent"),
    platform_route("/book/", "non_idempotent"),
    platform_route("/open/", "idempotent", Public=True),
    platform_route("/home/", "idempotent", HomeRegions=["delta"]),
    platform_route("/ask/", "streaming", "llm", Priority=2),
)


def configuration(version=1, **options):
    tenant = platform_tenant("acme", KEY, "secret-key-2", **options)
    return platform_configuration(version, ROUTES, [tenant])


class Site:
    """A site with tenants, and what it logs."""

    def __init__(self, site, log):
        self._site = site
        self._log = log
        self.hops = []
        """Headers of the hops that the nodes have received, names in lower case."""

    def __getattr__(self, name):
        return getattr(self._site, name)

    async def send(self, path, *headers, address=None):
        """Send a request with these raw headers; return the status and the rest."""
        address = address or self.nodes[0].cfg.front
        lines = [f"GET {path} HTTP/1.1", f"Host: {HOST}", "X-Request-Id: r-1"]
        lines += [f"{name}: {value}" for name, value in headers]
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            text = "\r\n".join([*lines, "Connection: close", "", ""])
            writer.write(text.encode("latin-1"))
            async with asyncio.timeout(5.0):
                data = await reader.read()
        finally:
            writer.close()
        return int(data.split()[1]), data

    def logged(self):
        return repr([(record.msg, record.extra) for record in self._log.records])

    def record_hops(self):
        for node in self.nodes:
            frontend = node.node._frontends[1]
            frontend._read = self._recording(frontend._read)

    def _recording(self, read):
        async def record(http, hold):
            self.hops.append(
                {name.lower(): text for name, text in http.headers.items()}
            )
            return await read(http, hold)

        return record


def run_with_site(runner, tmp_path, check, *, raw=None, zones=ZONES[:1]):
    async def run():
        log = logbook.TestHandler()
        with log.applicationbound():
            async with running_site(tmp_path, zones=zones, with_config=False) as inner:
                await inner.store.put("op/config", raw or configuration())
                site = Site(inner, log)
                await site.wait_until(
                    lambda: all(
                        node.gateway.state is EntryState.READY
                        and len(node.gateway.fleet.ready()) == len(zones)
                        for node in site.nodes
                    )
                )
                site.record_hops()
                await check(site)

    runner.run(run())


async def add_target(site, zone="gulf-a", **options):
    """Add a target and wait until all nodes can send requests to it."""
    target = await site.add_target(f"i-{zone}", zone=zone, **options)
    service = options.get("service", "desk")
    for node in site.nodes:
        gateway = node.gateway
        await site.wait_until(
            lambda gateway=gateway: (
                gateway.routing_state.known_targets()
                and (len(site.nodes) == 1 or gateway.fleet.loads(service))
                if gateway.cfg.zone != zone
                else gateway.routing_state.known_targets()
            )
        )
    return target


@pytest.mark.parametrize("path", ["/look/1", "/open/1"])
def test_target_gets_the_tenant_and_never_the_key(runner, tmp_path, path):
    async def check(site):
        target = await add_target(site)
        status, answer = await site.send(
            path, ("x-CREDENTIAL", KEY), ("X-Tenant", "other"), ("x-tenant", "more")
        )
        assert status == 200
        headers = target.received[-1].headers
        assert headers.get("x-tenant") == ("acme" if path == "/look/1" else None)
        assert "x-credential" not in headers
        for text in (repr(headers), repr(answer), site.logged()):
            assert KEY not in text
            assert DIGEST not in text
        assert ("'tenant': 'acme'" in site.logged()) is (path == "/look/1")

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [("X-Credential", "")],
        [("X-Credential", "secret")],
        [("X-Credential", KEY.upper())],
        [("X-Credential", f"{KEY},{KEY}")],
        [("X-Credential", "\xff\xfe" + KEY)],
        [("X-Credential", KEY), ("X-Credential", KEY)],
        [("X-Credential", "secret"), ("x-credential", KEY)],
        [("X-Tenant", "acme")],
        # LOST: a caller would need the digest of a key only.
        [("pimentospool-credential", DIGEST)],
    ],
)
def test_request_without_one_known_key_gets_401(runner, tmp_path, headers):
    async def check(site):
        target = await add_target(site)
        status, answer = await site.send("/look/1", *headers)
        assert status == 401
        assert not target.received
        assert KEY.encode() not in answer
        assert KEY not in site.logged()
        rendered = site.nodes[0].gateway.metrics.render().decode()
        assert (
            'pimentospool_unplaced_requests_total{reason="unauthorized"} 1' in rendered
        )

    run_with_site(runner, tmp_path, check)


# LOST: a hop of an older build carries the key, and its sender relays the error.
@pytest.mark.parametrize("listener", ["front", "peer"])
def test_odd_bytes_in_a_key_do_not_come_back_in_an_error(runner, tmp_path, listener):
    async def check(site):
        address = getattr(site.nodes[0].cfg, listener)
        status, answer = await site.send(
            "/look/1", ("X-Credential", KEY + "\x01"), address=address
        )
        assert status in (400, 401)
        assert KEY.encode() not in answer
        assert KEY not in site.logged()

    run_with_site(runner, tmp_path, check)


def test_deployment_without_tenants_passes_both_headers_on(runner, tmp_path):
    async def check(site):
        target = await add_target(site)
        headers = [("X-Credential", "c"), ("X-Tenant", "t")]
        status, _ = await site.send("/look/1", *headers)
        assert status == 200
        received = target.received[-1].headers
        assert (received["x-credential"], received["x-tenant"]) == ("c", "t")

    run_with_site(runner, tmp_path, check, raw=platform_configuration(1, ROUTES))


def test_priority_of_the_tenant_replaces_that_of_the_route(runner, tmp_path):
    async def check(site):
        target = await add_target(site, service="llm", events=2)
        status, _ = await site.send("/ask/1", ("X-Credential", KEY))
        assert status == 200
        assert target.received[-1].headers["x-request-priority"] == "5"

    run_with_site(runner, tmp_path, check, raw=configuration(Priority=5))


# LOST: an empty intersection would count as no restriction.
def test_request_that_no_region_may_serve_is_refused(runner, tmp_path):
    async def check(site):
        target = await add_target(site)
        status, answer = await site.send("/home/1", ("X-Credential", KEY))
        assert status == 503
        assert b"Retry-After" in answer
        assert not target.received

    run_with_site(runner, tmp_path, check, raw=configuration(HomeRegions=["gulf"]))


def test_hop_carries_the_digest_and_serves_the_tenant_at_home(runner, tmp_path):
    async def check(site):
        near = await add_target(site)
        home = await add_target(site, "delta-a")
        status, _ = await site.send("/look/1", ("X-Credential", KEY), ("X-Tenant", "x"))
        assert status == 200
        assert not near.received
        (hop,) = site.hops
        assert hop["pimentospool-credential"] == DIGEST
        assert hop["x-tenant"] == "acme"
        assert KEY not in repr(hop)
        headers = home.received[-1].headers
        assert headers["x-tenant"] == "acme"
        assert not {"x-credential", "pimentospool-credential"} & headers.keys()
        assert not any(text in site.logged() for text in (KEY, DIGEST))

    run_with_site(
        runner, tmp_path, check, raw=configuration(HomeRegions=["delta"]), zones=ZONES
    )


# LOST: an older build passes on to its targets what it doesn't know.
def test_hop_to_an_older_build_carries_the_tenant_and_no_digest(
    runner, tmp_path, monkeypatch
):
    async def check(site):
        home = await add_target(site, "delta-a")
        fleet = site.nodes[0].gateway.fleet
        assert all(record.protocol == 0 for record in fleet.ready("delta"))
        older = site.nodes[1].gateway.routing_state
        older.configuration = msgspec.structs.replace(older.configuration, tenants=None)
        status, _ = await site.send("/home/1", ("X-Credential", KEY))
        assert status == 200
        assert home.received[-1].headers["x-tenant"] == "acme"
        (hop,) = site.hops
        assert not {"x-credential", "pimentospool-credential"} & hop.keys()

    monkeypatch.setattr("pimentospool.gateway._process.PROTOCOL_VERSION", 0)
    run_with_site(runner, tmp_path, check, zones=ZONES)


async def send_two(address, body):
    """Send a POST with this body, then a GET without a key; return what comes back."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        head = f"HTTP/1.1\r\nHost: {HOST}\r\n"
        key = f"X-Credential: {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(f"POST /look/1 {head}{key}{body}".encode())
        async with asyncio.timeout(5.0):
            answer = await reader.readuntil(b"\r\n\r\n")
            writer.write(f"GET /look/2 {head}Connection: close\r\n\r\n".encode())
            return answer + await reader.read()
    finally:
        writer.close()


# LOST: a target that resolves paths would serve it as a request of a keyed route.
def test_path_that_leads_out_of_a_public_route_needs_a_key(runner, tmp_path):
    async def check(site):
        target = await add_target(site)
        path = "/open/../look/1"
        assert (await site.send(path))[0] == 401
        assert not target.received
        assert (await site.send(path, ("X-Credential", KEY)))[0] == 200
        assert target.received[-1].headers["x-tenant"] == "acme"

    run_with_site(runner, tmp_path, check)


# LOST: the parser keeps the last trailer for the next request of the connection.
@pytest.mark.parametrize(
    ("body", "statuses"),
    [
        ("3\r\nabc\r\n0\r\n\r\n", [200, 401]),
        ("0\r\n\r\n", [200, 401]),
        (f"3\r\nabc\r\n0\r\nX-Credential: {KEY}\r\n\r\n", [200]),
        ("3\r\nabc\r\n0\r\nX-Tenant: other\r\n\r\n", [200]),
        (
            f"0\r\nX-Credential: {KEY}\r\n\r\n"
            f"GET /look/3 HTTP/1.1\r\nHost: {HOST}\r\n\r\n",
            [200],
        ),
    ],
)
def test_trailer_of_a_request_is_no_header_of_the_next(
    runner, tmp_path, body, statuses
):
    async def check(site):
        target = await add_target(site)
        answers = await send_two(site.nodes[0].cfg.front, body)
        found = [int(part[:3]) for part in answers.split(b"HTTP/1.1 ")[1:]]
        assert found == statuses
        assert [received.path for received in target.received] == ["/look/1"]

    run_with_site(runner, tmp_path, check)


class CountingQuotas:
    def __init__(self, refusal=None):
        self.charges = self.refunds = 0
        self._refusal = refusal

    async def charge(self, tenant, req, *, within_seconds):
        self.charges += 1
        assert 0.0 < within_seconds <= 2.0
        return self._refusal or self

    def refund(self):
        self.refunds += 1


def count_charges(node, refusal=None):
    quotas = node.gateway.dispatcher._access.quotas = CountingQuotas(refusal)
    return quotas


@pytest.mark.parametrize(
    ("headers", "status", "charges"),
    [
        ([("X-Credential", KEY), ("X-Tenant", "x")], 200, 1),
        ([("X-Credential", "unknown")], 401, 0),
        ([], 401, 0),
        ([("pimentospool-credential", DIGEST), ("X-Tenant", "x")], 200, 0),
        ([("pimentospool-credential", "00" * 16)], 401, 0),
        ([("pimentospool-credential", DIGEST[:-2])], 401, 0),
        ([("pimentospool-credential", "z")], 401, 0),
    ],
)
def test_hop_is_checked_here_and_charged_if_its_sender_has_not(
    runner, tmp_path, headers, status, charges
):
    async def check(site):
        target = await add_target(site)
        node = site.nodes[0]
        quotas = count_charges(node)
        result, answer = await site.send("/look/1", *headers, address=node.cfg.peer)
        assert (result, quotas.charges) == (status, charges)
        if status == 200:
            received = target.received[-1].headers
            assert received["x-tenant"] == "acme"
            assert not {"x-credential", "pimentospool-credential"} & received.keys()
        else:
            assert b"Pimentospool-Verdict: not-run" in answer.title().replace(
                b"Not-Run", b"not-run"
            )
            assert not target.received

    run_with_site(runner, tmp_path, check)


# LOST: an older build passes on the digest that a caller states, and charges nothing.
# It may be one that the receiver doesn't know yet (None).
@pytest.mark.parametrize(("protocol", "charges"), [(0, 1), (1, 0), (None, 1)])
def test_hop_of_an_older_build_is_charged_here_whatever_digest_it_names(
    runner, tmp_path, protocol, charges
):
    async def check(site):
        await add_target(site)
        node = site.nodes[0]
        quotas = count_charges(node)
        fleet = node.gateway.fleet
        sender = msgspec.structs.replace(
            fleet.local_record, id="e-sender", protocol=protocol or 0
        )
        known = {} if protocol is None else {sender.id: sender}
        fleet.live_record = known.get
        status, _ = await site.send(
            "/look/1",
            ("pimentospool-entry", sender.id),
            ("pimentospool-configuration", "1.0"),
            ("pimentospool-credential", DIGEST),
            address=node.cfg.peer,
        )
        assert (status, quotas.charges) == (200, charges)

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize(
    ("fault", "path", "status", "refunds"),
    [
        (None, "/look/1", 200, 0),
        (Fault.REJECT, "/look/1", 503, 1),
        (Fault.RESET, "/book/1", 502, 0),
    ],
)
def test_charge_is_given_back_if_no_target_has_run_the_request(
    runner, tmp_path, fault, path, status, refunds
):
    async def check(site):
        target = await add_target(site)
        target.faults = [fault] * 20
        quotas = count_charges(site.nodes[0])
        result, _ = await site.send(path, ("X-Credential", KEY))
        assert (result, quotas.charges, quotas.refunds) == (status, 1, refunds)

    run_with_site(runner, tmp_path, check)


def test_charge_of_a_caller_that_left_a_running_request_is_kept(runner, tmp_path):
    async def check(site):
        target = await add_target(site)
        target.gap_seconds = 1.0
        quotas = count_charges(site.nodes[0])
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await site.send("/book/1", ("X-Credential", KEY))
        assert target.received
        await site.wait_until(lambda: not site.nodes[0].gateway.in_progress)
        assert (quotas.charges, quotas.refunds) == (1, 0)

    run_with_site(runner, tmp_path, check)


def test_refusal_of_the_quota_is_429_with_its_retry_after(runner, tmp_path):
    async def check(site):
        target = await add_target(site)
        refusal = Refusal(
            reason=RefusalReason.OVER_QUOTA,
            verdict=Verdict.NOT_RUN,
            retry_after_seconds=1.25,
        )
        count_charges(site.nodes[0], refusal)
        status, answer = await site.send("/look/1", ("X-Credential", KEY))
        assert status == 429
        assert b"Retry-After: 1.250" in answer
        assert not target.received

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("key", [KEY, "unknown", ""])
@pytest.mark.parametrize("has_configuration", [True, False])
def test_entry_vm_that_cannot_tell_a_key_responds_with_503(
    runner, tmp_path, key, has_configuration
):
    async def check(site):
        gateway = site.nodes[0].gateway
        if has_configuration:

            class Unconfirmed:
                is_confirmed = False

            gateway.dispatcher._access.confirmation = Unconfirmed()
        else:
            gateway.routing_state.configuration = None
        status, answer = await site.send("/look/1", ("X-Credential", key))
        assert status == 503
        assert b"Retry-After" in answer

    run_with_site(runner, tmp_path, check)


# LOST: the sender would serve it by the withdrawn key once more, or charge it twice.
def test_key_withdrawn_by_a_later_configuration_is_refused_when_routed_again(
    runner, tmp_path
):
    async def check(site):
        home = await add_target(site, "delta-a")
        state = site.nodes[0].gateway.routing_state
        adopt, state.adopt = state.adopt, lambda *args, **options: False
        raw = configuration(2) | {"Tenants": [platform_tenant("acme", "another")]}
        await site.store.put("op/config", raw)
        other = site.nodes[1].gateway.routing_state
        await site.wait_until(lambda: other.configuration.version == 2)
        state.adopt = adopt
        quotas = count_charges(site.nodes[0])
        status, _ = await site.send("/home/1", ("X-Credential", KEY))
        assert status == 401
        assert not home.received
        assert (quotas.charges, quotas.refunds) == (1, 1)

    run_with_site(runner, tmp_path, check, zones=ZONES)
