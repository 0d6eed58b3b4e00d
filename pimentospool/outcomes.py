"""How requests ended; the dispatcher's ``request_ended`` signal carries it."""

import msgspec

from pimentospool.errors import Reason
from pimentospool.ids import CustomerId, RegionId, RequestId, TargetId
from pimentospool.requests import RequestKind
from pimentospool.verdicts import Verdict


class RequestOutcome(msgspec.Struct, kw_only=True, frozen=True):
    """The end of one request at one entry VM; times in seconds.

    A request that was sent to another region ends once at each of the two entry
    VMs; the second one has `hopped` set.
    """

    request_id: RequestId
    customer: CustomerId
    kind: RequestKind
    verdict: Verdict
    hopped: bool
    attempts: int
    total_seconds: float
    first_seconds: float | None = None
    reason: Reason | None = None
    served_by: TargetId | None = None
    sent_to: RegionId | None = None
    answer_bytes: int = 0
