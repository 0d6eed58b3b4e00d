"""Requests whose headers or target hold arbitrary bytes, on real sockets."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_site import HOST, running_site

from pimentospool.platform._front import decode_prompt

NUMBER_HEADERS = (
    b"X-Request-Deadline",
    b"Last-Event-ID",
    b"X-Token-Count",
    b"X-Prompt-Prefix",
    b"X-Request-Id",
    b"X-Request-Priority",
)
# Without the bytes that str.strip() of the stand-in takes for white space.
FIELD_BYTES = bytes(
    set(range(0x20, 0x100)) - {0x7F, 0x85, 0xA0},
)
field_values = st.one_of(
    st.lists(st.sampled_from(FIELD_BYTES), max_size=30).map(bytes),
    st.sampled_from(
        [
            "²".encode(),
            b"nan",
            b"inf",
            b"-1",
            b"1e999",
            b"1_0",
            b"9" * 5000,
            b"-5,-5",
            b"10,",
            b"a:-3",
            b"a:9e9",
            b":",
            b"",
        ]
    ),
)
target_bytes = st.lists(
    st.sampled_from(bytes(range(0x21, 0x7F)) + bytes(range(0x80, 0x100))), max_size=20
).map(bytes)


async def send(address, target, headers):
    """Send a request with these bytes; return the status and the rest."""
    lines = [b"GET " + target + b" HTTP/1.1", b"Host: " + HOST.encode()]
    lines += [name + b": " + value for name, value in headers]
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(b"\r\n".join([*lines, b"Connection: close", b"", b""]))
        async with asyncio.timeout(5.0):
            data = await reader.read()
    finally:
        writer.close()
    head, _, rest = data.partition(b"\r\n")
    return int(head.split()[1]), rest


@pytest.fixture
def site(runner, tmp_path):
    context = running_site(tmp_path)

    async def start():
        site = await context.__aenter__()
        await site.add_target("i-1", events=0)
        await site.wait_until(site.nodes[0].gateway.routing_state.known_targets)
        return site

    yield runner.run(start())
    runner.run(context.__aexit__(None, None, None))


@pytest.mark.parametrize("name", NUMBER_HEADERS)
def test_no_header_value_ends_in_an_error_of_the_gateway(site, runner, name):
    address = site.nodes[0].cfg.front

    @given(value=field_values)
    def check(value):
        headers = [(name, value)]
        if name != b"X-Request-Deadline":
            headers.append((b"X-Request-Deadline", b"300"))
        status, rest = runner.run(send(address, b"/look/a", headers))
        assert status != 500, rest

    check()


def test_no_request_target_ends_in_an_error_of_the_gateway(site, runner):
    address = site.nodes[0].cfg.front

    @given(suffix=target_bytes)
    def check(suffix):
        status, rest = runner.run(send(address, b"/look/" + suffix, []))
        assert status != 500, rest

    check()


@pytest.mark.parametrize(
    "headers",
    [
        (b"Last-Event-ID", "²".encode()),
        (b"X-Request-Deadline", b"nan"),
        (b"X-Request-Deadline", b"-1"),
    ],
)
def test_malformed_number_is_the_callers_error(site, runner, headers):
    status, _ = runner.run(send(site.nodes[0].cfg.front, b"/look/a", [headers]))
    assert status == 400
    assert not site.targets["i-1"].received


@pytest.mark.parametrize(
    "token_count, parts",
    [("-5,1", "a:5"), ("5,-1", "a:5"), ("5,1", "a:-5"), ("²", ""), ("1e3", "a:1")],
)
def test_prompt_with_malformed_sizes_is_no_prompt(token_count, parts):
    assert decode_prompt(token_count, parts) is None
