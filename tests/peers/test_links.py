"""Requests between peers, over real sockets."""

import asyncio

import pytest

from pimentospool._generated.peers import (
    ContentAnswer,
    ContentRequest,
    PeerAnswer,
    PeerRequest,
    ProbeAnswer,
)
from pimentospool._generated.settings import TlsSettings
from pimentospool.addresses import free_addresses
from pimentospool.faults import FaultProxy
from pimentospool.peers import (
    ContentFetcher,
    ContentStore,
    PeerCodec,
    PeerError,
    PeerLinks,
    PeerListener,
    PeerTls,
    TrafficCounter,
)
from pimentospool.peers._fetching import CHUNK_BYTES
from pimentospool.revisions import digest_of

PROBE = PeerRequest(content=ContentRequest(digest="x"))


class Pair:
    """A listener, and links that connect to it."""

    def __init__(self, *, handle, key="key-of-this-test-run", tls=None, other_key=None):
        tls = tls or PeerTls(cfg=TlsSettings(), server_name="test")
        codec = PeerCodec(deployment="test", key=key)
        (self.address,) = free_addresses(1)
        self.listener = PeerListener(
            address=self.address,
            codec=codec,
            tls=tls,
            traffic=TrafficCounter(),
            handle=handle,
        )
        other = PeerCodec(deployment="test", key=other_key or key)
        self.links = PeerLinks(codec=other, tls=tls, timeout_seconds=0.4)

    async def __aenter__(self):
        self.listener.start()
        return self

    async def __aexit__(self, *exc_info):
        self.links.close()
        await self.listener.close()


async def answer(req):
    return PeerAnswer(probe=ProbeAnswer(alive=True))


def test_request_is_answered_and_counted(runner):
    async def check():
        async with Pair(handle=answer) as pair:
            reply = await pair.links.request(pair.address, PROBE)
            assert reply.probe.alive
            assert pair.links.traffic.sent_messages == 1
            assert pair.links.traffic.received_messages == 1

    runner.run(check())


def test_message_under_another_key_is_not_answered(runner):
    async def check():
        async with Pair(handle=answer, other_key="another-key-than-theirs") as pair:
            with pytest.raises(PeerError):
                await pair.links.request(pair.address, PROBE)

    runner.run(check())


def test_silent_connection_is_replaced(runner):
    async def check():
        async with Pair(handle=answer) as pair:
            proxy = FaultProxy(upstream=pair.address)
            await proxy.start()
            try:
                await pair.links.request(proxy.address, PROBE)
                proxy.lose_connections()
                with pytest.raises(PeerError):
                    await pair.links.request(proxy.address, PROBE)
                reply = await pair.links.request(proxy.address, PROBE)
                assert reply.probe.alive
                assert proxy.accepted_connections == 2
            finally:
                await proxy.close()

    runner.run(check())


def test_timeout_of_one_request_leaves_others_on_the_connection(runner):
    async def slow(req):
        if req.content.digest == "slow":
            await asyncio.sleep(0.6)
        elif req.content.digest == "late":
            await asyncio.sleep(0.3)
        return PeerAnswer(probe=ProbeAnswer(alive=True))

    async def check():
        async with Pair(handle=slow) as pair:
            lost = PeerRequest(content=ContentRequest(digest="slow"))
            late = PeerRequest(content=ContentRequest(digest="late"))
            first = asyncio.create_task(pair.links.request(pair.address, lost))
            await asyncio.sleep(0.25)
            second = asyncio.create_task(pair.links.request(pair.address, late))
            with pytest.raises(PeerError):
                await first
            assert (await second).probe.alive

    runner.run(check())


def test_content_is_fetched_in_chunks_and_checked(runner):
    data = bytes(range(256)) * (CHUNK_BYTES // 100)
    digest = digest_of(data)
    store = ContentStore()
    store._parts[digest] = data
    store._parts["wrong"] = b"other content"

    async def serve(req):
        return PeerAnswer(content=store.answer(req.content))

    async def check():
        async with Pair(handle=serve) as pair:
            content = ContentFetcher(links=pair.links)
            assert await content.fetch(pair.address, digest) == data
            for missing in ("wrong", "absent"):
                with pytest.raises(PeerError):
                    await content.fetch(pair.address, missing)

    runner.run(check())


def test_empty_content_answer_ends_the_fetch(runner):
    async def serve(req):
        return PeerAnswer(content=ContentAnswer(size=10, data=b""))

    async def check():
        async with Pair(handle=serve) as pair:
            with pytest.raises(PeerError):
                await ContentFetcher(links=pair.links).fetch(pair.address, "x")

    runner.run(check())


def test_tls_links_need_a_certificate_of_the_authority(runner, tmp_path, peer_pem):
    async def check():
        good = PeerTls(cfg=peer_pem(tmp_path / "a"), server_name="test")
        other = PeerTls(cfg=peer_pem(tmp_path / "b"), server_name="test")
        async with Pair(handle=answer, tls=good) as pair:
            assert (await pair.links.request(pair.address, PROBE)).probe.alive
            codec = PeerCodec(deployment="test", key="key-of-this-test-run")
            for tls in (other, PeerTls(cfg=TlsSettings(), server_name="test")):
                links = PeerLinks(codec=codec, tls=tls, timeout_seconds=0.4)
                with pytest.raises(PeerError):
                    await links.request(pair.address, PROBE)
                links.close()

    runner.run(check())
