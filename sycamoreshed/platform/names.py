"""Names on the platform's wire.

Nothing outside this folder spells them; `tools/wirenames.py` checks that.
"""

__all__ = [
    "HOP_BY_HOP",
    "SET_BY_SYSTEM",
]

REQUEST_ID = "X-Sycamoreshed-Request-Id"
DEADLINE_MS = "X-Sycamoreshed-Deadline-Ms"
PREFIX = "X-Sycamoreshed-Prefix-Hash"
LAST_EVENT_ID = "Last-Event-Id"
TEAM = "X-Sycamoreshed-Tenant"
EXPECT_ENDPOINT = "X-Sycamoreshed-Expect-Instance"
LOAD = "X-Sycamoreshed-Instance-Load"
NOT_RUN = "X-Sycamoreshed-Not-Executed"
TOKENS = "X-Sycamoreshed-Token-Usage"
PRIORITY = "X-Sycamoreshed-Priority-Class"
PIECES = "X-Sycamoreshed-Pieces"
PIECE_KEY = "X-Sycamoreshed-Piece-Key"
INPUTS = "X-Sycamoreshed-Inputs"
# Proof that an answer is an endpoint's own; callers check it.
SIGNATURE = "X-Sycamoreshed-Response-Seal"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Token "

# What a caller sends under these names would make an engine act on memory
# or reservations that are not the caller's, or pass for another team.
SET_BY_SYSTEM = frozenset(
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
# These concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
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

# The operator's table and row, and the table endpoints announce
# themselves in; the platform writes both.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
ENDPOINT_TABLE = "servers"
