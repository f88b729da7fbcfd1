"""
Definitions of all metrics on the gateway's metrics page.

Counters and histograms are updated where the event happens, with the methods `add`
and `observe` of `state.metrics_registry`. Gauges are set by collectors, async
functions in `state.metrics_registry.collectors` that are called for each page.
`docs/reference/metrics.md` is generated from this table, and a test compares them.
"""

from scaleloom_fleet.utils.exposition import MetricDefinition, MetricType

# From short lookups to the longest time-out of the users' streams.
DURATION_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30)
NO_KIND = "none"
MALFORMED = "malformed"
SERVED = "served"
REFUSED = "refused"
FAILED = "failed"
CALLER_LEFT = "left"
ABANDONED = "abandoned"

_COUNTER, _GAUGE, _HISTOGRAM = (
    MetricType.COUNTER,
    MetricType.GAUGE,
    MetricType.HISTOGRAM,
)

REQUESTS = MetricDefinition(
    "scaleloom_requests_total",
    _COUNTER,
    "Finished requests: served, refused (not run), failed, or left by the caller.",
    ("outcome", "kind"),
)
REQUESTS_UNSERVED = MetricDefinition(
    "scaleloom_requests_unserved_total",
    _COUNTER,
    "Requests that were refused or failed, by error kind.",
    ("reason",),
)
ATTEMPTS = MetricDefinition(
    "scaleloom_attempts_total",
    _COUNTER,
    "Attempts at targets; abandoned if the caller disconnected or time ran out.",
    ("verdict",),
)
ANSWERS = MetricDefinition(
    "scaleloom_answers_total",
    _COUNTER,
    "Answers of targets that began, by what delimited the body (length, chunks,"
    " connection or no_body) and by how they ended: whole, broken, or unknown since"
    " only the end of the connection marked the end.",
    ("delimiter", "end"),
)
SILENCES = MetricDefinition(
    "scaleloom_target_silences_total",
    _COUNTER,
    "Requests whose target fell silent, by how that ended: the target went_on, another"
    " target was sent the request and has taken_over, the exchange failed, or the"
    " request timed_out or was left by its caller first.",
    ("end",),
)
FIRST_BYTE_SECONDS = MetricDefinition(
    "scaleloom_request_first_byte_seconds",
    _HISTOGRAM,
    "Time from a request's first byte to the first byte of a successful response.",
    ("kind",),
    DURATION_BOUNDS_S,
)
REQUEST_SECONDS = MetricDefinition(
    "scaleloom_request_seconds",
    _HISTOGRAM,
    "Time from a served request's first byte to the end of its response.",
    ("kind",),
    DURATION_BOUNDS_S,
)
PROMPT_PARTS_COPIED = MetricDefinition(
    "scaleloom_prompt_parts_copied_total",
    _COUNTER,
    "Requests whose target was asked to copy a shared prompt part from another one.",
)
STREAMS_RESUMED = MetricDefinition(
    "scaleloom_streams_taken_up_total",
    _COUNTER,
    "Streams that callers took up again: goes_on at the version that began them, or"
    " refused since it is not known (origin_unknown) or has no ready target"
    " (version_gone).",
    ("outcome",),
)
BACK_OFFS_ASKED = MetricDefinition(
    "scaleloom_rests_asked_total",
    _COUNTER,
    "Responses in which a target asked this router to back off.",
)
STORE_CALLS = MetricDefinition(
    "scaleloom_store_calls_total",
    _COUNTER,
    "Calls to the platform's store.",
    ("outcome",),
)
STORE_CALL_SECONDS = MetricDefinition(
    "scaleloom_store_call_seconds",
    _HISTOGRAM,
    "Duration of calls to the platform's store, except long polling.",
    ("outcome",),
    DURATION_BOUNDS_S,
)
TASK_FAILURES = MetricDefinition(
    "scaleloom_task_failures_total",
    _COUNTER,
    "Unexpected failures of the process's tasks, which were started again, and of"
    " single connections and datagrams, which were given up.",
    ("task",),
)
REQUESTS_WAITING = MetricDefinition(
    "scaleloom_requests_waiting", _GAUGE, "Requests that wait for a free target slot."
)
REQUESTS_IN_FLIGHT = MetricDefinition(
    "scaleloom_requests_in_flight",
    _GAUGE,
    "Target slots that this router's requests use.",
)
SERVICE_IN_FLIGHT = MetricDefinition(
    "scaleloom_service_requests_held",
    _GAUGE,
    "Requests in flight at a service's targets, from all routers as far as is known.",
    ("service",),
)
SERVICE_SLOTS = MetricDefinition(
    "scaleloom_service_slots",
    _GAUGE,
    "Slots of a service's targets, summed.",
    ("service",),
)
FULLEST_TARGET = MetricDefinition(
    "scaleloom_service_fullest_target_requests",
    _GAUGE,
    "Requests in flight at the most loaded target of a service.",
    ("service",),
)
SERVICE_LOAD_BOUND = MetricDefinition(
    "scaleloom_service_load_bound_requests",
    _GAUGE,
    "The load bound of a service: load_multiple times the mean number of requests in"
    " flight at its targets.",
    ("service",),
)
RETRY_BUDGET_LEFT = MetricDefinition(
    "scaleloom_retry_budget_left",
    _GAUGE,
    "Retries that this router may send now.",
    ("service",),
)
RETRIES_REFUSED = MetricDefinition(
    "scaleloom_retries_refused_total",
    _COUNTER,
    "Retries that were not sent because the budget was exhausted.",
    ("service",),
)
CONFIG_VERSION = MetricDefinition(
    "scaleloom_configuration_version", _GAUGE, "Version of the configuration in force."
)
CONFIG_AGE = MetricDefinition(
    "scaleloom_configuration_age_seconds",
    _GAUGE,
    "Time since this router applied the configuration in force.",
)
LIST_AGE = MetricDefinition(
    "scaleloom_list_age_seconds",
    _GAUGE,
    "Upper bound of the age of the list of targets, capped at one hour.",
)
ROUTERS = MetricDefinition(
    "scaleloom_routers", _GAUGE, "Live routers, including this one."
)
READY = MetricDefinition(
    "scaleloom_ready", _GAUGE, "1 while ready for new connections."
)
FOLLOWS_STORE = MetricDefinition(
    "scaleloom_follows_store",
    _GAUGE,
    "1 while a long-polling call to the store is open.",
)
TARGETS = MetricDefinition(
    "scaleloom_targets", _GAUGE, "Listed targets, by state.", ("state",)
)
ENTRIES_UNREADABLE = MetricDefinition(
    "scaleloom_entries_unreadable",
    _GAUGE,
    "Entries of the list of targets that cannot be decoded.",
)
CONNECTIONS = MetricDefinition(
    "scaleloom_connections", _GAUGE, "Open connections of callers."
)
OPEN_DESCRIPTORS = MetricDefinition(
    "scaleloom_open_descriptors", _GAUGE, "Open file descriptors of the process."
)
RESIDENT_BYTES = MetricDefinition(
    "scaleloom_resident_bytes", _GAUGE, "Resident memory of the process."
)
RESERVED_BYTES = MetricDefinition(
    "scaleloom_reserved_bytes",
    _GAUGE,
    "Memory reserved for connected callers, for long bodies of requests, and for long"
    " answers that are buffered or wait for their callers.",
    ("use",),
)
START_TO_READY_SECONDS = MetricDefinition(
    "scaleloom_start_to_ready_seconds",
    _GAUGE,
    "Time from exec, or from the program's first line if the system does not report"
    " exec, until requests could be served.",
    ("origin",),
)
LOG_LINES = MetricDefinition(
    "scaleloom_log_lines_total",
    _COUNTER,
    "Log lines: taken, left out by the limit for each kind, or lost because nobody"
    " read them.",
    ("fate",),
)
LOG_WAITING_BYTES = MetricDefinition(
    "scaleloom_log_waiting_bytes", _GAUGE, "Size of the log lines not yet read."
)
INPUTS_SLOWED = MetricDefinition(
    "scaleloom_inputs_slowed_total",
    _COUNTER,
    "Messages whose many small pieces were read more slowly than they came.",
)
INPUT_BOUNDS_EXCEEDED = MetricDefinition(
    "scaleloom_input_bounds_exceeded_total",
    _COUNTER,
    "Messages that exceeded a bound on input, and were broken off.",
    ("bound",),
)
ANSWERS_REFUSED = MetricDefinition(
    "scaleloom_answers_refused_total",
    _COUNTER,
    "Answers of targets, peers and the store whose head is not valid, by the fault.",
    ("fault",),
)
TRANSFERS_SLOWED = MetricDefinition(
    "scaleloom_transfers_slowed_total",
    _COUNTER,
    "Long answers and uploads that waited for the link for 0.1 s or more in total,"
    " counted at their ends.",
    ("direction",),
)
TRANSFER_WAIT_SECONDS = MetricDefinition(
    "scaleloom_transfer_wait_seconds_total",
    _COUNTER,
    "Time that long answers and uploads waited for their turns on the link.",
    ("direction",),
)
LONG_TRANSFERS = MetricDefinition(
    "scaleloom_long_transfers",
    _GAUGE,
    "Long answers and uploads in progress.",
)
LINK_WAIT_SECONDS = MetricDefinition(
    "scaleloom_link_wait_seconds",
    _GAUGE,
    "Estimated time that bytes sent now wait for the link; 0 without link_queue_s.",
)
STALLS = MetricDefinition(
    "scaleloom_stalls_total",
    _COUNTER,
    "How often the process stood still for more than 0.1 s.",
)
STALLED_SECONDS = MetricDefinition(
    "scaleloom_stalled_seconds_total",
    _COUNTER,
    "Total time of these stalls.",
)
LABEL_SETS_FOLDED = MetricDefinition(
    "scaleloom_label_sets_folded_total",
    _COUNTER,
    "Values that were dropped, or counted as other, because a metric has too many"
    " label sets.",
)

TARGETS_CRASHED = MetricDefinition(
    "scaleloom_targets_ended_total",
    _COUNTER,
    "Crashed targets: they refused connections after an exchange with them broke off.",
)
SUSPECTED_REQUESTS = MetricDefinition(
    "scaleloom_requests_suspected",
    _GAUGE,
    "Requests during which at least two targets crashed, sent only as isolated trials.",
)
SUSPECTED_PARTS = MetricDefinition(
    "scaleloom_prompt_parts_suspected",
    _GAUGE,
    "Prompt parts under which targets crashed, by whether requests with them are sent"
    " as isolated trials only (on_trial) or refused (held).",
    ("permission",),
)
REQUEST_TRIALS = MetricDefinition(
    "scaleloom_request_trials_total",
    _COUNTER,
    "Due trials of suspected requests: begun here, left to others, or uncounted"
    " because the store did not respond.",
    ("outcome",),
)

ROLLOUT_STAGE = MetricDefinition(
    "scaleloom_rollout_stage",
    _GAUGE,
    "Stage of a roll-out: 0 unknown, 1 running, 2 promoting, 3 rolled back, 4 done.",
    ("service", "version"),
)
ROLLOUT_REQUESTS = MetricDefinition(
    "scaleloom_rollout_requests",
    _GAUGE,
    "Requests that this router sent on each track since the order.",
    ("service", "version", "track"),
)
ROLLOUT_BAD_ANSWERS = MetricDefinition(
    "scaleloom_rollout_bad_answers",
    _GAUGE,
    "Bad responses on each track since the order, as reported by routers.",
    ("service", "version", "track"),
)
ROLLOUT_ELAPSED = MetricDefinition(
    "scaleloom_rollout_elapsed_seconds",
    _GAUGE,
    "Time since the order.",
    ("service", "version"),
)

DEFINITIONS = (
    REQUESTS,
    REQUESTS_UNSERVED,
    ATTEMPTS,
    ANSWERS,
    SILENCES,
    FIRST_BYTE_SECONDS,
    REQUEST_SECONDS,
    PROMPT_PARTS_COPIED,
    STREAMS_RESUMED,
    BACK_OFFS_ASKED,
    STORE_CALLS,
    STORE_CALL_SECONDS,
    REQUESTS_WAITING,
    REQUESTS_IN_FLIGHT,
    SERVICE_IN_FLIGHT,
    SERVICE_SLOTS,
    FULLEST_TARGET,
    SERVICE_LOAD_BOUND,
    RETRY_BUDGET_LEFT,
    RETRIES_REFUSED,
    CONFIG_VERSION,
    CONFIG_AGE,
    LIST_AGE,
    ROUTERS,
    READY,
    FOLLOWS_STORE,
    TARGETS,
    ENTRIES_UNREADABLE,
    CONNECTIONS,
    OPEN_DESCRIPTORS,
    RESIDENT_BYTES,
    RESERVED_BYTES,
    START_TO_READY_SECONDS,
    LOG_LINES,
    LOG_WAITING_BYTES,
    INPUTS_SLOWED,
    INPUT_BOUNDS_EXCEEDED,
    ANSWERS_REFUSED,
    TRANSFERS_SLOWED,
    TRANSFER_WAIT_SECONDS,
    LONG_TRANSFERS,
    LINK_WAIT_SECONDS,
    STALLS,
    STALLED_SECONDS,
    LABEL_SETS_FOLDED,
    TASK_FAILURES,
    TARGETS_CRASHED,
    SUSPECTED_REQUESTS,
    SUSPECTED_PARTS,
    REQUEST_TRIALS,
    ROLLOUT_STAGE,
    ROLLOUT_REQUESTS,
    ROLLOUT_BAD_ANSWERS,
    ROLLOUT_ELAPSED,
)
