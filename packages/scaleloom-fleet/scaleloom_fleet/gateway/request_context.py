"""State of one request while the gateway handles it."""

import msgspec

from scaleloom_core.answer_observations import AnswerObservation
from scaleloom_core.cause_digests import part_digest, request_digest
from scaleloom_core.ids import CauseDigest, TargetId
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.rollouts.state import RolloutState
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.stream_origins import StreamBound
from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.gateway.attempt_results import AnswerEnd
from scaleloom_fleet.gateway.event_splitter import EventSplitter
from scaleloom_fleet.gateway.matching import Match
from scaleloom_fleet.gateway.target_probes import TargetProbe
from scaleloom_fleet.http1.callers import CallerConnection, CallerRequest
from scaleloom_fleet.http1.links import AnswerHead

# Bounds what one request adds to the counts of crashes.
MAX_PARTS = 32


class RequestContext(msgspec.Struct):
    """
    State of one request while the gateway handles it.

    Parameters
    ----------
    placement : PlacementKey
        The key that places the request, on the track that it is sent to.
    attempted : set of TargetId
        The targets that the request was sent to.
    send_count : int
        How often the request was sent to a target that may have run it.
    rollout_state : RolloutState or None
        That of the service's roll-out when the target was chosen.
    observation : AnswerObservation or None
        Of the exchange under way, if the service is rolled out.
    failure : tuple of AnswerHead and bytes, or None
        A target's own failure, forwarded if no other target succeeds.
    has_new_holder : bool
        Whether the last answer was the first to show that its target caches the shared
        prompt part.
    answer_end : AnswerEnd or None
        What is known of the end of the last answer that began.
    probe : TargetProbe or None
        Of the target whose exchange broke last.
    sent_to : ListedTarget or None
        The entry of the target that the request was last sent to, as it was then.
    bound : StreamBound or None
        The targets that the stream may go on at; None if it has not begun.
    has_succeeded : bool
        Whether the last answer was a success.
    is_on_trial : bool
        Whether the request is suspected of crashing targets and sent as a trial.
    trials : dict of CauseDigest to int
        Numbers of the trials that this router has just begun with this request.
    """

    connection: CallerConnection
    request: CallerRequest
    match: Match
    placement: PlacementKey
    splitter: EventSplitter | None = None
    attempted: set[TargetId] = msgspec.field(default_factory=set)
    send_count: int = 0
    may_have_run: bool = False
    is_answer_started: bool = False
    rollout_state: RolloutState | None = None
    observation: AnswerObservation | None = None
    failure: tuple[AnswerHead, bytes] | None = None
    has_new_holder: bool = False
    answer_end: AnswerEnd | None = None
    probe: TargetProbe | None = None
    sent_to: ListedTarget | None = None
    bound: StreamBound | None = None
    has_succeeded: bool = False
    is_on_trial: bool = False
    trials: dict[CauseDigest, int] = msgspec.field(default_factory=dict)
    _digest: CauseDigest | None = None
    _part_digests: tuple[CauseDigest, ...] | None = None

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
