"""Fixtures for tests of the policy package: clock, manifest and router."""

import random
from pathlib import Path

import pytest

from pimentospool.ids import EntryId, RegionId
from pimentospool.manifest import ManifestIndex, read_manifest
from pimentospool.policy import Router

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


class ManualClock:
    """A clock that a test sets by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture(scope="session")
def magnolia():
    return ManifestIndex(manifest=read_manifest(EXAMPLES / "magnolia/manifest.toml"))


@pytest.fixture
def router(clock, magnolia):
    router = Router(
        region=RegionId("gulf"),
        entry=EntryId("gulf-1"),
        clock=clock,
        rng=random.Random(1),
    )
    router.set_manifest(magnolia)
    return router
