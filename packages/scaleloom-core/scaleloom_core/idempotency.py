"""Idempotency table of a key slot's owner: runs by key, with their answers."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import Enum

from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.idempotency_keys import IdempotencyKey
from scaleloom_core.ids import SlotNumber
from scaleloom_core.ownership import Tenure

DEFAULT_RETENTION_S = 3600.0
DEFAULT_ENTRY_LIMIT = 20000
DEFAULT_ANSWER_LIMIT_BYTES = 16384
DEFAULT_SKEW_BOUND_S = 0.5

# A key may be dated one skew bound ahead, and the wall clock may step back by another
# after the entry has expired; the third keeps the comparison strict.
EXPIRY_MARGIN_SKEWS = 3


class RunState(Enum):
    """State of the only run of a key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class StoredAnswer:
    """Answer of a target, stored to answer retries without another run."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class IdempotencyEntry:
    """Entry of the idempotency table for one key."""

    key: IdempotencyKey
    body_digest: str
    state: RunState
    recorded_at_s: float
    answer: StoredAnswer | None = None


class Permission(Enum):
    """Whether an owner runs a request or replays its answer."""

    RUN = "run"
    REPLAY = "replay"


@dataclass(frozen=True)
class IdempotencyDecision:
    """Decision to run a request or to replay the stored answer."""

    permission: Permission
    answer: StoredAnswer | None = None


@dataclass(frozen=True)
class IdempotencyPolicy:
    """
    Limits of an idempotency table.

    Parameters
    ----------
    retention_s : float
        Retry window: time for which a key is stored, in seconds.
    entry_limit : int
        Maximum number of keys. When it is reached, new keys are refused; no entry
        is removed before it expires.
    answer_limit_bytes : int
        Maximum length of the body of a stored answer.
    skew_bound_s : float
        Maximum difference between two wall clocks, in seconds.
    """

    retention_s: float = DEFAULT_RETENTION_S
    entry_limit: int = DEFAULT_ENTRY_LIMIT
    answer_limit_bytes: int = DEFAULT_ANSWER_LIMIT_BYTES
    skew_bound_s: float = DEFAULT_SKEW_BOUND_S


class IdempotencyTable:
    """
    Idempotency table for the key slots of one owner.

    Parameters
    ----------
    policy : IdempotencyPolicy
        Limits of the table.
    """

    def __init__(self, policy: IdempotencyPolicy) -> None:
        self._policy = policy
        self._entries: OrderedDict[IdempotencyKey, IdempotencyEntry] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of keys in the table."""
        return len(self._entries)

    def peek(
        self, key: IdempotencyKey, body_digest: str | None
    ) -> Result[IdempotencyDecision, FleetError] | None:
        """
        Return the decision on a known key, or None if `key` is not in the table.

        Parameters
        ----------
        key : IdempotencyKey
            The key.
        body_digest : str or None
            Digest of the retried request; None for a query of the key's state.
        """
        entry = self._entries.get(key)
        if entry is None:
            return None
        return self._answer_from(entry, body_digest or entry.body_digest)

    def begin(
        self,
        key: IdempotencyKey,
        body_digest: str,
        tenure: Tenure,
        now_s: float,
        wall_s: float,
    ) -> Result[IdempotencyDecision, FleetError]:
        """
        Return the decision on a request and, if it may run, record it as running.

        Parameters
        ----------
        key : IdempotencyKey
            Key of the request.
        body_digest : str
            Digest of everything that the run depends on.
        tenure : Tenure
            This owner's tenure of the key slot.
        now_s : float
            The runtime's clock, in seconds.
        wall_s : float
            The wall clock, in Unix seconds.

        Returns
        -------
        Result of IdempotencyDecision or FleetError
            The decision, or the reason for a refusal, which adds no entry.
        """
        self._expire(now_s)
        entry = self._entries.get(key)
        if entry is not None:
            return self._answer_from(entry, body_digest)
        refusal = self._refuse_new(key, tenure, now_s, wall_s)
        if refusal is not None:
            return Failure(refusal)
        self._entries[key] = IdempotencyEntry(key, body_digest, RunState.RUNNING, now_s)
        return Success(IdempotencyDecision(Permission.RUN))

    def abandon(self, key: IdempotencyKey) -> None:
        """Remove a key whose request was provably never sent to the target."""
        self._entries.pop(key, None)

    def finish(self, key: IdempotencyKey, answer: StoredAnswer) -> None:
        """Record the answer of a completed run."""
        entry = self._entries.get(key)
        if entry is None:
            return
        fits = len(answer.body) <= self._policy.answer_limit_bytes
        stored = answer if fits else None
        self._entries[key] = replace(entry, state=RunState.DONE, answer=stored)

    def mark_unknown(self, key: IdempotencyKey) -> None:
        """Record that the outcome of a run is unknown."""
        entry = self._entries.get(key)
        if entry is not None:
            self._entries[key] = replace(entry, state=RunState.UNKNOWN)

    def look_up(
        self, key: IdempotencyKey, tenure: Tenure, now_s: float, wall_s: float
    ) -> Result[StoredAnswer, FleetError]:
        """Return the stored answer for `key`, or an error if there is none."""
        self._expire(now_s)
        entry = self._entries.get(key)
        if entry is None:
            refusal = self._refuse_new(key, tenure, now_s, wall_s)
            missing = FleetError(ErrorKind.KEY_UNKNOWN, _describe(key, "has not run"))
            return Failure(refusal or missing)
        return self._answer_from(entry, entry.body_digest).map(
            lambda decision: decision.answer
        )

    def entries_in(self, slots: frozenset[SlotNumber]) -> list[IdempotencyEntry]:
        """Return the entries in `slots`, oldest first, for a hand-over."""
        return [entry for key, entry in self._entries.items() if key.key_slot in slots]

    def adopt(self, entries: list[IdempotencyEntry], now_s: float) -> None:
        """
        Add the entries of a predecessor.

        The outcome of a run that was in progress at the predecessor is unknown.
        """
        for entry in entries:
            state = entry.state
            if state is RunState.RUNNING:
                state = RunState.UNKNOWN
            self._entries[entry.key] = replace(entry, state=state, recorded_at_s=now_s)

    def running_count(self) -> int:
        """Return the number of runs in progress."""
        entries = self._entries.values()
        return sum(entry.state is RunState.RUNNING for entry in entries)

    def _answer_from(
        self, entry: IdempotencyEntry, body_digest: str
    ) -> Result[IdempotencyDecision, FleetError]:
        """Return the decision on a retry of the key of `entry`."""
        if entry.body_digest != body_digest:
            detail = _describe(entry.key, "was used with another request")
            return Failure(FleetError(ErrorKind.KEY_REUSED, detail))
        if entry.state is RunState.RUNNING:
            detail = _describe(entry.key, "is running")
            return Failure(FleetError(ErrorKind.KEY_IN_PROGRESS, detail, 1.0))
        if entry.state is RunState.UNKNOWN:
            detail = _describe(
                entry.key, "was sent to the target and its outcome is unknown"
            )
            return Failure(FleetError(ErrorKind.OUTCOME_UNKNOWN, detail))
        if entry.answer is None:
            detail = _describe(entry.key, "has run; its answer was too long to store")
            return Failure(FleetError(ErrorKind.ANSWER_NOT_STORED, detail))
        return Success(IdempotencyDecision(Permission.REPLAY, entry.answer))

    def _refuse_new(
        self, key: IdempotencyKey, tenure: Tenure, now_s: float, wall_s: float
    ) -> FleetError | None:
        """Return the refusal of a key that is not in the table, or None."""
        if key.date_s is None:
            return self._refuse_undated(key, tenure, now_s)
        if key.date_s > wall_s + self._policy.skew_bound_s:
            detail = _describe(key, "is dated ahead of the clock")
            return FleetError(ErrorKind.KEY_IN_FUTURE, detail)
        if key.date_s < wall_s - self._policy.retention_s:
            detail = _describe(key, "is older than the retry window")
            return FleetError(ErrorKind.KEY_EXPIRED, detail)
        if key.date_s < tenure.dated_from_s:
            detail = _describe(
                key, "is older than this owner's tenure; a former owner may have run it"
            )
            return FleetError(ErrorKind.OUTCOME_UNKNOWN, detail)
        return self._refuse_full()

    def _refuse_undated(
        self, key: IdempotencyKey, tenure: Tenure, now_s: float
    ) -> FleetError | None:
        """Return the refusal of an undated key, or None."""
        wait_s = tenure.undated_from_s - now_s
        if wait_s > 0:
            detail = _describe(key, "has no date and a former owner may have run it")
            return FleetError(ErrorKind.OUTCOME_UNKNOWN, detail, wait_s)
        return self._refuse_full()

    def _refuse_full(self) -> FleetError | None:
        """Return a refusal if the table is full, or None."""
        if len(self._entries) < self._policy.entry_limit:
            return None
        detail = f"The table contains {len(self._entries)} keys, which is its limit."
        return FleetError(ErrorKind.IDEMPOTENCY_TABLE_FULL, detail, 30.0)

    def _expire(self, now_s: float) -> None:
        """Remove the entries whose retry window is over."""
        margin_s = EXPIRY_MARGIN_SKEWS * self._policy.skew_bound_s
        window_s = self._policy.retention_s + margin_s
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.recorded_at_s > now_s - window_s:
                return
            if oldest.state is RunState.RUNNING:
                return
            self._entries.popitem(last=False)


def _describe(key: IdempotencyKey, statement: str) -> str:
    """Return a message about `key`."""
    return f"Key {key.text!r} {statement}."
