"""Real entry processes, started and signalled by a drill or a test."""

import asyncio
import signal
from pathlib import Path

import aiohttp

from pimentospool._generated.settings import Settings
from pimentospool.errors import PimentospoolError
from pimentospool.paths import program_command, program_environment
from pimentospool.sending import open_session
from pimentospool.settings import encode_settings

_READY_SECONDS = 20.0
_POLL_SECONDS = 0.05
_ANSWER_SECONDS = 2.0
_SHOWN_LOG_LINES = 20


class NotReadyError(PimentospoolError):
    """An entry process did not serve in time."""


class EntryProcess:
    """One ``pimentospool entry`` process.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    folder : Path
        Where its settings file and its log are written.
    """

    def __init__(self, *, cfg: Settings, folder: Path) -> None:
        self.cfg = cfg
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    @property
    def log_path(self) -> Path:
        """Path of the process's log."""
        return self._folder / f"{self.cfg.entry.id}.log"

    @property
    def pid(self) -> int | None:
        """Process id while the process runs."""
        if self._process is None or self._process.returncode is not None:
            return None
        return self._process.pid

    async def start(self) -> None:
        """Start the process; it is not ready yet."""
        path = self._folder / f"{self.cfg.entry.id}.toml"
        path.write_bytes(encode_settings(self.cfg))
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *program_command(),
                "entry",
                str(path),
                stdout=log,
                stderr=log,
                env=program_environment(),
            )

    async def wait_ready(self) -> None:
        """Wait until the process answers callers with a revision in force.

        Raises
        ------
        NotReadyError
            If it does not within 20 s; it holds the end of the process's log.
        """
        try:
            async with asyncio.timeout(_READY_SECONDS):
                await self._poll_until_ready()
        except TimeoutError as exc:
            lines = self.log_path.read_text().splitlines()[-_SHOWN_LOG_LINES:]
            detail = f"{self.cfg.entry.id} (exit code {self._exit_code()})"
            raise NotReadyError("\n".join([detail, *lines])) from exc

    async def _poll_until_ready(self) -> None:
        url = f"http://{self.cfg.entry.caller_address}/v1/entries"
        timeout = aiohttp.ClientTimeout(total=_ANSWER_SECONDS)
        async with open_session(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(url) as resp:
                        if (await resp.json())["revision"]:
                            return
                except (aiohttp.ClientError, OSError, TimeoutError):
                    pass
                await asyncio.sleep(_POLL_SECONDS)

    def _exit_code(self) -> int | None:
        return None if self._process is None else self._process.returncode

    def pause(self) -> None:
        """Freeze the process."""
        self._send(signal.SIGSTOP)

    def wake(self) -> None:
        """Let a frozen process go on."""
        self._send(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end gracefully."""
        self._send(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once."""
        self._send(signal.SIGKILL)

    async def wait(self) -> int:
        """Wait for the end of the process and return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def close(self) -> None:
        """End the process at once if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self.kill()
            await self.wait()

    def _send(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._process.send_signal(number)
