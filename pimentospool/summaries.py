"""Exchange of load summaries between entry VMs."""

import asyncio
import math
from collections.abc import Callable

import msgspec

from pimentospool._generated.loads import RegionSummary
from pimentospool._generated.peers import Report
from pimentospool.control import ControlPlane
from pimentospool.peers import LOAD_PREFIX
from pimentospool.policy import QuotaShares, Router

_MIN_INTERVAL_SECONDS = 0.5
_MAX_SENDERS = 24
_MAX_BYTES_PER_SECOND = 2500.0


def publish_interval(*, senders: int, size: int) -> float:
    """Return the seconds between two summaries of one sender.

    The interval grows with the number of senders, so that all summaries together stay
    below a fixed number of bytes per second.

    Parameters
    ----------
    senders : int
        Entry VMs that publish summaries.
    size : int
        Length of a summary in bytes.
    """
    return max(_MIN_INTERVAL_SECONDS, senders * size / _MAX_BYTES_PER_SECOND)


def may_publish(*, entries: int, reader: bool) -> bool:
    """Return whether an entry VM publishes its own summary.

    Parameters
    ----------
    entries : int
        Known entry VMs of the deployment.
    reader : bool
        Whether this entry VM acts for its zone.
    """
    return reader or entries <= _MAX_SENDERS


class SummaryExchange:
    """Publishes the local load summary and passes those of others to the router.

    In a small deployment every entry VM publishes one. Above a fixed number of entry
    VMs only the readers of each zone do, so that the number of messages grows with the
    number of zones.

    Parameters
    ----------
    control : ControlPlane
        Publishes the summaries by gossip and receives those of others.
    router : Router
        Creates the local summary and uses those of others.
    shares : QuotaShares
        Receives the ids of all entry VMs.
    clock : callable
        Monotonic time in seconds; has to be the router's clock.
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
        self._published_at = -math.inf
        control.node.state.report_changed.connect(self._on_report)

    async def run(self) -> None:
        """Update the router, and publish a summary whenever one is due, without end."""
        while True:
            self._update_router()
            entries = len(self._control.fleet.entry_ids())
            if may_publish(entries=entries, reader=self._control.node.is_reader):
                self._publish()
            await asyncio.sleep(_MIN_INTERVAL_SECONDS)

    def _update_router(self) -> None:
        fleet = self._control.fleet
        own = self._control.node.state.members.own
        self._router.set_leaving(fleet.leaving_targets())
        self._router.set_entry_count(len(fleet.entries(own.region)))
        self._shares.set_entries(fleet.entry_ids())

    def _publish(self) -> None:
        node = self._control.node
        summary = msgspec.msgpack.encode(self._router.region_summary())
        senders = len(node.state.reports.with_prefix(LOAD_PREFIX)) + 1
        interval = publish_interval(senders=senders, size=len(summary))
        now = self._clock()
        if now - self._published_at >= interval - _MIN_INTERVAL_SECONDS / 2:
            self._published_at = now
            node.publish(LOAD_PREFIX + node.state.members.own.id, summary)

    def _on_report(self, report: Report) -> None:
        if not report.key.startswith(LOAD_PREFIX):
            self._router.set_leaving(self._control.fleet.leaving_targets())
            return
        try:
            summary = msgspec.msgpack.decode(report.data, type=RegionSummary)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return
        self._router.set_region_summary(summary, self._clock())
