"""Programs of the project as processes that a tool starts and signals."""

import asyncio
import signal
from collections.abc import Sequence
from pathlib import Path

from pimentospool.paths import program_command, program_environment

_SHOWN_LOG_LINES = 20


class Program:
    """One process of the project's program; its output goes to a file.

    Parameters
    ----------
    name : str
        Name in reports.
    arguments : sequence of str
        Command of the program and its arguments.
    log_path : Path
        File to which standard output and standard error are appended.
    """

    def __init__(self, *, name: str, arguments: Sequence[str], log_path: Path) -> None:
        self.name = name
        self.log_path = log_path
        self._arguments = tuple(arguments)
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int | None:
        """Process id while the process runs."""
        if self._process is None or self._process.returncode is not None:
            return None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last process, or None before its end."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the process; it is not ready yet."""
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *program_command(),
                *self._arguments,
                stdout=log,
                stderr=log,
                env=program_environment(),
            )

    def pause(self) -> None:
        """Freeze the process."""
        self.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let a frozen process go on."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end gracefully."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)

    async def wait(self) -> int:
        """Wait for the end of the process and return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def close(self) -> None:
        """End the process at once if it still runs."""
        if self.pid is not None:
            self.kill()
            await self.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def last_lines(self) -> list[str]:
        """Return the end of what the process wrote."""
        return self.log_path.read_text().splitlines()[-_SHOWN_LOG_LINES:]
