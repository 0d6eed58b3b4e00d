"""What a target ran, as it records it itself."""

import msgspec


class Execution(msgspec.Struct, kw_only=True):
    """One execution of a request; `at` is in seconds since the Unix epoch.

    `first_token` is above 0 where a stream was resumed. `seconds` is the time that
    the request has spent at the target, its wait included; 0 until it ends.
    """

    path: str
    method: str
    request_id: str
    operation_id: str
    body_digest: str
    at: float
    first_token: int = 0
    seconds: float = 0.0
