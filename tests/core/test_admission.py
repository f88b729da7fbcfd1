"""Tests of the admission control of one engine."""

import math

from returns.result import Failure

from scaleloom_core.admission import AdmissionController, AdmissionPolicy, RequestOffer
from scaleloom_core.errors import ErrorKind, Outcome
from scaleloom_core.load_bound import LoadSample
from scaleloom_core.placement import CandidateRole

CAPACITY = 8
SLOT_COUNT = 12


def _controller(
    peer_loads: list[int] | None = None, started_at_s: float = -1e9
) -> AdmissionController:
    controller = AdmissionController(CAPACITY, AdmissionPolicy(), started_at_s)
    loads = {f"peer-{number}": load for number, load in enumerate(peer_loads or [])}
    if peer_loads is not None:
        controller.mean.keep_only(set(loads))
    for peer, load in loads.items():
        controller.mean.add_sample(peer, LoadSample(load, 0.0, 0.0))
    return controller


def _offer(chat: str, customer: str = "appraisal", **more) -> RequestOffer:
    return RequestOffer(customer, chat, is_final=more.pop("is_final", True), **more)


def _fill(
    controller: AdmissionController, count: int, customer: str = "appraisal"
) -> list:
    return [controller.decide(_offer(f"chat-{n}", customer), 0.0) for n in range(count)]


def _admitted(results: list) -> int:
    return sum(not isinstance(result, Failure) for result in results)


def _kind(result) -> ErrorKind:
    return result.failure().kind


def test_without_samples_only_the_floor_is_admitted():
    assert _admitted(_fill(_controller(), 10)) == 4


def test_a_single_engine_uses_all_its_slots():
    controller = _controller(peer_loads=[])
    results = _fill(controller, 20, "one")
    assert _admitted(results) == SLOT_COUNT
    assert _kind(results[-1]) is ErrorKind.OVERLOADED


def test_the_bound_follows_the_mean():
    controller = _controller(peer_loads=[8] * 9)
    admitted = _admitted(_fill(controller, 20))
    assert admitted == 11
    assert admitted <= math.ceil(1.25 * (72 + admitted) / 10) < admitted + 1


def test_a_referral_does_not_raise_the_mean():
    controller = _controller(peer_loads=[2] * 9)
    _fill(controller, 4)
    before = controller.mean.mean(controller.load, 0.0)
    _fill(controller, 50)
    assert controller.mean.mean(4, 0.0) == before


def test_a_refusal_refers_to_the_least_loaded_peer():
    controller = _controller(peer_loads=[5, 1, 5])
    refused = next(item for item in _fill(controller, 10) if isinstance(item, Failure))
    assert refused.failure().alternative == "peer-1"


def test_fresh_samples_are_needed_only_if_they_could_admit():
    assert not _controller(peer_loads=[9] * 9).needs_fresh_mean(0.0)
    unsampled = _controller()
    _fill(unsampled, 4)
    assert unsampled.needs_fresh_mean(0.0)


def test_a_draining_engine_admits_nothing():
    controller = _controller([])
    controller.start_draining()
    refused = controller.decide(_offer("chat"), 0.0)
    assert _kind(refused) is ErrorKind.TARGET_DRAINING
    assert refused.failure().known_outcome is Outcome.NOT_RUN


def test_a_new_engine_redirects_returning_chats():
    controller = _controller([0], started_at_s=0.0)
    returning = _offer("chat", is_returning=True, is_final=False)
    assert _kind(controller.decide(returning, 1.0)) is ErrorKind.REDIRECT
    first = _offer("chat", is_returning=False, is_final=False)
    assert not isinstance(controller.decide(first, 1.0), Failure)


def test_a_former_home_admits_only_known_chats():
    controller = _controller([0])
    request = _offer("chat", role=CandidateRole.FORMER_HOME, is_final=False)
    assert _kind(controller.decide(request, 0.0)) is ErrorKind.REDIRECT
    controller.decide(_offer("chat"), 0.0)
    assert not isinstance(controller.decide(request, 0.0), Failure)


def test_a_home_refers_to_the_target_that_admitted_the_chat():
    controller = _controller([0])
    controller.record_placement("appraisal", "chat", "peer-0", 0.0)
    refused = controller.decide(_offer("chat", is_final=False), 1.0)
    assert refused.failure().alternative == "peer-0"
    assert not isinstance(controller.decide(_offer("chat"), 1.0), Failure)


def test_requests_that_would_miss_their_deadline_are_refused():
    controller = _controller([])
    _fill(controller, SLOT_COUNT)
    late = controller.decide(_offer("chat", time_left_s=0.01), 0.0)
    assert _kind(late) is ErrorKind.DEADLINE_UNREACHABLE
    assert late.failure().retry_after_s > 0.01


def test_a_surging_customer_leaves_the_reserve_to_others():
    controller = _controller([])
    controller.decide(_offer("quiet-0", "quiet"), 0.0)
    surge = _fill(controller, 30, "surging")
    assert _kind(surge[-1]) is ErrorKind.CUSTOMER_OVER_SHARE
    quiet = controller.decide(_offer("quiet-1", "quiet"), 0.0)
    assert not isinstance(quiet, Failure)


def test_a_returning_caller_precedes_a_new_one():
    controller = _controller([])
    tickets = [result.unwrap() for result in _fill(controller, SLOT_COUNT, "a")]
    refused = controller.decide(_offer("late", "a", role=CandidateRole.HOME), 0.0)
    due_s = refused.failure().retry_after_s
    controller.finish(tickets[0], due_s, is_served=True)
    new = controller.decide(_offer("new", "a", role=CandidateRole.HOME), due_s)
    assert isinstance(new, Failure)
    back = controller.decide(_offer("late", "a", role=CandidateRole.HOME), due_s)
    assert not isinstance(back, Failure)
