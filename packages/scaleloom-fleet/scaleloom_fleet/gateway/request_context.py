"""State of one request while the gateway handles it."""

import msgspec

from scaleloom_core.cause_digests import part_digest, request_digest
from scaleloom_core.ids import CauseDigest, TargetId
from scaleloom_core.memory_account import MessageReservation
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.rollouts.state import RolloutState
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.stream_origins import StreamBound
from scaleloom_fleet.gateway.caller_answer import CallerAnswer
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.hedges import Hedge
from scaleloom_fleet.gateway.matching import Match
from scaleloom_fleet.http1.callers import CallerConnection, CallerRequest
from scaleloom_fleet.http1.links import AnswerHead

# Bounds what one request adds to the counts of crashes.
MAX_PARTS = 32
# Bounds how often a stream goes back and forth between targets that fall silent.
MAX_SENDS = 6


class RequestContext(msgspec.Struct):
    """
    State of one request while the gateway handles it.

    Parameters
    ----------
    placement : PlacementKey
        The key that places the request, on the track that it is sent to.
    answer : CallerAnswer
        The answer, as far as the caller has got it.
    attempted : set of TargetId
        The targets that the request was sent to.
    send_count : int
        How often the request was sent to a target that may have run it.
    ran_at : set of TargetId
        The targets that may have run the request.
    left_silent : set of TargetId
        Those of them that were given up only because they were silent.
    is_retry : bool
        Whether the request has been sent, so that the next send is a retry.
    answering : Exchange or None
        The exchange whose answer is passed on.
    hedges : list of Hedge
        The attempts beside silent targets that are under way, in order of their begin.
    rollout_state : RolloutState or None
        That of the service's roll-out when the target was chosen.
    failure : tuple of AnswerHead and bytes, or None
        A target's own failure, forwarded if no other target succeeds.
    kept_reservation : MessageReservation or None
        The memory for it, and for an incomplete event.
    bound : StreamBound or None
        The targets that the stream may go on at; None if it has not begun.
    is_on_trial : bool
        Whether the request is suspected of crashing targets and sent as a trial.
    trials : dict of CauseDigest to int
        Numbers of the trials that this router has just begun with this request.
    """

    connection: CallerConnection
    request: CallerRequest
    match: Match
    placement: PlacementKey
    answer: CallerAnswer
    attempted: set[TargetId] = msgspec.field(default_factory=set)
    send_count: int = 0
    ran_at: set[TargetId] = msgspec.field(default_factory=set)
    left_silent: set[TargetId] = msgspec.field(default_factory=set)
    is_retry: bool = False
    answering: Exchange | None = None
    hedges: list[Hedge] = msgspec.field(default_factory=list)
    rollout_state: RolloutState | None = None
    failure: tuple[AnswerHead, bytes] | None = None
    kept_reservation: MessageReservation | None = None
    bound: StreamBound | None = None
    is_on_trial: bool = False
    trials: dict[CauseDigest, int] = msgspec.field(default_factory=dict)
    _digest: CauseDigest | None = None
    _part_digests: tuple[CauseDigest, ...] | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        return self.send_count > 0

    @property
    def may_retry(self) -> bool:
        """Return whether the request may be sent again, though it may have run."""
        if not self.match.route.is_retryable or not self.answer.may_be_continued:
            return False
        return self.may_use_new_target or self.may_return

    @property
    def may_use_new_target(self) -> bool:
        """Return whether the route allows one more target for the request."""
        return len(self.ran_at) < self.match.route.attempt_limit

    @property
    def may_return(self) -> bool:
        """Return whether a begun stream may go back to a target that was silent."""
        answer = self.answer
        if not (answer.is_begun and answer.may_be_continued):
            return False
        if self.send_count >= MAX_SENDS:
            return False
        # A target beside which others are attempted may be given up at any time.
        return bool(self.left_silent or self.hedges)

    @property
    def digest(self) -> CauseDigest:
        """Return the digest that all retries of the request share."""
        if self._digest is None:
            request = self.request
            host = request.values.get(b"host", b"").lower()
            self._digest = request_digest(
                self.match.customer, request.method, host, request.target, request.body
            )
        return self._digest

    def keep_digest(self) -> None:
        """Compute the digest, since the body it is made from will be dropped."""
        self._digest = self.digest

    @property
    def part_digests(self) -> tuple[CauseDigest, ...]:
        """Return the digests of the prompt parts that other requests may share."""
        if self._part_digests is None:
            # The last part is the request's own.
            shared = self.match.prompt_parts[:-1][:MAX_PARTS]
            self._part_digests = tuple(map(part_digest, shared))
        return self._part_digests

    @property
    def causes(self) -> tuple[CauseDigest, ...]:
        """Return the possible causes of a crash: the request, and its prompt parts."""
        return (self.digest, *self.part_digests)

    @property
    def track(self) -> Track:
        """Return the track that the request is sent to."""
        return self.placement.track
