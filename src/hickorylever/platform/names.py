"""Header names, paths and values of the users' platform."""

ATTEMPT_ID = b"hickorylever-attempt-id"
DEADLINE = b"hickorylever-deadline-ms"
MODEL = b"hickorylever-model"
TOKENS = b"hickorylever-token-usage"
PREFIX = b"hickorylever-prompt-prefix"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
ACCOUNT = b"hickorylever-tenant"
EXPECTED_ENDPOINT = b"hickorylever-expect-instance"
ENDPOINT = b"hickorylever-instance-id"
PRIORITY = b"hickorylever-request-priority"
CACHE_SOURCE = b"kv-fetch"
STAMP = b"hickorylever-server-stamp"
NOT_RUN = b"hickorylever-not-executed"
LOAD = b"hickorylever-server-load"
LEAVING = b"server-leaving"
LEAVING_VALUE = b"1"
LIMIT = b"server-limit"
WARMUP = b"hickorylever-warmup-ms"
STORE_ERA = b"store-era"

# Headers that only routers may set, or that end at the router. They are removed from callers'
# requests.
RESERVED_HEADERS = frozenset(
    (
        DEADLINE,
        ACCOUNT,
        EXPECTED_ENDPOINT,
        PRIORITY,
        CACHE_SOURCE,
        b"authorization",
        b"kv-from",
        b"hickorylever-cache-hold",
        b"hickorylever-pin-ms",
        b"hickorylever-kv-backup",
        b"hickorylever-expect-version",
    )
)

READY_PATH = "/v1/readyz"
CACHE_LIST_PATH = "/v1/kv-list"
OBJECTS_PATH = "/v1/objects"
CONFIGURATION = ("config", "main")
ENDPOINTS = "servers"
ROUTERS = "hickorylever-routers"
EVACUATIONS = "evacuations"
SETTINGS_VARIABLE = "HICKORYLEVER_SETTINGS"
STATE_READY = "ready"
STATE_DRAINING = "draining"
STATES = (STATE_READY, STATE_DRAINING)
METRICS_PORT = 9464  # The same as in deploy/system.toml.
