"""A drill of a real service, from its status pages and its callers' records."""

import asyncio

from drill_records import MANIFEST, make_record

from pimentospool._generated.manifest import DrillKind, DrillWindow
from pimentospool._generated.scenario import FaultKind
from pimentospool._generated.status import EntryStatus, RevisionStatus
from pimentospool.addresses import free_addresses
from pimentospool.admin import AdminServer
from pimentospool.drill import LiveWatch, Promise, declared_faults, make_report
from pimentospool.status import STATUS_PATH, status_page


class AdminSettings:
    id = "g1"

    def __init__(self, address):
        self.admin_address = address


def test_status_pages_and_records_are_checked(runner):
    revisions = iter([3, 3, 2, *[3] * 100])

    def make_page():
        revision = RevisionStatus(number=next(revisions))
        return status_page(
            EntryStatus(
                entry="g1",
                region="gulf",
                zone="gulf-a",
                life=1,
                leaving=False,
                revision=revision,
            )
        )

    async def watch_service():
        address = free_addresses(1)[0]
        admin = AdminServer(cfg=AdminSettings(address))
        admin.add_page(STATUS_PATH, make_page)
        await admin.start()
        watch = LiveWatch(manifest=MANIFEST, admin_addresses=[address])
        async with asyncio.timeout(20):
            while len(watch.evidence.samples) < 4:
                await watch.run(0.5)
        await admin.close()
        watch.add_records([make_record("a")])
        return make_report(watch.evidence, seed=None)

    report = runner.run(watch_service())
    results = {item.promise: item for item in report.promises}
    assert results[Promise.CONFIGURATION.value].verdict == "broken"
    assert results[Promise.WHOLE_ANSWERS.value].verdict == "held"
    assert results[Promise.AT_MOST_ONCE.value].verdict == "not tried"
    assert not report.held


def test_drill_windows_become_fault_windows():
    link = DrillWindow(
        kind=DrillKind.LINK, regions=["gulf", "delta"], start=1.0, end=2.0
    )
    (fault,) = declared_faults(link)
    assert (fault.kind, fault.region, fault.other_region) == (
        FaultKind.LINK_CUT,
        "gulf",
        "delta",
    )
    regions = DrillWindow(
        kind=DrillKind.REGION, regions=["gulf", "delta"], start=1.0, end=2.0
    )
    assert [fault.region for fault in declared_faults(regions)] == ["gulf", "delta"]
    configuration = DrillWindow(kind=DrillKind.CONFIGURATION, start=1.0, end=2.0)
    (fault,) = declared_faults(configuration)
    assert fault.kind is FaultKind.CONFIGURATION_DOWN
