"""Structured log of numbered events.

The number of an event never changes; ``docs/events.md`` lists all events.
"""

from enum import Enum
from typing import Any

import logbook

logger = logbook.Logger("pimentospool")


class Event(Enum):
    """Numbered log events: ``(number, level, message)``."""

    ENTRY_STARTED = (1001, logbook.INFO, "entry process started to serve callers")
    ENTRY_LEAVING = (
        1002,
        logbook.NOTICE,
        "entry process drains and takes no new requests",
    )
    ENTRY_STOPPED = (1003, logbook.INFO, "entry process stopped")
    ENTRY_DRAIN_EXPIRED = (
        1004,
        logbook.ERROR,
        "requests were aborted at the drain timeout",
    )
    CERTIFICATE_LOADED = (1006, logbook.NOTICE, "changed certificate loaded")
    CERTIFICATE_REFUSED = (
        1007,
        logbook.ERROR,
        "changed certificate could not be loaded",
    )
    TASK_FAILED = (1012, logbook.ERROR, "background task failed and is restarted")
    LOG_LINES_LOST = (1011, logbook.WARNING, "log lines were dropped")
    TRACES_LOST = (1008, logbook.WARNING, "trace spans could not be exported")
    REQUEST_REFUSED = (2001, logbook.INFO, "request refused")
    REQUEST_INVALID = (2010, logbook.INFO, "request that can't be read rejected")
    HEADS_REFUSED = (2016, logbook.WARNING, "heads of a connection found no memory")
    CONNECTIONS_ENDED = (2017, logbook.WARNING, "connections ended at a limit")
    REQUEST_ERROR = (2003, logbook.ERROR, "unexpected error in a request")
    QUOTA_REFUSED = (2013, logbook.INFO, "request refused by its tenant's quota")
    QUOTA_FALLBACK = (
        2014,
        logbook.WARNING,
        "no owner of a tenant's quota answers; few requests are admitted",
    )
    QUOTA_OWNED = (
        2015,
        logbook.NOTICE,
        "this entry VM counts a tenant's quota for its region, or no longer",
    )
    TARGET_SILENT = (2101, logbook.WARNING, "target does not answer load queries")
    TARGET_REPORTS = (2102, logbook.NOTICE, "target answers load queries again")
    REVISION_ADOPTED = (3001, logbook.NOTICE, "configuration revision is active")
    REVISION_REFUSED = (3002, logbook.ERROR, "configuration revision refused")
    PLATFORM_UNREACHABLE = (3003, logbook.WARNING, "configuration service unreachable")
    PLATFORM_BACK = (3004, logbook.NOTICE, "configuration service reachable again")
    PLATFORM_STALE = (
        3005,
        logbook.WARNING,
        "configuration service returned an older revision",
    )
    REVISION_CONFLICT = (3006, logbook.ERROR, "two revisions have the same number")
    REVISION_FETCH_FAILED = (3007, logbook.WARNING, "revision could not be fetched")
    DRILL_WINDOWS_CHANGED = (3008, logbook.NOTICE, "active drill windows changed")
    CONFIGURATION_ADOPTED = (3101, logbook.NOTICE, "configuration version is active")
    STORE_UNREACHABLE = (3102, logbook.WARNING, "platform store unreachable")
    STORE_RESTORED = (3131, logbook.WARNING, "platform store restored from a copy")
    FACTS_FOLLOWED = (3132, logbook.INFO, "changes read from another entry VM")
    FACTS_READ_DIRECTLY = (3133, logbook.NOTICE, "relays have no news of the store")
    CONFIGURATION_BEHIND = (
        3135,
        logbook.NOTICE,
        "request came with a configuration that is not known here",
    )
    CONFIGURATION_INCOMPLETE = (
        3142,
        logbook.NOTICE,
        "configuration of an older build not adopted, as it lacks the tenants",
    )
    KEYS_UNCONFIRMED = (
        3151,
        logbook.WARNING,
        "API keys are refused, as they may have been withdrawn",
    )
    KEYS_CONFIRMED = (3152, logbook.NOTICE, "API keys are accepted again")
    STORE_BACK = (3103, logbook.NOTICE, "platform store reachable again")
    STORE_ENTRY_SKIPPED = (3104, logbook.WARNING, "store entry could not be read")
    STORE_HISTORY_LOST = (
        3105,
        logbook.WARNING,
        "store history lost; reading everything again",
    )
    VIEW_TAKEN = (3106, logbook.NOTICE, "view copied from another entry VM")
    VIEW_REFUSED = (3107, logbook.WARNING, "another entry VM's view cannot be read")
    TARGET_REGISTERED = (3111, logbook.NOTICE, "target registered")
    TARGET_LEAVING = (3112, logbook.NOTICE, "target takes no new requests")
    TARGET_REMOVED = (3113, logbook.NOTICE, "target removed")
    TARGET_EJECTED = (3114, logbook.WARNING, "target failed; it gets few requests")
    TARGET_CRASHED = (3116, logbook.WARNING, "target crashed under unanswered requests")
    PART_QUARANTINED = (3117, logbook.WARNING, "part of prompts kept from targets")
    PART_RELEASED = (3118, logbook.NOTICE, "part of prompts sent to targets again")
    REQUEST_QUARANTINED = (3123, logbook.WARNING, "request kept from targets")
    REQUEST_RELEASED = (3124, logbook.NOTICE, "request sent to targets again")
    TARGET_LIMITED = (3119, logbook.WARNING, "target named the rate that it takes")
    TARGET_UNREADABLE = (3130, logbook.WARNING, "entry of a target became unreadable")
    TARGET_QUIET = (3125, logbook.NOTICE, "target wants no requests for a time")
    ANSWER_HELD_BACK = (3141, logbook.WARNING, "an answer waited for room in memory")
    TARGET_BRITTLE = (3126, logbook.NOTICE, "target says whether it is brittle")
    TARGET_UNLIMITED = (3120, logbook.NOTICE, "target names no limit any more")
    TARGETS_OUT_OF_REACH = (3136, logbook.WARNING, "no target of the region is reached")
    TARGETS_REACHED = (3137, logbook.NOTICE, "targets of the region are reached again")
    TARGET_COLD = (3115, logbook.NOTICE, "target reported how long it stays cold")
    VERSIONS_MIXED = (
        3127,
        logbook.NOTICE,
        "streams of several software versions of a service may go on, or no longer",
    )
    STREAMS_LEARNED = (
        3128,
        logbook.NOTICE,
        "versions of earlier streams read from another entry VM",
    )
    STREAM_ORIGIN_SOUGHT = (
        3129,
        logbook.NOTICE,
        "version that began a stream sought beyond the records of this entry VM",
    )
    TARGET_START_CHECKED = (
        3138,
        logbook.NOTICE,
        "start of a target checked whose connections were lost",
    )
    TARGET_START_DOUBTED = (
        3139,
        logbook.NOTICE,
        "target may have started again, or no longer",
    )
    TARGET_START_ASKED = (
        3140,
        logbook.NOTICE,
        "target asked whether it has started again",
    )
    ZONE_EVACUATED = (3121, logbook.NOTICE, "zone evacuated")
    ZONE_RESTORED = (3122, logbook.NOTICE, "zone restored; its targets count as cold")
    SETTINGS_RELOADED = (1009, logbook.NOTICE, "settings file reloaded")
    SETTINGS_REFUSED = (1010, logbook.ERROR, "changed settings file refused")
    REQUEST_SERVED = (2004, logbook.INFO, "request answered")
    REQUEST_FAILED = (2005, logbook.INFO, "request ended without its response")
    CALLER_LEFT = (
        2008,
        logbook.INFO,
        "caller disconnected before the end of the response",
    )
    REQUEST_ENDED_BY_SHUTDOWN = (
        2012,
        logbook.WARNING,
        "request was still at work as the process ended",
    )
    REQUEST_PLACED = (2007, logbook.INFO, "destination chosen for an attempt")
    ATTEMPT_FAILED = (2006, logbook.INFO, "attempt failed")
    MEMBER_CHANGED = (5001, logbook.NOTICE, "entry VM changed state")
    PEER_MESSAGE_REFUSED = (5002, logbook.WARNING, "message from a peer refused")
    PROCESS_PAUSED = (5003, logbook.WARNING, "process was paused; checking its view")
    ENTRY_ID_TAKEN = (5004, logbook.ERROR, "a newer process uses this entry id")

    @property
    def number(self) -> int:
        """Number that identifies the event."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Level at which the event is logged."""
        return self.value[1]

    @property
    def message(self) -> str:
        """Fixed text of the event."""
        return self.value[2]


def log_event(event: Event, **fields: Any) -> None:
    """Log `event` with its fields; values must be of types that JSON holds."""
    logger.log(event.level, event.message, extra={"event": event, "fields": fields})
