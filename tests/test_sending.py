"""Client sessions that send each request one time."""

import ast
from pathlib import Path

import aiohttp
import pytest
from raw_server import RawServer

from pimentospool.sending import UnrepeatedError, open_session

PACKAGE = Path(__file__).resolve().parents[1] / "pimentospool"


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
def test_lost_connection_is_not_tried_again(runner, method):
    async def lose(server, reader, writer):
        await server.read_request(reader)

    async def play():
        async with RawServer(lose) as server, open_session() as session:
            with pytest.raises(UnrepeatedError) as caught:
                await session.request(method, server.url)
            assert len(server.requests) == 1
            return caught.value

    failure = runner.run(play())
    assert isinstance(failure, aiohttp.ClientError)
    assert not isinstance(failure.error, aiohttp.ClientConnectorError)


def test_all_sessions_are_opened_here():
    for path in PACKAGE.rglob("*.py"):
        if path.name == "sending.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            called = node.func if isinstance(node, ast.Call) else None
            name = getattr(called, "attr", getattr(called, "id", ""))
            assert name != "ClientSession", path
