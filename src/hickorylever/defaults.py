"""Default constants of every part. Units are in the names or the comments."""

VERSION = "0.1.0"

# Sizes in bytes.
MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_RELAY_BYTES = 1024 * 1024
MAX_OBJECT_BYTES = 1024 * 1024
RECEIVE_BYTES = 64 * 1024

# Times in seconds.
HEADER_TIMEOUT = 10.0
BODY_TIMEOUT = 30.0
IDLE_TIMEOUT = 75.0
CONNECT_TIMEOUT = 1.0
REQUEST_TIMEOUT = 120.0
HEARTBEAT_INTERVAL = 0.5
HEARTBEATS_MISSED = 3
MAX_CONNECTION_AGE = 300.0
TOMBSTONE_LIFETIME = 2 * MAX_CONNECTION_AGE
FINISHED_LIFETIME = 30.0
ORPHAN_GRACE = 5.0
DRAIN_GRACE = 120.0
BALANCER_DELAY = 5.0
WRITE_TIMEOUT = 30.0
WATCH_WAIT = 10.0
PLATFORM_TIMEOUT = 3.0
PLATFORM_RETRY = 1.0

# Counts and ratios.
MAX_HANDOVERS = 4
MAX_RESUMES = 4
MAX_IDLE_CONNECTIONS = 32
MAX_CONNECTIONS = 4096
MAX_JSON_DEPTH = 64
LOAD_MULTIPLE = 1.25

# Work is in tokens: prompt tokens that must be prefilled plus expected output tokens.
LOAD_FLOOR = 8192.0
EXPECTED_OUTPUT_TOKENS = 256
BYTES_PER_TOKEN = 4

# Ports.
ROUTER_PORT = 8480
SIDECAR_PORT = 8470
ADMIN_PORT = 8490
OBJECTS_PORT = 8460

# Attempts and claims.
HANDOVER_TIMEOUT = 10.0  # seconds
DEADLINE_GRACE = 0.25  # seconds
KEPT_LIFETIME = 300.0  # seconds
MAX_KEPT_BYTES = 8 * 1024 * 1024
RETRY_SHARE = 0.1
RETRY_BURST = 20.0
STAMP_REFRESH = 60.0  # seconds
CLAIM_SHARDS = 4
CLAIM_WRITES = 180.0  # a second, over all shards
CLAIM_TRIES = 6
MAX_CLAIM_STEPS = 8
MAX_WAITING_CLAIMS = 2000
SEGMENT_CLAIMS = 200
MAX_SEGMENTS = 256
CLAIM_RETENTION = 86400.0  # seconds
OUTCOME_FLUSH = 5.0  # seconds
PEER_TIMEOUT = 1.0  # seconds

# Routing, waiting and suspects.
RING_POINTS = 128  # Points of an endpoint of the smallest capacity.
MAX_WALK = 16  # Endpoints looked at for one decision.
PREFIX_ENDPOINTS = 1  # Endpoints that chats with a shared prefix keep to.
MAX_LOAD_AGE = 5.0  # Seconds.
PROMPT_IDENTITY_BYTES = 1024  # Of a prompt without messages.
PREFIX_LENGTHS = (2048, 8192, 32768, 131072)  # Bytes of leading text.
PREFIX_HALF_LIFE = 60.0  # Seconds.
PREFIX_FILL = 1.0  # Part of its endpoints' fair share that a prefix may take.
PREFIX_PRIOR = 100_000.0  # Tokens of unseen work that a router assumes.
MAX_PREFIXES = 2048
MAX_PREFIX_UNIT = 1e12
MAX_RETRY_AFTER = 60.0  # Seconds.
MAX_WAITING = 1024
ROOM_MULTIPLE = 4.0  # Of the floor: work that a pool is given before requests wait.
OVERLOAD_PAUSE = 0.025  # Seconds.
OVERLOAD_DOUBLINGS = 4
OVERLOAD_ROUNDS = 10
BORROWED_MULTIPLE = 1.1  # Of the mean, for accounts beyond their share.
BORROWED_PART = 0.5  # Of a pool's room, for accounts beyond their share.
RATE_PERIOD = 10.0  # Seconds.
USE_PERIOD = 10.0  # Seconds.
ACCOUNT_IDLE = 10.0  # Seconds.
LEAST_PART = 0.05  # Of an account's weight, at a router that sees little of it.
SUSPECT_LIFETIME = 600.0  # Seconds.
SUSPECT_RETRY = 5.0  # Seconds.
REGISTER_TIMEOUT = 0.5  # Seconds.
REVIEW_INTERVAL = 0.1  # Seconds.
MAX_PLACES = 65536  # Chats whose last endpoint a router remembers.
SERVICE_WORK = 256.0  # Tokens that one request to a plain service counts for.
MAX_USAGE_BYTES = 512
LEARNING_RATE = 0.1
MAX_ESTIMATES = 8192
ANSWER_TAIL_BYTES = 1024

# Configuration.
GUARD_RETENTION = 86400.0
VM_BUCKETS = 16
ENDPOINT_BUCKETS = 32
CLIENT_ACCOUNT_BUCKETS = 64
MAX_PART_BYTES = 8 * 1024 * 1024
AUDIT_BUCKET = 64
MAX_LINKS = 2 * AUDIT_BUCKET - 1
KEPT_CONTENTS = 64
CLEANED_PER_CHANGE = 4
MAX_DIFFERENCE_BYTES = 64 * 1024
MAX_CHANGE_LINES = 12
MAX_CHANGE_CHARACTERS = 120
WATCHERS_PER_DOMAIN = 2
WATCHER_CHECK = 1.0
REVISION_POLL = 60.0
BEHIND_POLL = 2.0
START_PATIENCE = 15.0
START_PAUSE = 0.5
PULL_TIMEOUT = 3.0
MAX_PULLS_SERVED = 8
DELTA_BASES = 16
START_PEERS = 3
SETTLE_TRIES = 8
SETTLE_PAUSE = 0.5

# Membership and controllers.
