"""Record of the executions at a target, as kept by the stand-ins."""

import msgspec


class Execution(msgspec.Struct, kw_only=True):
    """One execution of a request; `at` is its start in seconds since the Unix epoch.

    `first_token` is above 0 if the request resumed a stream. `seconds` is the time
    that the request spent at the target, including queueing; it is 0 until the end.
    """

    path: str
    method: str
    request_id: str
    operation_id: str
    body_digest: str
    at: float
    first_token: int = 0
    seconds: float = 0.0
