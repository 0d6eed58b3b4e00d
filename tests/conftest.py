"""Shared fixtures, Hypothesis profiles and the handling of known failures."""

import asyncio
import gc
from collections.abc import Iterator
from pathlib import Path

import pytest
import uvloop
from hypothesis import settings

settings.register_profile("ci", derandomize=True, max_examples=200, deadline=None)
settings.register_profile("long", max_examples=5_000, deadline=None)
settings.load_profile("ci")

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """Return a runner that runs the coroutines of a test on one uvloop event loop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as asyncio_runner:
        yield asyncio_runner


@pytest.fixture(autouse=True, scope="module")
def unpaused_by_earlier_modules() -> None:
    """Keep what earlier modules left out of the collections of garbage.

    In a process that has run most of the tests, a collection takes longer than some
    timeouts under test.
    """
    gc.collect()
    gc.freeze()


def _read_known_failures() -> dict[str, str]:
    """Return the ids of the tests in KNOWN-RED.txt, with the rest of their entries."""
    if not KNOWN_RED.exists():
        return {}
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        test, _, rest = line.partition(" ")
        if "::" in test:
            entries[test] = rest.strip()
    return entries


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists, and only these, as expected to fail."""
    known_failures = _read_known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(
                pytest.mark.xfail(reason=known_failures[item.nodeid], strict=False)
            )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the entries of KNOWN-RED.txt."""
    if KNOWN_RED.exists():
        _, _, entries = KNOWN_RED.read_text().partition("\n\n")
        for entry in filter(None, entries.splitlines()):
            terminalreporter.write_line(f"KNOWN RED {entry}")
