"""A drill of a real service, from its status pages and its callers' records.

No faults are injected here: the manifest's drill windows declare what fails, and when.
"""

import asyncio
import time
from collections.abc import Iterable

import aiohttp
import msgspec

from pimentospool._generated.manifest import DrillKind, DrillWindow
from pimentospool._generated.records import CallerRecord
from pimentospool._generated.scenario import FaultKind
from pimentospool._generated.status import EntryStatus
from pimentospool.drill._evidence import (
    Evidence,
    FaultWindow,
    RevisionSample,
    TargetExecution,
)
from pimentospool.manifest import Manifest
from pimentospool.sending import open_session
from pimentospool.status import STATUS_PATH

_POLL_INTERVAL_SECONDS = 0.5
_REQUEST_TIMEOUT_SECONDS = 2.0
_SCENARIO_NAME = "manifest"


class LiveWatch:
    """Samples the status pages of a real service's entry VMs.

    Parameters
    ----------
    manifest : Manifest
        Active manifest, with its drill windows.
    admin_addresses : list of str
        IP:port of the entry VMs' admin interfaces.
    """

    def __init__(self, *, manifest: Manifest, admin_addresses: list[str]) -> None:
        self.evidence = Evidence(
            manifest=manifest,
            entry_regions={},
            executions_known=False,
            faults=[
                fault for window in manifest.drill for fault in declared_faults(window)
            ],
        )
        self._admin_addresses = admin_addresses

    async def run(self, seconds: float) -> None:
        """Sample every status page repeatedly for `seconds`."""
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        end = time.monotonic() + seconds
        async with open_session(timeout=timeout) as session:
            while time.monotonic() < end:
                await asyncio.gather(
                    *(
                        self._sample_status(session, address)
                        for address in self._admin_addresses
                    )
                )
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def add_records(self, records: Iterable[CallerRecord]) -> None:
        """Add callers' records to the evidence."""
        self.evidence.records.extend(records)

    def add_executions(self, executions: Iterable[TargetExecution]) -> None:
        """Add the executions that targets recorded to the evidence."""
        self.evidence.executions.extend(executions)
        self.evidence.executions_known = True

    async def _sample_status(
        self, session: aiohttp.ClientSession, address: str
    ) -> None:
        try:
            async with session.get(f"http://{address}{STATUS_PATH}") as resp:
                status = msgspec.json.decode(await resp.read(), type=EntryStatus)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
            return
        self.evidence.entry_regions[status.entry] = status.region
        self.evidence.samples.append(
            RevisionSample(
                entry=status.entry,
                sampled_at=time.time(),
                revision=status.revision.number,
            )
        )


def declared_faults(window: DrillWindow) -> list[FaultWindow]:
    """Return the failures that a manifest's drill window declares."""
    kind = {
        DrillKind.REGION: FaultKind.REGION_LOST,
        DrillKind.LINK: FaultKind.LINK_CUT,
        DrillKind.CONFIGURATION: FaultKind.CONFIGURATION_DOWN,
    }[window.kind]
    if window.kind is DrillKind.LINK and len(window.regions) > 1:
        pairs = [(window.regions[0], window.regions[1])]
    else:
        pairs = [(region, None) for region in window.regions or ["everywhere"]]  # type: ignore[misc, list-item]
    return [
        FaultWindow(
            kind=kind,
            scenario=_SCENARIO_NAME,
            start=window.start,
            end=window.end,
            region=region,
            other_region=other,
        )
        for region, other in pairs
    ]
