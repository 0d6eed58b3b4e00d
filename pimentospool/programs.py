"""Child processes that run the project's program, for tools that control them."""

import asyncio
import signal
from collections.abc import Sequence
from pathlib import Path

from pimentospool.paths import program_command, program_environment

_MAX_LOG_LINES_SHOWN = 20


class Program:
    """One child process that runs the project's program and logs to a file.

    Parameters
    ----------
    name : str
        Name of the process in reports.
    arguments : sequence of str
        Command of the program, followed by the command's arguments.
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
        """Process id, or None while the process does not run."""
        if self._process is None or self._process.returncode is not None:
            return None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last process, or None if it runs or was never started."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the process; returns before it is ready to serve."""
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *program_command(),
                *self._arguments,
                stdout=log,
                stderr=log,
                env=program_environment(),
            )

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end gracefully with SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)

    async def wait(self) -> int:
        """Wait for the end of the process and return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def close(self) -> None:
        """Kill the process if it still runs."""
        if self.pid is not None:
            self.kill()
            await self.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def last_lines(self) -> list[str]:
        """Return the last lines of the process's output."""
        return self.log_path.read_text().splitlines()[-_MAX_LOG_LINES_SHOWN:]
