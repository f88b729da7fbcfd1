"""All kinds of errors, and the table of their responses."""

import logging
from dataclasses import dataclass
from enum import Enum

DEFAULT_RETRY_AFTER_S = 1.0


class Outcome(Enum):
    """What is known about the effect of a request."""

    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    RAN = "ran"


class RetryAdvice(Enum):
    """Whether and how a caller should retry after an error."""

    NEVER = "never"
    LATER = "later"
    SAME_KEY_LATER = "same_key_later"
    NEW_KEY = "new_key"


class ErrorKind(Enum):
    """Every kind of error that a caller or operator can receive."""

    ANSWER_TRUNCATED = "answer_cut"
    ANSWER_NOT_STORED = "answer_not_kept"
    ATTEMPT_STALE = "attempt_stale"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CUSTOMER_OVER_SHARE = "customer_over_share"
    DEADLINE_UNREACHABLE = "deadline_hopeless"
    DEADLINE_PASSED = "deadline_passed"
    FORBIDDEN = "forbidden"
    INTERNAL = "internal"
    INVALID_INTENT = "invalid_intent"
    KEY_IN_FUTURE = "key_ahead"
    KEY_EXPIRED = "key_expired"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    KEY_UNKNOWN = "key_unknown"
    LEASE_LAPSED = "lease_lapsed"
    LOG_UNAVAILABLE = "log_unavailable"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NOT_FOUND = "not_found"
    NOT_OWNER = "not_owner"
    NOT_READY = "not_ready"
    NO_TARGET = "no_target"
    IDEMPOTENCY_TABLE_FULL = "once_table_full"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    OWNER_UNREACHABLE = "owner_unreachable"
    PEER_LESS_LOADED = "peer_has_fewer"
    REDIRECT = "redirect"
    REQUEST_QUARANTINED = "request_held"
    ROUTER_FULL = "router_full"
    SENDER_TIMEOUT = "sender_timeout"
    STALE_PLAN = "stale_plan"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    STREAM_VERSION_ABSENT = "stream_version_gone"
    TAKEOVER_WAIT = "takeover_wait"
    TARGET_FAILED = "target_failed"
    TARGET_DRAINING = "target_leaving"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"


@dataclass(frozen=True)
class ErrorResponse:
    """
    The response to one kind of error.

    Parameters
    ----------
    status : int
        HTTP status code.
    outcome : Outcome
        What the response states about the effect of the request.
    advice : RetryAdvice
        What the caller should do.
    log_level : int
        Level at which the error is logged.
    title : str
        Short description for the caller.
    proof : str
        Why the outcome is certain, for the reference documentation.
    """

    status: int
    outcome: Outcome
    advice: RetryAdvice
    log_level: int
    title: str
    proof: str


_ENTRY = "Rejected by the router before a target was chosen."
_REFUSED = "The sidecar, the only way to the target, refused it before dispatch."
_OWNER = "The owner of the key holds its whole history and never dispatched it."
_NONE = "Nothing is proved; the request may have run."

_N, _U, _R = Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.RAN
_NEVER, _LATER = RetryAdvice.NEVER, RetryAdvice.LATER
_SAME, _NEW = RetryAdvice.SAME_KEY_LATER, RetryAdvice.NEW_KEY
_DEBUG, _INFO = logging.DEBUG, logging.INFO
_WARN, _ERR = logging.WARNING, logging.ERROR
_K = ErrorKind

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    _K.ANSWER_TRUNCATED: ErrorResponse(
        502, _U, _LATER, _WARN, "Answer was cut short", _NONE
    ),
    _K.ANSWER_NOT_STORED: ErrorResponse(
        409, _R, _NEVER, _INFO, "Ran; its answer is no longer kept", _NONE
    ),
    _K.ATTEMPT_STALE: ErrorResponse(
        503, _U, _SAME, _INFO, "Attempt is older than a refusal", _NONE
    ),
    _K.BAD_REQUEST: ErrorResponse(400, _N, _NEVER, _INFO, "Malformed request", _ENTRY),
    _K.BODY_TOO_LARGE: ErrorResponse(413, _N, _NEVER, _INFO, "Body too large", _ENTRY),
    _K.CUSTOMER_OVER_SHARE: ErrorResponse(
        429, _N, _LATER, _INFO, "Customer is over its share", _REFUSED
    ),
    _K.DEADLINE_UNREACHABLE: ErrorResponse(
        503, _N, _LATER, _INFO, "Deadline cannot be met", _REFUSED
    ),
    _K.DEADLINE_PASSED: ErrorResponse(
        504, _U, _LATER, _INFO, "Deadline has passed", _NONE
    ),
    _K.FORBIDDEN: ErrorResponse(403, _N, _NEVER, _INFO, "Not allowed", _ENTRY),
    _K.INTERNAL: ErrorResponse(500, _U, _LATER, _ERR, "Internal error", _NONE),
    _K.INVALID_INTENT: ErrorResponse(422, _N, _NEVER, _INFO, "Invalid intent", _ENTRY),
    _K.KEY_IN_FUTURE: ErrorResponse(
        400, _U, _NEW, _INFO, "Idempotency key is dated in the future", _NONE
    ),
    _K.KEY_EXPIRED: ErrorResponse(
        409, _U, _NEW, _INFO, "Idempotency key is past its retry window", _NONE
    ),
    _K.KEY_IN_PROGRESS: ErrorResponse(
        409, _U, _SAME, _INFO, "A request with this key is running", _NONE
    ),
    _K.KEY_REQUIRED: ErrorResponse(
        400, _N, _NEVER, _INFO, "Idempotency-Key is required", _ENTRY
    ),
    _K.KEY_REUSED: ErrorResponse(
        422, _U, _NEW, _INFO, "Key was used with another request", _NONE
    ),
    _K.KEY_UNKNOWN: ErrorResponse(
        404, _N, _SAME, _INFO, "No request with this key ran", _OWNER
    ),
    _K.LEASE_LAPSED: ErrorResponse(
        503, _U, _SAME, _WARN, "Owner's lease has lapsed", _NONE
    ),
    _K.LOG_UNAVAILABLE: ErrorResponse(
        503, _U, _LATER, _WARN, "Log service is unavailable", _NONE
    ),
    _K.METHOD_NOT_ALLOWED: ErrorResponse(
        405, _N, _NEVER, _INFO, "Method not allowed", _ENTRY
    ),
    _K.NOT_FOUND: ErrorResponse(404, _N, _NEVER, _INFO, "Not found", _ENTRY),
    _K.NOT_OWNER: ErrorResponse(503, _U, _SAME, _INFO, "Key is owned elsewhere", _NONE),
    _K.NOT_READY: ErrorResponse(503, _N, _LATER, _INFO, "Not ready", _ENTRY),
    _K.NO_TARGET: ErrorResponse(
        503, _N, _LATER, _WARN, "No target can take it", _ENTRY
    ),
    _K.IDEMPOTENCY_TABLE_FULL: ErrorResponse(
        503, _U, _SAME, _WARN, "Too many keys are remembered", _NONE
    ),
    _K.OUTCOME_UNKNOWN: ErrorResponse(
        502, _U, _SAME, _WARN, "Whether it ran is unknown", _NONE
    ),
    _K.OVERLOADED: ErrorResponse(503, _N, _LATER, _INFO, "Overloaded", _REFUSED),
    _K.OWNER_UNREACHABLE: ErrorResponse(
        503, _U, _SAME, _WARN, "Owner of the key cannot be reached", _NONE
    ),
    _K.PEER_LESS_LOADED: ErrorResponse(
        503, _N, _LATER, _DEBUG, "A peer carries less", _REFUSED
    ),
    _K.REDIRECT: ErrorResponse(
        503, _N, _LATER, _DEBUG, "Better placed elsewhere", _REFUSED
    ),
    _K.REQUEST_QUARANTINED: ErrorResponse(
        503, _N, _LATER, _INFO, "Held back, since targets ended under it", _ENTRY
    ),
    _K.ROUTER_FULL: ErrorResponse(
        503, _N, _LATER, _INFO, "Router is at a limit of its own", _ENTRY
    ),
    _K.SENDER_TIMEOUT: ErrorResponse(
        408, _N, _LATER, _INFO, "Sender is too slow", _ENTRY
    ),
    _K.STALE_PLAN: ErrorResponse(
        409, _N, _NEVER, _INFO, "Plan's base has changed", _ENTRY
    ),
    _K.STREAM_ORIGIN_UNKNOWN: ErrorResponse(
        503, _N, _LATER, _INFO, "Unknown which version began the stream", _ENTRY
    ),
    _K.STREAM_VERSION_ABSENT: ErrorResponse(
        503, _N, _LATER, _INFO, "The version that began the stream is gone", _ENTRY
    ),
    _K.TAKEOVER_WAIT: ErrorResponse(
        503, _U, _SAME, _INFO, "New owner waits out the old lease", _NONE
    ),
    _K.TARGET_FAILED: ErrorResponse(502, _U, _LATER, _WARN, "Target failed", _NONE),
    _K.TARGET_DRAINING: ErrorResponse(
        503, _N, _LATER, _INFO, "Target is leaving", _REFUSED
    ),
    _K.UNAUTHENTICATED: ErrorResponse(
        401, _N, _NEVER, _INFO, "Unknown or missing credentials", _ENTRY
    ),
    _K.UNKNOWN_MODEL: ErrorResponse(404, _N, _NEVER, _INFO, "Unknown model", _ENTRY),
    _K.UNKNOWN_SERVICE: ErrorResponse(
        404, _N, _NEVER, _INFO, "Unknown service", _ENTRY
    ),
}


@dataclass(frozen=True)
class FleetError:
    """
    One error with what its receiver needs to react.

    Parameters
    ----------
    kind : ErrorKind
        The kind, which selects the row of `ERROR_RESPONSES`.
    detail : str
        What happened, including the invalid value.
    retry_after_s : float or None
        When to retry, in seconds from now.
    alternative : str or None
        A target to try next.
    outcome : Outcome or None
        What is known about the effect, if it differs from the table's row.
    attempt_sent : bool
        Whether this attempt may have reached a target.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
    alternative: str | None = None
    outcome: Outcome | None = None
    attempt_sent: bool = False

    @property
    def response(self) -> ErrorResponse:
        """Return the row of the table for this kind."""
        return ERROR_RESPONSES[self.kind]

    @property
    def known_outcome(self) -> Outcome:
        """Return what is known about the effect of the request."""
        return self.outcome or self.response.outcome
