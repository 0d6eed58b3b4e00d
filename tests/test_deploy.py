"""Comparison of the deployment's dependencies with those that the project declares."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def lines(path):
    return [line for line in (ROOT / path).read_text().splitlines() if line]


def test_deployed_dependencies_are_declared_and_pinned():
    with (ROOT / "pyproject.toml").open("rb") as file:
        declared = set(tomllib.load(file)["project"]["dependencies"])
    pinned = {line.split("==")[0].lower() for line in lines("constraints.txt")}
    needed = lines("deploy/requirements.txt")
    assert set(needed) <= declared
    for item in needed:
        name = item.split(">")[0].split("=")[0].lower().replace("-", "_")
        assert name in {pin.replace("-", "_") for pin in pinned}, item


def test_build_uses_the_pinned_versions():
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        deploy = tomllib.load(file)
    assert "constraints.txt" in deploy["build"]
    assert deploy["roles"]["entry"]["run"].endswith("pimentospool node")
