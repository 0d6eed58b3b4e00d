"""Header names on the wire, in lower case, and which headers are not passed on."""

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-request-deadline"
"""Milliseconds for which the caller waits, from when it sent the request."""
EXPECT_INSTANCE = b"x-expect-instance"
PRIORITY = b"x-request-priority"
TOKEN_COUNT = b"x-token-count"
"""Tokens of the prompt and most tokens of the answer, separated by a comma."""
PROMPT_PREFIX = b"x-prompt-prefix"
"""Parts of the whole prompt in order, not only of its beginning."""
LAST_EVENT = b"last-event-id"
SEAL = b"x-response-seal"
NOT_EXECUTED = b"x-not-executed"
COLD_REMAINING = b"x-cold-remaining"
"""Milliseconds."""
RETRY_AFTER = b"retry-after"

HOP_VERDICT = b"pimentospool-verdict"
"""The product's own header: what an entry VM's refusal says of execution."""
HOP_REACHED = b"pimentospool-reached"
"""The product's own header: 0 if the refused request reached no target."""
HOP_TARGETS = b"pimentospool-targets"
"""The product's own header: targets that may still run a hopped request."""

OF_ONE_CONNECTION = frozenset(
    [
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""

SET_BY_GATEWAY = frozenset(
    [
        DEADLINE,
        EXPECT_INSTANCE,
        PRIORITY,
        LAST_EVENT,
        HOP_REACHED,
        HOP_TARGETS,
        HOP_VERDICT,
        b"content-length",
        b"expect",
        b"x-expect-version",
        b"x-hold",
        b"x-pin-duration",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    ]
)
"""Headers that are not passed on as the caller sent them."""
