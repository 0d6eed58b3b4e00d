"""Real entry processes, started and signalled by a drill or a test."""

import asyncio
from pathlib import Path

import aiohttp

from pimentospool._generated.settings import Settings
from pimentospool.errors import PimentospoolError
from pimentospool.programs import Program
from pimentospool.sending import open_session
from pimentospool.settings import encode_settings

_READY_SECONDS = 20.0
_POLL_SECONDS = 0.05
_ANSWER_SECONDS = 2.0


class NotReadyError(PimentospoolError):
    """An entry process did not serve in time."""


class EntryProcess(Program):
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
        self._path = folder / f"{cfg.entry.id}.toml"
        super().__init__(
            name=cfg.entry.id,
            arguments=["entry", str(self._path)],
            log_path=folder / f"{cfg.entry.id}.log",
        )

    async def start(self) -> None:
        """Write the settings and start the process; it is not ready yet."""
        self._path.write_bytes(encode_settings(self.cfg))
        await super().start()

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
            detail = f"{self.name} (exit code {self.exit_code})"
            raise NotReadyError("\n".join([detail, *self.last_lines()])) from exc

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
