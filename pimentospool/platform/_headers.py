"""Names of HTTP headers in lower case, and the headers that are not forwarded."""

REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_HEADER = b"x-request-deadline"
"""Milliseconds for which the caller waits, counted from when it sent the request."""
EXPECT_INSTANCE_HEADER = b"x-expect-instance"
PRIORITY_HEADER = b"x-request-priority"
TOKEN_COUNT_HEADER = b"x-token-count"
"""Tokens of the prompt and maximum tokens of the output, separated by a comma."""
LENGTH_HINT_HEADER = b"x-length-hint"
"""The caller's estimate of the output tokens, right at the median, often far off."""
PROMPT_PREFIX_HEADER = b"x-prompt-prefix"
"""Parts of the whole prompt in order, despite the name not only of its beginning."""
LAST_EVENT_HEADER = b"last-event-id"
RESUMES_HEADER = b"resumes"
"""Id of the request that brought the first event of the stream to be taken up."""
RESPONSE_SEAL_HEADER = b"x-response-seal"
NOT_EXECUTED_HEADER = b"x-not-executed"
COLD_REMAINING_HEADER = b"x-cold-remaining"
"""Milliseconds for which the server stays cold."""
RETRY_AFTER_HEADER = b"retry-after"
BRITTLE_HEADER = b"server-brittle"
"""Rejections in a second for want of room above which the server falls over."""
LEAVING_HEADER = b"server-leaving"
REQUEST_LIMIT_HEADER = b"server-limit"
"""Requests per second that the server takes from all entry VMs together."""
CREDENTIAL_HEADER = b"x-credential"
"""API key of the caller's tenant, if the configuration has tenants."""
TENANT_HEADER = b"x-tenant"
"""Name of the tenant, for servers."""
KEY_HEADERS = frozenset([CREDENTIAL_HEADER, TENANT_HEADER])
"""Headers of the caller that are removed if the configuration has tenants."""
CALLER_HEADERS = (b"authorization", b"cookie", CREDENTIAL_HEADER)
"""Headers by which callers identify themselves."""

HOP_CREDENTIAL_HEADER = b"pimentospool-credential"
"""Header of the gateway: digest of the API key that the sender of a hop has checked, in
hexadecimal digits."""
HOP_VERDICT_HEADER = b"pimentospool-verdict"
"""Header of the gateway: verdict of an entry VM that refused a hop."""
HOP_REACHED_HEADER = b"pimentospool-reached"
"""Header of the gateway: 0 if the refused request reached no target."""
HOP_CONTACT_HEADER = b"pimentospool-contact"
"""Header of the gateway: 0 if an entry VM that refuses a hop reaches no target."""
HOP_ENTRY_HEADER = b"pimentospool-entry"
"""Header of the gateway: id of the entry VM that passes a request on, or refuses it."""
HOP_CONFIGURATION_HEADER = b"pimentospool-configuration"
"""Header of the gateway: version and era of that entry VM's configuration."""
HOP_REROUTE_HEADER = b"pimentospool-reroute"
"""Header of the gateway: 1 if that entry VM routes the request again if it is refused
for a later configuration."""
HOP_VERSION_HEADER = b"pimentospool-version"
"""Header of the gateway: software version that begins a stream, or has begun it."""
HOP_TARGETS_HEADER = b"pimentospool-targets"
"""Header of the gateway: number of targets that may still run the hop."""

CONNECTION_HEADERS = frozenset(
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
"""Headers that apply to one connection only (RFC 9110, section 7.6.1)."""

STORE_ERA_HEADER = "Store-Era"
"""Rises each time the store comes back from a copy."""
STRIPPED_REQUEST_HEADERS = frozenset(
    [
        DEADLINE_HEADER,
        EXPECT_INSTANCE_HEADER,
        PRIORITY_HEADER,
        LAST_EVENT_HEADER,
        HOP_CONFIGURATION_HEADER,
        HOP_CONTACT_HEADER,
        HOP_CREDENTIAL_HEADER,
        HOP_ENTRY_HEADER,
        HOP_REACHED_HEADER,
        HOP_REROUTE_HEADER,
        HOP_TARGETS_HEADER,
        HOP_VERDICT_HEADER,
        HOP_VERSION_HEADER,
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
"""Headers of the caller that are removed; the gateway sets some of them itself."""
