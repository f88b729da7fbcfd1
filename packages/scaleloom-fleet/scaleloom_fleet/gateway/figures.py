"""
Every metric of a gateway's page, declared once.

A part that measures something new adds its definition here. Counters and
histograms are noted where the thing happens (`state.figures.add`, `observe`).
Gauges are set by a collector, an async function that is added to
`state.figures.collectors` and called for each page. `docs/reference/metrics.md`
repeats this table, which a test compares.
"""

from scaleloom_fleet.utils.exposition import Definition, Form

# From a small lookup to the longest time-out of a stream on the users' sheets.
DURATION_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30)
NO_KIND = "none"
MALFORMED = "malformed"
SERVED = "served"
REFUSED = "refused"
FAILED = "failed"
LEFT = "left"
ABANDONED = "abandoned"

_C, _G, _H = Form.COUNTER, Form.GAUGE, Form.HISTOGRAM

REQUESTS = Definition(
    "scaleloom_requests_total",
    _C,
    "Requests that ended: served, refused as not run, failed, or left by the caller.",
    ("outcome", "kind"),
)
UNSERVED = Definition(
    "scaleloom_requests_unserved_total",
    _C,
    "Requests that were refused or failed, by the kind of error.",
    ("reason",),
)
ATTEMPTS = Definition(
    "scaleloom_attempts_total",
    _C,
    "Requests sent to a target; abandoned if the caller left or the time ran out.",
    ("verdict",),
)
FIRST_BYTE = Definition(
    "scaleloom_request_first_byte_seconds",
    _H,
    "Time from a request's first byte to the first byte of a target's success.",
    ("kind",),
    DURATION_BOUNDS_S,
)
WHOLE = Definition(
    "scaleloom_request_seconds",
    _H,
    "Time from a request's first byte to the end of its answer, if it was served.",
    ("kind",),
    DURATION_BOUNDS_S,
)
CACHE_SOURCES = Definition(
    "scaleloom_prompt_parts_copied_total",
    _C,
    "Requests whose target was told to copy the prompt's shared part from another.",
)
RESTS = Definition(
    "scaleloom_rests_asked_total",
    _C,
    "Answers by which targets asked this router for rest.",
)
STORE_CALLS = Definition(
    "scaleloom_store_calls_total",
    _C,
    "Calls of the platform's store.",
    ("outcome",),
)
STORE_SECONDS = Definition(
    "scaleloom_store_call_seconds",
    _H,
    "Time of those calls, but for the ones that wait for a change.",
    ("outcome",),
    DURATION_BOUNDS_S,
)
WAITING = Definition(
    "scaleloom_requests_waiting", _G, "Requests that wait for a place at a target."
)
IN_FLIGHT = Definition(
    "scaleloom_requests_in_flight", _G, "Places that this router's requests hold."
)
SERVICE_HELD = Definition(
    "scaleloom_service_requests_held",
    _G,
    "Requests that a service's targets hold, of all routers as far as is known.",
    ("service",),
)
SERVICE_SLOTS = Definition(
    "scaleloom_service_slots", _G, "Slots of a service's targets.", ("service",)
)
FULLEST = Definition(
    "scaleloom_service_fullest_target_requests",
    _G,
    "Requests that the fullest target of a service holds.",
    ("service",),
)
LOAD_BOUND = Definition(
    "scaleloom_service_load_bound_requests",
    _G,
    "The load bound of a service: load_multiple times what its targets hold on"
    " average.",
    ("service",),
)
RETRIES_LEFT = Definition(
    "scaleloom_retry_budget_left",
    _G,
    "Repeats that this router may send now.",
    ("service",),
)
RETRIES_REFUSED = Definition(
    "scaleloom_retries_refused_total",
    _C,
    "Repeats that were not sent since the budget was used up.",
    ("service",),
)
CONFIG_VERSION = Definition(
    "scaleloom_configuration_version", _G, "Version of the configuration in force."
)
CONFIG_AGE = Definition(
    "scaleloom_configuration_age_seconds",
    _G,
    "Time since this router took it into force.",
)
LIST_AGE = Definition(
    "scaleloom_list_age_seconds",
    _G,
    "How old the list of targets may be, an hour at most.",
)
ROUTERS = Definition(
    "scaleloom_routers", _G, "Routers known to live, this one included."
)
READY = Definition("scaleloom_ready", _G, "1 while new connections are welcome.")
FOLLOWS_STORE = Definition(
    "scaleloom_follows_store", _G, "1 while a call for changes is open at the store."
)
TARGETS = Definition(
    "scaleloom_targets", _G, "Targets that are listed, by state.", ("state",)
)
ENTRIES_UNREADABLE = Definition(
    "scaleloom_entries_unreadable",
    _G,
    "Entries of the list of targets that name no target, since they can't be read.",
)
CONNECTIONS = Definition(
    "scaleloom_connections", _G, "Connections of callers that are open."
)
DESCRIPTORS = Definition(
    "scaleloom_open_descriptors", _G, "Descriptors that the process has open."
)
RESIDENT = Definition(
    "scaleloom_resident_bytes", _G, "Memory that the process occupies."
)
START_SECONDS = Definition(
    "scaleloom_start_to_ready_seconds",
    _G,
    "Time from exec, or from the program's first line where the system does not tell"
    " the former, until enough was known to serve.",
    ("origin",),
)
LOG_LINES = Definition(
    "scaleloom_log_lines_total",
    _C,
    "Log lines: taken, left out by the limit for each kind, or lost since nobody"
    " read.",
    ("fate",),
)
LOG_WAITING = Definition(
    "scaleloom_log_waiting_bytes", _G, "Log lines that wait for their reader."
)
LABELS_FOLDED = Definition(
    "scaleloom_label_sets_folded_total",
    _C,
    "Values that were left out, or counted as other, since a metric has too many"
    " label sets.",
)

TARGETS_ENDED = Definition(
    "scaleloom_targets_ended_total",
    _C,
    "Targets that took no connection any more after an exchange with them broke.",
)
SUSPECTS = Definition(
    "scaleloom_requests_suspected",
    _G,
    "Requests under which two targets or more ended, sent on trial only.",
)
TRIALS = Definition(
    "scaleloom_request_trials_total",
    _C,
    "Times that a suspected request was about to be sent: begun here, left to"
    " others, or uncounted since the store did not tell.",
    ("outcome",),
)

ROLLOUT_STAGE = Definition(
    "scaleloom_rollout_stage",
    _G,
    "How far a roll-out has come: 0 unknown, 1 running, 2 promoting, 3 rolled back,"
    " 4 done.",
    ("service", "version"),
)
ROLLOUT_SENT = Definition(
    "scaleloom_rollout_requests",
    _G,
    "Requests that this router sent on each track since the order.",
    ("service", "version", "track"),
)
ROLLOUT_BAD = Definition(
    "scaleloom_rollout_bad_answers",
    _G,
    "Bad answers on each track since the order, as far as routers told.",
    ("service", "version", "track"),
)
ROLLOUT_ELAPSED = Definition(
    "scaleloom_rollout_elapsed_seconds",
    _G,
    "Time since the order.",
    ("service", "version"),
)

DEFINITIONS = (
    REQUESTS,
    UNSERVED,
    ATTEMPTS,
    FIRST_BYTE,
    WHOLE,
    CACHE_SOURCES,
    RESTS,
    STORE_CALLS,
    STORE_SECONDS,
    WAITING,
    IN_FLIGHT,
    SERVICE_HELD,
    SERVICE_SLOTS,
    FULLEST,
    LOAD_BOUND,
    RETRIES_LEFT,
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
    DESCRIPTORS,
    RESIDENT,
    START_SECONDS,
    LOG_LINES,
    LOG_WAITING,
    LABELS_FOLDED,
    TARGETS_ENDED,
    SUSPECTS,
    TRIALS,
    ROLLOUT_STAGE,
    ROLLOUT_SENT,
    ROLLOUT_BAD,
    ROLLOUT_ELAPSED,
)
