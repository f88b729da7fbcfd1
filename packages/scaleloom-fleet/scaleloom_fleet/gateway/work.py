"""One caller's request on its way."""

import msgspec

from scaleloom_core.ids import RequestDigest, TargetId
from scaleloom_core.observations import Observation
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.request_digests import request_digest
from scaleloom_core.rollouts.course import RolloutCourse
from scaleloom_core.rollouts.versions import Track
from scaleloom_fleet.gateway.end_checks import EndCheck
from scaleloom_fleet.gateway.events import EventSplitter
from scaleloom_fleet.gateway.matching import Match
from scaleloom_fleet.http1.callers import CallerConnection, CallerRequest
from scaleloom_fleet.http1.links import AnswerHead


class Work(msgspec.Struct):
    """
    One caller's request on its way.

    Parameters
    ----------
    placement : PlacementKey
        Where it belongs, on the track that it is sent to.
    course : RolloutCourse or None
        Of its service, when the target was chosen.
    observation : Observation or None
        Of the exchange that runs, if the service is rolled out.
    failure : tuple of AnswerHead and bytes, or None
        A target's own failure, passed on if nothing better comes.
    end_check : EndCheck or None
        The look at the target whose exchange broke last.
    is_on_trial : bool
        Whether targets ended under the request, so that it is tried apart.
    trial_number : int or None
        Of the trial that this router has just begun.
    """

    connection: CallerConnection
    request: CallerRequest
    match: Match
    placement: PlacementKey
    splitter: EventSplitter | None = None
    tried: set[TargetId] = msgspec.field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    is_answer_begun: bool = False
    course: RolloutCourse | None = None
    observation: Observation | None = None
    failure: tuple[AnswerHead, bytes] | None = None
    end_check: EndCheck | None = None
    is_on_trial: bool = False
    trial_number: int | None = None
    _digest: RequestDigest | None = None

    @property
    def digest(self) -> RequestDigest:
        """Return what stays the same when the request comes again."""
        if self._digest is None:
            request = self.request
            host = request.values.get(b"host", b"").lower()
            self._digest = request_digest(
                self.match.customer, request.method, host, request.target, request.body
            )
        return self._digest

    @property
    def track(self) -> Track:
        """Return the track that the request is sent to."""
        return self.placement.track
