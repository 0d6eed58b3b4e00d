"""Terminal view of a running drill."""

import asyncio
import time
from collections import Counter
from contextlib import suppress

from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table
from rich.text import Text

from pimentospool._generated.records import CallOutcome
from pimentospool.drill._evidence import PromiseResult
from pimentospool.drill._promise_checker import PromiseChecker
from pimentospool.drill._runner import DrillProgress
from pimentospool.ids import RegionId

_REFRESH_INTERVAL_SECONDS = 0.5
_CHECK_INTERVAL_SECONDS = 4.0
_TRAFFIC_WINDOW_SECONDS = 2.0
_STYLES = {"held": "green", "broken": "bold red", "not tried": "yellow"}


class DrillView:
    """Shows the regions, their traffic, the active failures and the promises.

    Parameters
    ----------
    console : rich.console.Console
        Terminal to write to.
    progress : DrillProgress
        The running drill.
    """

    def __init__(self, *, console: Console, progress: DrillProgress) -> None:
        self._console = console
        self._progress = progress
        self._results: list[PromiseResult] = []
        self._checked_at = 0.0

    async def run(self) -> None:
        """Show the drill until cancelled."""
        with (
            Live(console=self._console, auto_refresh=False, transient=True) as live,
            suppress(asyncio.CancelledError),
        ):
            while True:
                live.update(self.render(), refresh=True)
                await asyncio.sleep(_REFRESH_INTERVAL_SECONDS)

    def render(self) -> RenderableType:
        """Return the view of the drill's current state."""
        return Group(self._title(), self._regions_table(), self._promises_table())

    def _title(self) -> Text:
        progress = self._progress
        title = progress.scenario.title if progress.scenario else "starting"
        faults = ", ".join(item.describe() for item in progress.faults.active_windows())
        text = Text(f"{progress.fleet.manifest.deployment}: {title}\n", style="bold")
        text.append(f"now: {faults or 'no failure'}", style="bold yellow")
        return text

    def _regions_table(self) -> Table:
        table = Table(title=f"last {_TRAFFIC_WINDOW_SECONDS:g} s")
        for name in ("region", "entry VMs answering", "revision"):
            table.add_column(name)
        for name in ("requests", *(outcome.value for outcome in CallOutcome)):
            table.add_column(name, justify="right")
        for region in self._progress.fleet.regions():
            table.add_row(
                region, *self._entry_cells(region), *self._traffic_cells(region)
            )
        return table

    def _entry_cells(self, region: RegionId) -> tuple[str, str]:
        entries = self._progress.fleet.entries_of(region)
        latest = self._progress.observer.latest
        samples = [latest[entry] for entry in entries if entry in latest]
        revisions = sorted({str(sample.revision) for sample in samples})
        return f"{len(samples)} of {len(entries)}", ", ".join(revisions)

    def _traffic_cells(self, region: RegionId) -> list[str]:
        since = time.time() - _TRAFFIC_WINDOW_SECONDS
        counts: Counter[CallOutcome] = Counter()
        for record in reversed(self._progress.records):
            if record.ended_at < since:
                break
            if record.region == region:
                counts[record.outcome] += 1
        cells = [sum(counts.values()), *(counts[outcome] for outcome in CallOutcome)]
        return [str(count) for count in cells]

    def _promises_table(self) -> Table:
        now = time.monotonic()
        if now - self._checked_at > _CHECK_INTERVAL_SECONDS:
            self._results = PromiseChecker(evidence=self._progress.evidence()).results()
            self._checked_at = now
        table = Table(title="promises so far")
        for name in ("promise", "tried", "broken", "result"):
            justify = "right" if name in ("tried", "broken") else "left"
            table.add_column(name, justify=justify)  # type: ignore[arg-type]
        for item in self._results:
            state = Text(item.verdict, style=_STYLES[item.verdict])
            table.add_row(item.promise.value, str(item.tried), str(item.broken), state)
        return table
