"""Default limits, timeouts and sizes."""

VERSION = "0.1.0"

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_RELAY_BYTES = 1024 * 1024
MAX_OBJECT_BYTES = 1024 * 1024
RECEIVE_BUFFER_BYTES = 32 * 1024
WRITE_CHUNK_BYTES = 256 * 1024
MAX_LINGER_BYTES = 1024 * 1024  # Input that is read and dropped before a close.
MAX_BUFFERED_BYTES = 128 * 1024 * 1024  # Request bodies of all connections of a server.

HEADER_TIMEOUT_SECONDS = 10.0
BODY_TIMEOUT_SECONDS = 30.0
IDLE_TIMEOUT_SECONDS = 75.0
CONNECT_TIMEOUT_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 120.0
HEARTBEAT_INTERVAL_SECONDS = 0.5
MAX_MISSED_HEARTBEATS = 3
MAX_CONNECTION_AGE_SECONDS = 300.0
# How long a sidecar remembers ended and cancelled attempts. Attempts whose clock sample is older
# than half of this are refused.
TOMBSTONE_LIFETIME_SECONDS = 2 * MAX_CONNECTION_AGE_SECONDS
RESPONSE_RETENTION_SECONDS = 30.0  # How long a sidecar keeps a completed response.
# An unguarded attempt without a reader is cancelled after this. A completed response without a
# reader counts as delivered after this.
ORPHAN_GRACE_SECONDS = 5.0
DRAIN_GRACE_SECONDS = 120.0
BALANCER_DELAY_SECONDS = 5.0  # A draining router accepts connections for this long.
WRITE_TIMEOUT_SECONDS = 30.0
LINGER_SECONDS = 1.0
ACCEPT_RETRY_SECONDS = 0.1
TASK_RESTART_DELAY_SECONDS = 1.0
REAP_INTERVAL_SECONDS = 10.0
WATCH_TIMEOUT_SECONDS = 10.0
PLATFORM_TIMEOUT_SECONDS = 3.0
PLATFORM_RETRY_SECONDS = 1.0

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 3000

MAX_DISPATCH_ATTEMPTS = 4
MAX_RESUMES = 4
MAX_IDLE_CONNECTIONS = 32
MAX_CONNECTIONS = 4096
MAX_REFUSED_CONNECTIONS = 256  # Connections over the limit that get a response.
LISTEN_BACKLOG = 1024
MAX_BODY_CHUNKS = 16384
# Input after which a task lets others run, see :class:`.turns.Turns`.
MESSAGE_PARTS_PER_TURN = 16  # Heads, chunks and ends of messages of one connection.
DATAGRAMS_PER_TURN = 32
MAX_JSON_DEPTH = 64
MAX_TOKENS = 2**24
LOAD_MULTIPLE = 1.25  # An endpoint may have this multiple of the mean load.

# Load is the admitted work in tokens: prompt tokens to prefill plus expected output tokens.
LOAD_FLOOR_TOKENS = 8192.0  # An endpoint may always have this much, per unit of capacity.
EXPECTED_OUTPUT_TOKENS = 256
BYTES_PER_TOKEN = 4

ROUTER_PORT = 8480
SIDECAR_PORT = 8470
ADMIN_PORT = 8490
OBJECT_API_PORT = 8460

# Attempts at a sidecar, and claims of guarded requests.
SEND_TIMEOUT_SECONDS = 10.0  # For sending a request or a resume to a sidecar.
# A router waits this much longer than the deadline, so that the sidecar's report can arrive.
DEADLINE_GRACE_SECONDS = 0.25
GUARDED_RESPONSE_RETENTION_SECONDS = 300.0  # How long a sidecar keeps a guarded response.
# Above this size, a sidecar drops the oldest responses that were delivered.
MAX_RETAINED_BYTES = 8 * 1024 * 1024
RETRY_BUDGET_RATIO = 0.1  # Retries per request.
RETRY_BUDGET_BURST = 20.0
CLOCK_SAMPLE_REFRESH_SECONDS = 60.0
CLOCK_SAMPLE_LIFETIME_SECONDS = TOMBSTONE_LIFETIME_SECONDS / 4
CLAIM_SHARDS = 4
CLAIM_WRITES_PER_SECOND = 180.0  # Over all shards.
MAX_CLAIM_WRITE_ATTEMPTS = 6
MAX_CLAIM_STEPS = 8  # Proposals of one request before it is refused.
MAX_QUEUED_CLAIMS = 2000
CLAIMS_PER_SEGMENT = 200
MAX_CLAIM_SEGMENTS = 256
CLAIM_RETENTION_SECONDS = 86400.0
OUTCOME_FLUSH_SECONDS = 5.0
PEER_TIMEOUT_SECONDS = 1.0  # For a claim that another router is asked to write.

# Routing, queueing and suspects.
RING_POINTS = 128  # Of an endpoint with the smallest capacity of its pool.
MAX_RING_CANDIDATES = 16  # Endpoints examined for one routing decision.
ENDPOINTS_PER_PREFIX = 1
MAX_LOAD_AGE_SECONDS = 5.0
PROMPT_KEY_BYTES = 1024  # Leading bytes that identify a prompt without messages.
PREFIX_LENGTHS_BYTES = (2048, 8192, 32768, 131072)  # Of a chat's leading text.
PREFIX_HALF_LIFE_SECONDS = 60.0
MAX_PREFIX_FAIR_SHARE = 1.0  # Of the fair share of the endpoints that serve a prefix.
# Unseen work that a router assumes when it computes a prefix's share.
PREFIX_PRIOR_TOKENS = 100_000.0
MAX_PREFIXES = 2048
# Work counters are rescaled when the weight of a token reaches this.
MAX_PREFIX_SCALE = 1e12
MAX_RETRY_AFTER_SECONDS = 60.0
MAX_QUEUED_REQUESTS = 1024
POOL_LIMIT_MULTIPLE = 4.0  # Of the load floor; beyond it, requests of the pool are queued.
OVERLOAD_BACKOFF_SECONDS = 0.025
MAX_OVERLOAD_BACKOFF_DOUBLINGS = 4
MAX_OVERLOAD_RETRIES = 10
BORROWED_LOAD_MULTIPLE = 1.1  # Of the mean load, for accounts beyond their share.
BORROWED_LIMIT_RATIO = 0.5  # Of a pool's limit, for accounts beyond their share.
RATE_TIME_CONSTANT_SECONDS = 10.0
USAGE_TIME_CONSTANT_SECONDS = 10.0
ACCOUNT_IDLE_SECONDS = 10.0
# Lowest ratio of an account's weight at a router that serves little of its traffic.
MIN_WEIGHT_RATIO = 0.05
SUSPECT_LIFETIME_SECONDS = 600.0
SUSPECT_RETRY_AFTER_SECONDS = 5.0
SUSPECT_READ_TIMEOUT_SECONDS = 0.5
QUEUE_REVIEW_INTERVAL_SECONDS = 0.1
MAX_REMEMBERED_CHATS = 16384  # Chats whose last endpoint a router remembers.
SERVICE_REQUEST_TOKENS = 256.0  # Load of one request to a plain service.
MAX_USAGE_BYTES = 512
ESTIMATE_LEARNING_RATE = 0.1
MAX_ESTIMATES = 8192
RESPONSE_TAIL_BYTES = 1024  # Engines report usage at the end of a response.

# Configuration and its distribution.
GUARD_RETENTION_SECONDS = 86400.0
VM_BUCKETS = 16
ENDPOINT_BUCKETS = 32
CLIENT_ACCOUNT_BUCKETS = 64
MAX_PART_BYTES = 8 * 1024 * 1024
REVISIONS_PER_AUDIT_BUCKET = 64
MAX_CHAIN_LINKS = 2 * REVISIONS_PER_AUDIT_BUCKET - 1
MAX_STORED_CONTENTS = 64  # Revisions whose content stays in the object API.
MAX_CONTENT_DELETIONS_PER_CHANGE = 4
MAX_DELTA_BYTES = 64 * 1024  # A larger difference is stored as a whole content.
MAX_CHANGE_LINES = 12
MAX_LISTED_NAMES = 8
MAX_CONCURRENT_STATE_QUERIES = 32
MAX_CHANGE_LINE_CHARACTERS = 120
WATCHERS_PER_FAILURE_DOMAIN = 2
WATCHER_CHECK_SECONDS = 1.0
REVISION_POLL_SECONDS = 60.0
STALE_REVISION_POLL_SECONDS = 2.0
# After this, the answer of any one peer is enough to start. Without an answer, a node keeps
# waiting.
STARTUP_PEER_TIMEOUT_SECONDS = 15.0
STARTUP_RETRY_SECONDS = 0.5
PULL_TIMEOUT_SECONDS = 3.0
MAX_CONCURRENT_PULLS = 8
MAX_DELTA_BASES = 16  # Contents that a peer can be sent a difference from.
STARTUP_PEERS = 3
MAX_SETTLE_ATTEMPTS = 8
SETTLE_RETRY_SECONDS = 0.5

# Leases, controllers and membership.
LEASE_DURATION_SECONDS = 6.0
LEASE_RENEWAL_RATIO = 0.4  # Part of the lease after which its holder renews it.
LEASE_TAKEOVER_SECONDS = 12.0  # Without a change, on the candidate's own clock.
LEASE_POLL_SECONDS = 3.0
LEASE_CANDIDATES = 2  # Few, so that the calls to the object API do not grow with the fleet.
CONTROLLER_INTERVAL_SECONDS = 1.0
MAX_CONCURRENT_LOADS = 4  # Endpoints that read model weights at the same time.
MAX_CONCURRENT_PLACEMENT_POLLS = 8
ORDER_TIMEOUT_SECONDS = 10.0
ORDER_CHECK_SECONDS = 2.0
STATUS_INTERVAL_SECONDS = 10.0
STATUS_REFRESH_SECONDS = 60.0  # An unchanged status is written this often.
MAX_STATUS_NAMES = 200
CLEANUP_INTERVAL_SECONDS = 60.0
MAX_CLEANUP_DELETIONS = 20
MIN_VM_LIST_INTERVAL_SECONDS = 5.0
VM_LIST_CALLS_PER_SECOND = 4.0  # Of the whole fleet.
GOSSIP_TICK_SECONDS = 0.1
GOSSIP_INTERVAL_SECONDS = 0.2
GOSSIP_FANOUT = 3
PROBE_INTERVAL_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.4
PROBE_RETRY_SECONDS = 0.25
MAX_PROBE_RETRIES = 2
INDIRECT_PROBES = 3
ROUNDS_PER_GONE_PROBE = 4  # Every so many rounds, a member that is gone is probed.
MAX_HEALTH_SCORE = 7  # 0 is healthy; a higher score lengthens this member's probe timeouts.
# After a pause of at least this, no silence counts against members.
MIN_PROCESS_PAUSE_SECONDS = 1.5
ISOLATION_TIMEOUT_SECONDS = 3.0  # A member that hears nobody suspects nobody.
SUSPICION_MULTIPLIER = 3
RETRANSMIT_MULTIPLIER = 4
SYNC_INTERVAL_SECONDS = 20.0
SYNC_BUCKETS = 64
UPDATES_PER_SYNC_PACKET = 40
SAMPLE_INTERVAL_SECONDS = 1.0
LOAD_PEER_FANOUT = 3
LOAD_ROUTER_FANOUT = 2
USAGE_FANOUT = 4
MAX_USAGE_ACCOUNTS = 40
ENDPOINT_CHECK_SECONDS = 1.0
ENDPOINT_UNHEALTHY_THRESHOLD = 2
ENDPOINT_STARTUP_CHECK_SECONDS = 0.2
MAX_DATAGRAM_BYTES = 1200
DATAGRAM_OVERHEAD_BYTES = 28  # IPv4 and UDP headers.
MAX_PIGGYBACK_BYTES = 300
CONTROL_BYTES_PER_SECOND = 12 * 1024
CONTROL_BURST_BYTES = 2 * CONTROL_BYTES_PER_SECOND
# Left to probes by sampled topics and table syncs.
CONTROL_RESERVE_BYTES = CONTROL_BYTES_PER_SECOND / 4
MAX_DRAIN_NOTICES = 16  # Members that a leaving member tells at once.
FLAP_PENALTY_THRESHOLD = 1.5  # Each failure adds 1.
FLAP_HALF_LIFE_SECONDS = 60.0
# Multiplied by 2 to the power of the penalty's excess over the threshold.
FLAP_HOLD_DOWN_SECONDS = 5.0
MAX_FLAP_HOLD_DOWN_SECONDS = 300.0
