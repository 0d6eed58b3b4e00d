"""Status page of an entry process, for operators."""

import msgspec

from pimentospool._generated.settings import EntrySettings
from pimentospool._generated.status import (
    DrillStatus,
    EntryStatus,
    MemberStatus,
    PlatformStatus,
    RefusedStatus,
    RevisionStatus,
    ZoneStatus,
)
from pimentospool.admin import Page
from pimentospool.control import ControlPlane
from pimentospool.views import View

STATUS_PATH = "/status"
_NEVER_SEEN_AGE_SECONDS = -1.0


def status_page(status: EntryStatus) -> Page:
    """Return `status` as an admin page."""
    return Page(content_type="application/json", body=msgspec.json.encode(status))


def control_status(
    *, control: ControlPlane, view: View, cfg: EntrySettings, in_progress: int
) -> EntryStatus:
    """Return the status of one entry process."""
    members = control.node.state.members
    return EntryStatus(
        entry=cfg.id,
        region=cfg.region,
        zone=cfg.zone,
        life=members.own.life,
        leaving=control.leaving,
        doubtful=control.recheck_pending,
        in_progress=in_progress,
        revision=_revision_status(control),
        platform=_platform_status(control),
        members=[
            MemberStatus(
                id=member.id,
                zone=member.zone,
                state=member.state.value,
                incarnation=member.incarnation,
            )
            for member in sorted(members.records(), key=lambda item: item.id)
        ],
        zones=_zone_statuses(control),
        leaving_targets=sorted(control.fleet.leaving_targets()),
        targets=len(view.index.targets) if view.revision else 0,
        drill_windows=[
            DrillStatus(kind=win.kind.value, regions=list(win.regions), end=win.end)
            for win in control.drill_windows()
        ],
    )


def _revision_status(control: ControlPlane) -> RevisionStatus:
    book = control.sync.book
    return RevisionStatus(
        number=book.active.number,
        digest=book.active.digest,
        age_seconds=control.revision_age,
        refused=[
            RefusedStatus(
                number=item.head.number, digest=item.head.digest, faults=item.faults
            )
            for item in book.refused
        ],
    )


def _platform_status(control: ControlPlane) -> PlatformStatus:
    return PlatformStatus(
        reader=control.node.is_reader,
        configuration_age_seconds=control.node.state.contact_age,
        vm_list_age_seconds=control.vm_list_age,
    )


def _zone_statuses(control: ControlPlane) -> list[ZoneStatus]:
    now = control.now()
    zones = control.node.zones
    statuses = []
    for summary in zones.summaries():
        age = zones.age(summary.zone, now=now)
        statuses.append(
            ZoneStatus(
                zone=summary.zone,
                region=summary.region,
                entries=summary.entries,
                age_seconds=_NEVER_SEEN_AGE_SECONDS if age is None else age,
                reachable=zones.reachable(summary.zone, now=now),
            )
        )
    return sorted(statuses, key=lambda item: item.zone)
