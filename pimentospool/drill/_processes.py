"""Entry processes that a drill, a benchmark or a test starts and signals."""

import asyncio
from pathlib import Path

import aiohttp

from pimentospool._generated.settings import Settings
from pimentospool.errors import PimentospoolError
from pimentospool.programs import Program
from pimentospool.sending import open_session
from pimentospool.settings import encode_settings

_READY_TIMEOUT_SECONDS = 20.0
_POLL_INTERVAL_SECONDS = 0.05
_REQUEST_TIMEOUT_SECONDS = 2.0


class NotReadyError(PimentospoolError):
    """An entry process did not become ready in time."""


class EntryProcess(Program):
    """A ``pimentospool entry`` process.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    folder : Path
        Folder for its settings file and its log.
    """

    def __init__(self, *, cfg: Settings, folder: Path) -> None:
        self.cfg = cfg
        self._path = folder / f"{cfg.entry.id}.toml"
        super().__init__(
            name=cfg.entry.id,
            arguments=["entry", str(self._path)],
            log_path=folder / f"{cfg.entry.id}.log",
        )

    async def start(self) -> None:
        """Write the settings file and start the process, without waiting for it."""
        self._path.write_bytes(encode_settings(self.cfg))
        await super().start()

    async def wait_ready(self) -> None:
        """Wait until the process serves callers and reports an active revision.

        Raises
        ------
        NotReadyError
            If this takes more than 20 s; the message has the last lines of the log.
        """
        try:
            async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
                await self._poll_until_ready()
        except TimeoutError as exc:
            detail = f"{self.name} (exit code {self.exit_code})"
            raise NotReadyError("\n".join([detail, *self.last_lines()])) from exc

    async def _poll_until_ready(self) -> None:
        url = f"http://{self.cfg.entry.caller_address}/v1/entries"
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        async with open_session(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(url) as resp:
                        if (await resp.json())["revision"]:
                            return
                except (aiohttp.ClientError, OSError, TimeoutError):
                    pass
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
