"""Paths of the program and of the files that ship with it."""

import os
import sys
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent
EXAMPLES = PACKAGE / "examples"
_PEX_VARIABLE = "PEX"


def program_command() -> list[str]:
    """Return the command line that starts another process of this program.

    Only the tools that start whole deployments use it; an entry process starts none.
    """
    pex_file = os.environ.get(_PEX_VARIABLE)
    if pex_file:
        return [sys.executable, pex_file]
    return [sys.executable, "-m", "pimentospool"]


def program_environment() -> dict[str, str]:
    """Return the environment in which `program_command` can import this package."""
    if os.environ.get(_PEX_VARIABLE):
        return dict(os.environ)
    return {**os.environ, "PYTHONPATH": str(PACKAGE.parent)}
