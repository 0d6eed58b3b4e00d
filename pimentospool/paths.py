"""Where the program and the files that ship with it are."""

import os
import sys
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent
EXAMPLES = PACKAGE / "examples"
_ONE_FILE_VARIABLE = "PEX"


def program_command() -> list[str]:
    """Return the command line that starts this program again.

    Only tools that bring up a deployment use it; an entry process starts no other.
    """
    one_file = os.environ.get(_ONE_FILE_VARIABLE)
    if one_file:
        return [sys.executable, one_file]
    return [sys.executable, "-m", "pimentospool"]


def program_environment() -> dict[str, str]:
    """Return the environment in which `program_command` finds this package."""
    if os.environ.get(_ONE_FILE_VARIABLE):
        return dict(os.environ)
    return {**os.environ, "PYTHONPATH": str(PACKAGE.parent)}
