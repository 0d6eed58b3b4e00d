"""Runs a bench in a child process, so that each run starts with fresh memory."""

import subprocess
import sys
import tempfile
from pathlib import Path

_TIMEOUT_SECONDS = 600.0


def run_bench(*args: str) -> bytes:
    """Run ``pimentospool bench`` with `args` and return the JSON that it wrote.

    Raises
    ------
    subprocess.SubprocessError
        If the child process fails or exceeds the time limit of 600 s.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "result.json"
        command = [sys.executable, "-m", "pimentospool", "bench", *args]
        subprocess.run(
            [*command, "--json", str(path)],
            check=True,
            timeout=_TIMEOUT_SECONDS,
            stdout=subprocess.DEVNULL,
        )
        return path.read_bytes()
