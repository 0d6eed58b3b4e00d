"""Decisions of the gateway: no input or output, no clock and no global random."""

from pimentospool.policy._drills import DrillView
from pimentospool.policy._entries import rank_entries
from pimentospool.policy._membership import (
    ChangeKind,
    MemberChange,
    Membership,
    newer_member,
)
from pimentospool.policy._readers import rank_members
from pimentospool.policy._reports import ReportBook, newer_report
from pimentospool.policy._revisions import RefusedRevision, RevisionBook, is_newer
from pimentospool.policy._routing import (
    RegionRoute,
    RouteQuery,
    Router,
    RouteRefusal,
    TargetRoute,
)

__all__ = [
    "ChangeKind",
    "DrillView",
    "MemberChange",
    "Membership",
    "RefusedRevision",
    "RegionRoute",
    "ReportBook",
    "RevisionBook",
    "RouteQuery",
    "RouteRefusal",
    "Router",
    "TargetRoute",
    "is_newer",
    "newer_member",
    "newer_report",
    "rank_entries",
    "rank_members",
]
