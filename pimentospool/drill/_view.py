"""The view of a running drill on a terminal."""

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
from pimentospool.drill._promise_checker import Judge
from pimentospool.drill._runner import DrillProgress
from pimentospool.ids import RegionId

_REFRESH_SECONDS = 0.5
_JUDGE_SECONDS = 4.0
_RECENT_SECONDS = 2.0
_STYLES = {"held": "green", "broken": "bold red", "not tried": "yellow"}


class DrillView:
    """Shows regions, traffic, the current failures and the promises.

    Parameters
    ----------
    console : rich.console.Console
        Terminal to write to.
    progress : DrillProgress
        What is shown.
    """

    def __init__(self, *, console: Console, progress: DrillProgress) -> None:
        self._console = console
        self._progress = progress
        self._results: list[PromiseResult] = []
        self._judged_at = 0.0

    async def run(self) -> None:
        """Show the drill until cancelled."""
        with (
            Live(console=self._console, auto_refresh=False, transient=True) as live,
            suppress(asyncio.CancelledError),
        ):
            while True:
                live.update(self.render(), refresh=True)
                await asyncio.sleep(_REFRESH_SECONDS)

    def render(self) -> RenderableType:
        """Return what the terminal shows now."""
        return Group(self._title(), self._regions(), self._promises())

    def _title(self) -> Text:
        progress = self._progress
        title = progress.scenario.title if progress.scenario else "starting"
        faults = ", ".join(item.describe() for item in progress.faults.current())
        text = Text(f"{progress.fleet.manifest.deployment}: {title}\n", style="bold")
        text.append(f"now: {faults or 'no failure'}", style="bold yellow")
        return text

    def _regions(self) -> Table:
        table = Table(title=f"last {_RECENT_SECONDS:g} s")
        for name in ("region", "entry VMs answering", "revision"):
            table.add_column(name)
        for name in ("requests", *(outcome.value for outcome in CallOutcome)):
            table.add_column(name, justify="right")
        for region in self._progress.fleet.regions():
            table.add_row(region, *self._entries(region), *self._traffic(region))
        return table

    def _entries(self, region: RegionId) -> tuple[str, str]:
        entries = self._progress.fleet.entries_of(region)
        latest = self._progress.observer.latest
        seen = [latest[entry] for entry in entries if entry in latest]
        revisions = sorted({str(sample.revision) for sample in seen})
        return f"{len(seen)} of {len(entries)}", ", ".join(revisions)

    def _traffic(self, region: RegionId) -> list[str]:
        since = time.time() - _RECENT_SECONDS
        counts: Counter[CallOutcome] = Counter()
        for record in reversed(self._progress.records):
            if record.ended_at < since:
                break
            if record.region == region:
                counts[record.outcome] += 1
        shown = [sum(counts.values()), *(counts[outcome] for outcome in CallOutcome)]
        return [str(count) for count in shown]

    def _promises(self) -> Table:
        now = time.monotonic()
        if now - self._judged_at > _JUDGE_SECONDS:
            self._results = Judge(evidence=self._progress.evidence()).results()
            self._judged_at = now
        table = Table(title="promises so far")
        for name in ("promise", "tried", "broken", "result"):
            justify = "right" if name in ("tried", "broken") else "left"
            table.add_column(name, justify=justify)  # type: ignore[arg-type]
        for item in self._results:
            state = Text(item.verdict, style=_STYLES[item.verdict])
            table.add_row(item.promise.value, str(item.tried), str(item.broken), state)
        return table
