"""State of one exchange: a request sent to one target, and the answer to it."""

import msgspec

from scaleloom_core.answer_observations import AnswerObservation
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.target_entries import ListedTarget
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.target_signals import AnswerSignals
from scaleloom_fleet.gateway.attempt_results import AnswerEnd
from scaleloom_fleet.gateway.resumed_events import ResumedEvents
from scaleloom_fleet.gateway.target_probes import TargetProbe
from scaleloom_fleet.http1.links import Link, OutgoingRequest


class Exchange(msgspec.Struct, eq=False):
    """
    A request sent to one target, and the answer to it.

    Parameters
    ----------
    target : ListedTarget
        The target's entry when the request was sent.
    placement : PlacementKey
        The key that placed the request.
    is_warm : bool
        Whether the target already had the request's prompt in its cache.
    sent_s : float
        When the request was sent, on the runtime's clock.
    observation : AnswerObservation or None
        Of the answer, if the service is rolled out.
    signals : AnswerSignals or None
        What the head of the answer says of the target, once it has been read.
    is_return : bool
        Whether the request goes back to a target that was given up as it was silent.
    has_claimed : bool
        Whether its answer is passed on, or was until the target fell silent.
    has_sent_events : bool
        Whether the caller got a part of the body from this target.
    splits_events : bool
        Whether the body is split into events, so that another run may go on with it.
    resumed_events : ResumedEvents or None
        Selects the events of the body, if it goes on with a stream that another run
        began.
    has_new_holder : bool
        Whether the answer is the first to show that its target caches the shared
        prompt part.
    has_succeeded : bool
        Whether the answer is a success.
    answer_end : AnswerEnd or None
        What is known of the end of the answer, if it began.
    probe : TargetProbe or None
        Of the target, if the exchange broke.
    is_ended : bool
        Whether the link and the slot have been released.
    """

    record: TargetRecord
    target: ListedTarget
    link: Link
    outgoing: OutgoingRequest
    placement: PlacementKey
    is_warm: bool
    sent_s: float
    observation: AnswerObservation | None = None
    signals: AnswerSignals | None = None
    is_return: bool = False
    has_claimed: bool = False
    has_sent_events: bool = False
    splits_events: bool = False
    resumed_events: ResumedEvents | None = None
    has_new_holder: bool = False
    has_succeeded: bool = False
    answer_end: AnswerEnd | None = None
    probe: TargetProbe | None = None
    is_ended: bool = False
