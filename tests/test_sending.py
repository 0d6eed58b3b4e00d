"""Client sessions that send each request only once."""

import ast
from pathlib import Path

import aiohttp
import pytest
from raw_server import RawServer

from pimentospool.sending import WrappedTransportError, open_session

PACKAGE = Path(__file__).resolve().parents[1] / "pimentospool"


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
def test_request_is_not_retried_after_a_lost_connection(runner, method):
    async def close_without_response(server, reader, writer):
        await server.read_request(reader)

    async def send_request():
        async with (
            RawServer(close_without_response) as server,
            open_session() as session,
        ):
            with pytest.raises(WrappedTransportError) as caught:
                await session.request(method, server.url)
            assert len(server.requests) == 1
            return caught.value

    caught_error = runner.run(send_request())
    assert isinstance(caught_error, aiohttp.ClientError)
    assert not isinstance(caught_error.error, aiohttp.ClientConnectorError)


def test_all_client_sessions_are_made_by_open_session():
    for path in PACKAGE.rglob("*.py"):
        if path.name == "sending.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            callee = node.func if isinstance(node, ast.Call) else None
            name = getattr(callee, "attr", getattr(callee, "id", ""))
            assert name != "ClientSession", path
