"""Settings file of a process on the platform."""

import math

import pytest
import tomli_w

from pimentospool.gateway import Address
from pimentospool.platform import read_node_settings
from pimentospool.platform._settings import NodeSettingsError
from pimentospool.standins import NodePorts, platform_settings


def raw_file():
    return platform_settings(
        "10.1.0.5",
        zone="gulf-a",
        store="10.9.0.1:8142",
        seeds=["10.1.0.6", "10.2.0.7"],
        ports=NodePorts(
            front=1001, ready=1002, control=1003, directory=1004, peer=1005
        ),
    )


def write(tmp_path, raw):
    path = tmp_path / "node.toml"
    path.write_text(tomli_w.dumps(raw))
    return path


def test_seeds_have_the_peer_port(tmp_path):
    cfg = read_node_settings(write(tmp_path, raw_file()))
    assert cfg.peer == Address("10.1.0.5", 1005)
    assert cfg.seeds == (Address("10.1.0.6", 1005), Address("10.2.0.7", 1005))
    assert cfg.bounds.retry_reserve == 56
    assert cfg.grace_seconds == 4


@pytest.mark.parametrize(
    ("limits", "link_mbps"),
    [({"LinkMbps": 5}, 5.0), ({}, 0.0)]
    + [({"LinkMbps": value}, 0.0) for value in (-1.0, math.nan, math.inf)],
)
def test_bandwidth_of_the_link_is_read_if_it_is_one(tmp_path, limits, link_mbps):
    cfg = read_node_settings(write(tmp_path, raw_file() | {"Limits": limits}))
    assert cfg.link_mbps == link_mbps


@pytest.mark.parametrize(
    ("limits", "memory_bytes"),
    [({"MemoryMb": 128}, 128e6), ({}, 300e6)]
    + [({"MemoryMb": value}, 300e6) for value in (0, -1.0, math.nan, math.inf)],
)
def test_memory_is_bounded_whatever_the_settings_state(tmp_path, limits, memory_bytes):
    cfg = read_node_settings(write(tmp_path, raw_file() | {"Limits": limits}))
    assert cfg.memory_bytes == memory_bytes


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"Node": 5}, "Node"),
        ({"Zone": None}, "Zone"),
        ({"InternalPorts": "7660"}, "InternalPorts"),
        ({"Platform": {}}, "Address"),
        ({"Platform": {"Address": "nowhere"}}, "nowhere"),
    ],
)
def test_error_names_the_invalid_field(tmp_path, change, field):
    raw = {
        key: value for key, value in (raw_file() | change).items() if value is not None
    }
    with pytest.raises(NodeSettingsError, match=field) as caught:
        read_node_settings(write(tmp_path, raw))
    assert "node.toml" in str(caught.value)


def test_unreadable_file_is_refused(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text("not = [toml")
    with pytest.raises(NodeSettingsError):
        read_node_settings(path)
    with pytest.raises(NodeSettingsError):
        read_node_settings(tmp_path / "missing.toml")
