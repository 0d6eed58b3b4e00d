"""Exchange of load summaries between entry VMs."""

import asyncio
from collections.abc import Callable

import msgspec

from pimentospool._generated.loads import RegionSummary
from pimentospool._generated.peers import Report
from pimentospool.control import ControlPlane
from pimentospool.peers import LOAD_PREFIX
from pimentospool.policy import QuotaShares, Router

_BEAT_SECONDS = 0.5
_MAX_SENDERS = 24


class SummaryExchange:
    """Publishes this entry VM's load summary and takes in those of others.

    In a small deployment every entry VM publishes one. Above a fixed number only the
    readers of each zone do, so that the messages grow with the zones.

    Parameters
    ----------
    control : ControlPlane
        Spreads the summaries.
    router : Router
        Makes and receives them.
    shares : QuotaShares
        Hears which entry VMs there are.
    clock : callable
        Monotonic time in seconds, the router's own.
    """

    def __init__(
        self,
        *,
        control: ControlPlane,
        router: Router,
        shares: QuotaShares,
        clock: Callable[[], float],
    ) -> None:
        self._control = control
        self._router = router
        self._shares = shares
        self._clock = clock
        control.node.state.report_changed.connect(self._follow_report)

    async def run(self) -> None:
        """Publish over and over, and tell the router what the fleet knows."""
        while True:
            self._update_router()
            entries = self._control.fleet.entry_ids()
            if len(entries) <= _MAX_SENDERS or self._control.node.is_reader:
                self._publish()
            await asyncio.sleep(_BEAT_SECONDS)

    def _update_router(self) -> None:
        fleet = self._control.fleet
        own = self._control.node.state.members.own
        self._router.set_leaving(fleet.leaving_targets())
        self._router.set_entry_count(len(fleet.entries(own.region)))
        self._shares.set_entries(fleet.entry_ids())

    def _publish(self) -> None:
        node = self._control.node
        summary = msgspec.msgpack.encode(self._router.region_summary())
        node.publish(LOAD_PREFIX + node.state.members.own.id, summary)

    def _follow_report(self, report: Report) -> None:
        if not report.key.startswith(LOAD_PREFIX):
            self._router.set_leaving(self._control.fleet.leaving_targets())
            return
        try:
            summary = msgspec.msgpack.decode(report.data, type=RegionSummary)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return
        self._router.set_region_summary(summary, self._clock())
