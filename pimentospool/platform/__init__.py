"""Adapter to the users' platform: translates its names, formats and calls.

It takes no routing decisions.
"""

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
