"""Stand-ins in processes of their own, and CPU time and memory of a process."""

import asyncio
import os
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[2]
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_UTIME_FIELD = 13
_STIME_FIELD = 14


class StandinProcess:
    """One ``pimentospool standin`` process.

    Parameters
    ----------
    arguments : list of str
        Arguments after ``standin``.
    """

    def __init__(self, *, arguments: list[str]) -> None:
        self.address = ""
        self._arguments = arguments
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and read the address that it prints."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pimentospool",
            "standin",
            *self._arguments,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(_ROOT)},
        )
        assert self._process.stdout is not None
        self.address = (await self._process.stdout.readline()).decode().strip()

    async def close(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, from ``/proc/PID/stat``."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_UTIME_FIELD - 2]) + int(fields[_STIME_FIELD - 2])
    return ticks / _TICKS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process, from ``/proc/PID/status``."""
    return _status_megabytes(pid, "VmRSS:")


def peak_megabytes(pid: int) -> float:
    """Return the most memory that was resident, from ``/proc/PID/status``."""
    return _status_megabytes(pid, "VmHWM:")


def _status_megabytes(pid: int, name: str) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name):
            return int(line.split()[1]) / 1024
    return 0.0
