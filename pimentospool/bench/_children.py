"""Runs of a bench in child processes, so that each starts with fresh memory."""

import subprocess
import sys
import tempfile
from pathlib import Path

_LIMIT_SECONDS = 600.0


def run_bench(*args: str) -> bytes:
    """Run ``pimentospool bench`` with `args` and return the JSON that it wrote.

    Raises
    ------
    subprocess.SubprocessError
        If it fails or takes too long.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "result.json"
        command = [sys.executable, "-m", "pimentospool", "bench", *args]
        subprocess.run(
            [*command, "--json", str(path)],
            check=True,
            timeout=_LIMIT_SECONDS,
            stdout=subprocess.DEVNULL,
        )
        return path.read_bytes()
