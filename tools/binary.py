"""Builds the program as one file that runs on a VM's CPython 3.11."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "pimentospool"


def main() -> int:
    """Build ``dist/pimentospool``."""
    OUTPUT.parent.mkdir(exist_ok=True)
    command = [
        sys.executable,
        "-m",
        "pex",
        str(ROOT),
        "--constraints",
        str(ROOT / "constraints.txt"),
        "--console-script",
        "pimentospool",
        "--python",
        sys.executable,
        "--sh-boot",
        "--output-file",
        str(OUTPUT),
    ]
    return subprocess.run(command, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
