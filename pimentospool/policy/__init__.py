"""Decisions of the gateway: no input or output, no clock and no global random."""

from pimentospool.policy._api_keys import KEY_DIGEST_BYTES, KeyTable, key_digest
from pimentospool.policy._brittle_targets import BrittleTargets
from pimentospool.policy._cached_parts import CachedParts, preferred_target
from pimentospool.policy._completion import (
    StreamExpectations,
    StreamPlan,
    is_narrower,
    reserve_seconds,
)
from pimentospool.policy._configuration_age import (
    ConfigurationAge,
    choose_query_receivers,
)
from pimentospool.policy._connection_table import Admission, ConnectionTable
from pimentospool.policy._continuations import StreamPosition, continuation_head_fault
from pimentospool.policy._crash_evidence import (
    CrashEvidence,
    RequestTraits,
    SuspectKind,
    part_key,
)
from pimentospool.policy._crash_suspects import SURVIVAL_SECONDS, CrashSuspects
from pimentospool.policy._doubted_starts import (
    DoubtedStarts,
    DoubtNotice,
    ProofNotice,
)
from pimentospool.policy._drills import DrillSchedule
from pimentospool.policy._entries import rank_entries
from pimentospool.policy._flights import RegionFlight, TargetFlight
from pimentospool.policy._head_budget import (
    ORDINARY_HEAD_BYTES,
    HeadBudget,
    HeadHold,
    head_cost,
)
from pimentospool.policy._heartbeat_table import EntryState, HeartbeatTable
from pimentospool.policy._known_starts import (
    LAPSED_SECONDS,
    MAX_LAPSED_STARTS,
    KnownStarts,
)
from pimentospool.policy._leaving import RouteKey, RouteTimes, ends_in_time
from pimentospool.policy._limits import CustomerLimiter, LimitRefusal
from pimentospool.policy._membership import (
    ChangeKind,
    MemberChange,
    Membership,
    newer_member,
)
from pimentospool.policy._memory_budget import AnswerHold, MemoryBudget, MemoryHold
from pimentospool.policy._named_limits import LimitNotice, NamedLimits
from pimentospool.policy._occupancy import Assignment, Occupancy, OccupancyBook
from pimentospool.policy._operations import (
    HeldAnswer,
    Join,
    LedgerLimits,
    OperationCall,
    OperationLedger,
    OperationRef,
    OperationState,
    Replay,
    Start,
)
from pimentospool.policy._pace import Pace, PaceLimits
from pimentospool.policy._queue import QueueRefusal, QueueTicket, WaitQueue
from pimentospool.policy._quota_buckets import (
    REFUND_SECONDS,
    START_SHARE,
    BucketDecision,
    BucketLimits,
    QuotaBucket,
    RecentDecisions,
)
from pimentospool.policy._quota_owners import (
    HeardMembers,
    OwnerRanks,
    fallback_share,
    region_share,
    standin_share,
    startup_share,
)
from pimentospool.policy._quota_weights import (
    OVERCOMMIT_SHARE,
    DemandMeter,
    RegionWeights,
    region_weight,
)
from pimentospool.policy._refusals import Refusal, owner_gone
from pimentospool.policy._relays import RelayCandidate, choose_relays
from pimentospool.policy._rendezvous import rank_members
from pimentospool.policy._reports import ReportBook, newer_report
from pimentospool.policy._retries import RetryDecision, RetryPolicy
from pimentospool.policy._revisions import RefusedRevision, RevisionBook, is_newer
from pimentospool.policy._routes import (
    RegionRoute,
    RouteQuery,
    RouteRefusal,
    TargetRoute,
)
from pimentospool.policy._routing import Route, Router
from pimentospool.policy._scores import RouteReason, Score
from pimentospool.policy._service_pace import ServicePace
from pimentospool.policy._shared_limits import (
    ColdStartLimiter,
    SharedRetryBudget,
    responsible_entry,
)
from pimentospool.policy._shares import QuotaShares
from pimentospool.policy._socket_shares import Listener, SocketShares, share_sockets
from pimentospool.policy._start_doubt import REGISTRATION_SECONDS, StartDoubt
from pimentospool.policy._stream_lengths import StatedLength
from pimentospool.policy._stream_pace import StreamObserver
from pimentospool.policy._stream_versions import (
    FOLLOWED_SECONDS,
    MAX_STREAM_SECONDS,
    UNPROVED_VERSION,
    OriginEvidence,
    StreamKnowledge,
    StreamVersions,
    stream_key,
)
from pimentospool.policy._target_choice import (
    Candidate,
    NoChoice,
    RegionChoice,
    RemoteRegion,
    TargetChoice,
    answers_within,
    choose_destination,
)
from pimentospool.policy._target_contact import (
    NeighbourContacts,
    NeighbourUse,
    TargetContact,
    neighbour_use,
)
from pimentospool.policy._target_health import TargetHealth
from pimentospool.policy._warm_up import WarmUp

__all__ = [
    "FOLLOWED_SECONDS",
    "KEY_DIGEST_BYTES",
    "LAPSED_SECONDS",
    "MAX_LAPSED_STARTS",
    "MAX_STREAM_SECONDS",
    "ORDINARY_HEAD_BYTES",
    "OVERCOMMIT_SHARE",
    "REFUND_SECONDS",
    "REGISTRATION_SECONDS",
    "START_SHARE",
    "SURVIVAL_SECONDS",
    "UNPROVED_VERSION",
    "Admission",
    "AnswerHold",
    "Assignment",
    "BrittleTargets",
    "BucketDecision",
    "BucketLimits",
    "CachedParts",
    "Candidate",
    "ChangeKind",
    "ColdStartLimiter",
    "ConfigurationAge",
    "ConnectionTable",
    "CrashEvidence",
    "CrashSuspects",
    "CustomerLimiter",
    "DemandMeter",
    "DoubtNotice",
    "DoubtedStarts",
    "DrillSchedule",
    "EntryState",
    "HeadBudget",
    "HeadHold",
    "HeardMembers",
    "HeartbeatTable",
    "HeldAnswer",
    "Join",
    "KeyTable",
    "KnownStarts",
    "LedgerLimits",
    "LimitNotice",
    "LimitRefusal",
    "Listener",
    "MemberChange",
    "Membership",
    "MemoryBudget",
    "MemoryHold",
    "NamedLimits",
    "NeighbourContacts",
    "NeighbourUse",
    "NoChoice",
    "Occupancy",
    "OccupancyBook",
    "OperationCall",
    "OperationLedger",
    "OperationRef",
    "OperationState",
    "OriginEvidence",
    "OwnerRanks",
    "Pace",
    "PaceLimits",
    "ProofNotice",
    "QueueRefusal",
    "QueueTicket",
    "QuotaBucket",
    "QuotaShares",
    "RecentDecisions",
    "Refusal",
    "RefusedRevision",
    "RegionChoice",
    "RegionFlight",
    "RegionRoute",
    "RegionWeights",
    "RelayCandidate",
    "RemoteRegion",
    "Replay",
    "ReportBook",
    "RequestTraits",
    "RetryDecision",
    "RetryPolicy",
    "RevisionBook",
    "Route",
    "RouteKey",
    "RouteQuery",
    "RouteReason",
    "RouteRefusal",
    "RouteTimes",
    "Router",
    "Score",
    "ServicePace",
    "SharedRetryBudget",
    "SocketShares",
    "Start",
    "StartDoubt",
    "StatedLength",
    "StreamExpectations",
    "StreamKnowledge",
    "StreamObserver",
    "StreamPlan",
    "StreamPosition",
    "StreamVersions",
    "SuspectKind",
    "TargetChoice",
    "TargetContact",
    "TargetFlight",
    "TargetHealth",
    "TargetRoute",
    "WaitQueue",
    "WarmUp",
    "answers_within",
    "choose_destination",
    "choose_query_receivers",
    "choose_relays",
    "continuation_head_fault",
    "ends_in_time",
    "fallback_share",
    "head_cost",
    "is_narrower",
    "is_newer",
    "key_digest",
    "neighbour_use",
    "newer_member",
    "newer_report",
    "owner_gone",
    "part_key",
    "preferred_target",
    "rank_entries",
    "rank_members",
    "region_share",
    "region_weight",
    "reserve_seconds",
    "responsible_entry",
    "share_sockets",
    "standin_share",
    "startup_share",
    "stream_key",
]
