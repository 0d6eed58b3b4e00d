"""Adapter to the users' platform: its names, formats and calls; it decides nothing."""

from pimentospool.platform._node import run_node
from pimentospool.platform._settings import (
    SETTINGS_VARIABLE,
    NodeSettingsError,
    read_node_settings,
)

__all__ = [
    "SETTINGS_VARIABLE",
    "NodeSettingsError",
    "read_node_settings",
    "run_node",
]
