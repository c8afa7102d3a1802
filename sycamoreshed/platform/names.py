"""Names in the platform's wire formats.

No other folder of the package may contain them; `tools/wirenames.py` checks
that.
"""

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "RESERVED_HEADERS",
]

REQUEST_ID = "X-Sycamoreshed-Request-Id"
DEADLINE_MS = "X-Sycamoreshed-Deadline-Ms"
PREFIX = "X-Sycamoreshed-Prefix-Hash"
LAST_EVENT_ID = "Last-Event-Id"
# Request id under which a caller got the first event of a stream.
RESUMES = "Resumes"
# The wire calls a team a tenant, and an endpoint an instance.
TEAM = "X-Sycamoreshed-Tenant"
EXPECT_ENDPOINT = "X-Sycamoreshed-Expect-Instance"
LOAD = "X-Sycamoreshed-Instance-Load"
NOT_RUN = "X-Sycamoreshed-Not-Executed"
# Requests per second that an endpoint takes from all instances together.
RATE_LIMIT = "Server-Limit"
# Rejections per second for lack of room above which an endpoint fails.
MAX_REJECTIONS = "Server-Brittle"
# In all answers of an endpoint that leaves.
LEAVING = "Server-Leaving"
# Seconds for which an endpoint that rejected a request wants no other one from
# the same instance.
RETRY_AFTER = "Retry-After"
# In all answers of the store: how often it came back from an older copy.
STORE_ERA = "Store-Era"
# Tokens of the prompt, and the maximum number to generate.
TOKENS = "X-Sycamoreshed-Token-Usage"
# Caller's estimate of the number of tokens to generate.
LENGTH_HINT = "X-Sycamoreshed-Length-Hint"
PRIORITY = "X-Sycamoreshed-Priority-Class"
PIECES = "X-Sycamoreshed-Pieces"
PIECE_KEY = "X-Sycamoreshed-Piece-Key"
INPUTS = "X-Sycamoreshed-Inputs"
# Proof that a response is an endpoint's own; callers verify it.
SIGNATURE = "X-Sycamoreshed-Response-Seal"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Token "

# Removed from callers' requests: this project sets them itself, or they
# would make an engine use memory or reservations that are not the caller's,
# or let a caller impersonate another team.
RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        TEAM,
        EXPECT_ENDPOINT,
        PRIORITY,
        INPUTS,
        DEADLINE_MS,
        AUTHORIZATION,
        "X-Sycamoreshed-Expect-Version",
        "X-Sycamoreshed-Hold",
        "X-Sycamoreshed-Pin-Ms",
        "X-Sycamoreshed-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
# Apply to a single connection only (RFC 9110, 7.6.1); here Expect and
# Content-Length count as such too.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)

STAGE_RUN = "/v1/stage-run"
STAGE_FREE = "/v1/stage-free"
ROWS_GET = "/v1/rows-get"
ROWS_FEED = "/v1/rows-feed"
ROWS_TX = "/v1/rows-tx"

# The operator's table with the row of the configuration, and the table in
# which endpoints register; this project only reads both.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# Begins the keys of the operator's rows that each evacuate a zone.
EVACUATION_PREFIX = "evacuate/"
ENDPOINT_TABLE = "servers"
