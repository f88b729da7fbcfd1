"""Tests that the soak judges streams that callers take up again."""

import random

from nose2.tools import params

from soak.callers import CallerResult, MixedStream, Observations
from soak.mixed_streams import MIXED, find_order_problem, mixed_event
from soak.processes import GatewayProcess
from soak.resumption_checks import (
    check_resumed_share,
    check_stream_order,
    check_stream_versions,
    count_outcomes,
)
from soak.site import SoakSite
from soak.targets import SoakTarget
from tests.fixtures.gateways import Answer
from tests.fixtures.stub_targets import StubTarget

AT_S = 100.0


def _target(name: str, version: str, **fields: object) -> SoakTarget:
    """Return a target that has served for long."""
    rng = random.Random(1)
    given = {"added_s": 0.0, "version": version, **fields}
    return SoakTarget(StubTarget(name), None, MIXED, rng, **given)


def _site(targets: list[SoakTarget]) -> SoakSite:
    """Return a site with `targets`."""
    return SoakSite(random.Random(1), None, None, 0, targets=targets)


def _gateway() -> GatewayProcess:
    """Return a gateway that nothing disturbed."""
    return GatewayProcess("g-1", "127.0.0.1", 1, 2, None, front_port=3, ready_port=4)


def _attempt(
    gateway: GatewayProcess, first: int, *versions: str, has_left: bool = False
) -> CallerResult:
    """Return an attempt that brought an event of each of `versions` from `first` on."""
    body = b"".join(mixed_event(first + n, v) for n, v in enumerate(versions))
    answer = Answer(200, {}, body)
    times_s = (AT_S, AT_S + 0.1)
    request = (MIXED, "r-1", gateway, 1, *times_s, answer, False, has_left)
    return CallerResult(*request, has_left, first)


def _taken_up(gateway: GatewayProcess, then: str | None) -> MixedStream:
    """Return a stream of v1 that was taken up and went on at `then`, or nowhere."""
    versions = [then] if then else []
    return MixedStream([_attempt(gateway, 1, "v1"), _attempt(gateway, 2, *versions)])


def _serving() -> list[SoakTarget]:
    """Return two targets of version 1."""
    return [_target("i-1", "v1"), _target("i-2", "v1")]


@params((2, False), (3, True))
def test_more_than_two_streams_of_several_versions_break_the_promise(count, is_broken):
    gateway = _gateway()
    streams = [_taken_up(gateway, "v2") for _ in range(count)]
    streams += [_taken_up(gateway, "v1"), _taken_up(gateway, None)]
    cases = check_stream_versions(_site([]), Observations(mixed_streams=streams))
    assert bool(cases) is is_broken


def test_one_answer_that_holds_several_versions_counts():
    streams = [MixedStream([_attempt(_gateway(), 1, "v1", "v3")]) for _ in range(3)]
    observations = Observations(mixed_streams=streams)
    assert len(check_stream_versions(_site([]), observations)) == 3


@params((12, 5, True), (12, 6, False), (11, 0, False))
def test_half_of_the_streams_that_are_taken_up_must_go_on(taken_up, go_on, is_broken):
    gateway = _gateway()
    streams = [_taken_up(gateway, "v1") for _ in range(go_on)]
    streams += [_taken_up(gateway, None) for _ in range(taken_up - go_on)]
    site, observations = _site(_serving()), Observations(mixed_streams=streams)
    assert bool(check_resumed_share(site, observations)) is is_broken


@params(
    ([_target("i-1", "v1")],),
    ([_target("i-1", "v1"), _target("i-2", "v2")],),
    ([_target("i-1", "v1"), _target("i-2", "v1", tells_version=False)],),
    ([_target("i-1", "v1"), _target("i-2", "v1", removed_s=AT_S)],),
    ([_target("i-1", "v1"), _target("i-2", "v1", added_s=AT_S)],),
    ([_target("i-1", "v1"), _target("i-2", "v1", disturbances_s=[AT_S])],),
)
def test_streams_without_two_targets_of_their_version_do_not_count(targets):
    observations = Observations(mixed_streams=[_taken_up(_gateway(), None)])
    assert count_outcomes(_site(targets), observations)[0] == []


def test_a_stream_that_is_taken_up_several_times_counts_once():
    gateway = _gateway()
    refused = [_attempt(gateway, 2) for _ in range(3)]
    streams = [
        MixedStream([_attempt(gateway, 1, "v1"), *refused]),
        MixedStream([_attempt(gateway, 1, "v1"), *refused, _attempt(gateway, 2, "v1")]),
    ]
    outcomes = count_outcomes(_site(_serving()), Observations(mixed_streams=streams))
    assert outcomes == ([False, True], [True, True])


def test_a_stream_of_a_target_without_a_listed_version_does_not_count():
    unlisted = _target("i-3", "v1", tells_version=False)
    unlisted.stub.runs["r-1"] += 1
    observations = Observations(mixed_streams=[_taken_up(_gateway(), None)])
    outcomes = count_outcomes(_site([*_serving(), unlisted]), observations)
    assert outcomes == ([], [True])


def test_attempts_at_gateways_out_of_touch_do_not_count():
    gateway = _gateway()
    gateway.disturbances_s.append(AT_S - 1.0)
    observations = Observations(mixed_streams=[_taken_up(gateway, "v1")])
    assert count_outcomes(_site(_serving()), observations) == ([], [])


def test_a_caller_that_left_before_any_event_does_not_count():
    stream = MixedStream([_attempt(_gateway(), 1, has_left=True)])
    observations = Observations(mixed_streams=[stream])
    assert count_outcomes(_site(_serving()), observations) == ([], [])


@params(
    (mixed_event(3, "v1") + mixed_event(4, "v2"), False),
    (mixed_event(3, "v1") + b"id: 4\nda", False),
    (b"", False),
    (mixed_event(4, "v1"), True),
    (mixed_event(2, "v1") + mixed_event(3, "v1"), True),
    (mixed_event(3, "v1") + mixed_event(3, "v1"), True),
    (b"id: 3\ndata\n\n" + mixed_event(3, "v1"), True),
)
def test_events_must_be_those_that_come_next(body, is_problem):
    assert bool(find_order_problem(body, 3)) is is_problem


def test_an_event_that_comes_twice_is_found():
    gateway = _gateway()
    streams = [MixedStream([_attempt(gateway, 1, "v1"), _attempt(gateway, 1, "v1")])]
    streams[0].attempts[1].answer.body = mixed_event(2, "v1") * 2
    cases = check_stream_order(_site([]), Observations(mixed_streams=streams))
    assert len(cases) == 1
