"""Gauges of the control plane."""

from pimentospool.control import ControlPlane
from pimentospool.metrics import EntryMetrics


def add_control_gauges(metrics: EntryMetrics, control: ControlPlane) -> None:
    """Add gauges of an entry process's control plane to its metrics."""
    state, zones = control.node.state, control.node.zones
    metrics.add_gauge(
        "pimentospool_platform_contact_age_seconds",
        "Time since the zone last heard from the configuration service; -1 if never.",
        lambda: state.contact_age,
    )
    metrics.add_gauge(
        "pimentospool_revisions_refused",
        "Revisions that failed their check and are remembered.",
        lambda: len(control.sync.book.refused),
    )
    metrics.add_gauge(
        "pimentospool_zone_members_live",
        "Entry VMs of this zone that take requests.",
        lambda: len(state.members.live()),
    )
    metrics.add_gauge(
        "pimentospool_zones_reachable",
        "Other availability zones that gave a sign of life lately.",
        lambda: sum(zones.reachable(zone, now=control.now()) for zone in zones.zones()),
    )
    metrics.add_gauge(
        "pimentospool_platform_reader",
        "1 while this process reads the platform for its zone.",
        lambda: control.node.is_reader,
    )
    metrics.add_gauge(
        "pimentospool_view_doubtful",
        "1 while the view is being checked after a pause.",
        lambda: control.recheck_pending,
    )
