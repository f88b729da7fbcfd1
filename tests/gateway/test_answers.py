"""Tests of the answers that callers get while targets misbehave."""

import trio
from nose2.tools import params

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    Site,
    ask_on,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.logs import ListHandler
from tests.fixtures.stub_targets import EVENT_COUNT, event

WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))


@params("/safe/1", "/once/1?a=%2F&b")
@runs_on_paused_clock
async def test_a_request_reaches_one_target_unchanged(path):
    async with running_site() as site:
        answer = await site.ask(path, method="POST", body=b"what is asked", X_Own="1")
        (request,) = [request for target in site.runners for request in target.received]
    assert (answer.status, answer.is_complete) == (200, True)
    assert answer.body == b"body of r-1"
    assert answer.headers["response-seal"].startswith("seal-i-")
    assert (request.method, request.target, request.body) == (
        "POST",
        path,
        b"what is asked",
    )
    assert request.headers["x-own"] == "1"
    assert request.headers["tenant"] == "desk"
    assert "authorization" not in request.headers
    assert 0 < int(request.headers["deadline-ms"]) <= 2000


@params("/stream/1", "/stream-once/1")
@runs_on_paused_clock
async def test_a_stream_arrives_whole(path):
    async with running_site() as site:
        answer = await site.ask(path)
    assert (answer.status, answer.is_complete) == (200, True)
    assert answer.body == WHOLE_STREAM


@params(
    ("/nowhere/1", "key-of-desk", 404),
    ("/safe", "key-of-desk", 404),
    ("/safe/1", "wrong", 401),
    ("/safe/1", None, 401),
)
@runs_on_paused_clock
async def test_what_is_not_allowed_is_refused(path, key, status):
    async with running_site() as site:
        answer = await site.ask(path, key=key)
        assert site.run_count() == 0
    assert answer.status == status
    assert "response-seal" not in answer.headers


# Path, behaviour of every target, status of the answer, maximum number of runs.
FAULTS_OF_ALL = [
    ("/once/1", stub_targets.reject_not_run, 503, 0),
    ("/once/1", stub_targets.fail, 500, 1),
    ("/once/1", stub_targets.reject_without_proof, 502, 1),
    ("/once/1", stub_targets.close_unanswered, 502, 1),
    ("/once/1", stub_targets.cut_body, 502, 1),
    ("/once/1", stub_targets.send_garbage, 502, 1),
    ("/once/1", stub_targets.answer_twice, 200, 1),
    ("/once/1", stub_targets.answer_other_first, 200, 1),
    ("/once/1", stub_targets.answer_unframed, 200, 1),
    ("/once/1", stub_targets.stay_silent, 504, 1),
    ("/stream-once/1", stub_targets.reject_not_run, 503, 0),
    ("/stream-once/1", stub_targets.close_unanswered, 502, 1),
    ("/stream-once/1", stub_targets.stay_silent, 504, 1),
    ("/safe/1", stub_targets.reject_not_run, 503, 0),
    ("/safe/1", stub_targets.fail, 500, 2),
    ("/safe/1", stub_targets.close_unanswered, 502, 2),
    ("/safe/1", stub_targets.answer_twice, 200, 1),
    ("/stream/1", stub_targets.close_unanswered, 502, 2),
]


@params(*FAULTS_OF_ALL)
@runs_on_paused_clock
async def test_a_fault_of_every_target(path, behaviour, status, run_limit):
    async with running_site() as site:
        for target in site.runners:
            target.behaviour = behaviour
        answer = await site.ask(path)
        assert site.run_count() <= run_limit
    assert answer.status == status, answer
    assert answer.is_complete
    if status == 503:
        assert float(answer.headers["retry-after"]) > 0
    if status in (502, 503, 504):
        assert "response-seal" not in answer.headers
    if status == 200:
        assert answer.body == b"body of r-1"


# Behaviour of one target of two; a repeatable request is served by the other.
FAULTS_OF_ONE = [
    stub_targets.reject_not_run,
    stub_targets.fail,
    stub_targets.reject_without_proof,
    stub_targets.close_unanswered,
    stub_targets.cut_body,
    stub_targets.send_garbage,
    stub_targets.answer_other_first,
    stub_targets.stay_silent,
]


@params(*FAULTS_OF_ONE)
@runs_on_paused_clock
async def test_a_repeatable_request_gets_past_one_bad_target(behaviour):
    async with running_site() as site:
        site.runners[0].behaviour = behaviour
        for number in range(6):
            answer = await site.ask("/safe/1", f"r-{number}")
            assert (answer.status, answer.is_complete) == (200, True)
            assert answer.body == f"body of r-{number}".encode()


@runs_on_paused_clock
async def test_a_refusal_after_a_broken_attempt_does_not_claim_not_run():
    async with running_site() as site:

        async def break_first(target, request) -> bool:
            behaviour = (
                stub_targets.reject_not_run
                if site.run_count()
                else stub_targets.close_unanswered
            )
            return await behaviour(target, request)

        for target in site.runners:
            target.behaviour = break_first
        answer = await site.ask("/safe/1")
        assert site.run_count() == 1
    assert answer.status == 502


@params(stub_targets.cut_body, stub_targets.stall_stream)
@runs_on_paused_clock
async def test_a_resumable_stream_continues_at_another_target(behaviour):
    async with running_site() as site:
        site.runners[0].behaviour = behaviour
        for number in range(4):
            answer = await site.ask("/stream/1", f"r-{number}")
            assert (answer.is_complete, answer.body) == (True, WHOLE_STREAM)
        received = [request for request in site.runners[1].received]
    assert any("last-event-id" in request.headers for request in received)


@runs_on_paused_clock
async def test_a_stream_that_may_not_be_retried_is_visibly_truncated():
    async with running_site() as site:
        for target in site.runners:
            target.behaviour = stub_targets.cut_body
        answer = await site.ask("/stream-once/1")
        assert site.run_count() == 1
    assert (answer.status, answer.is_complete) == (200, False)


async def _disconnect_in_flight(site: Site, path: str, **limits: float) -> None:
    """Disconnect a caller while its request runs, and wait for the cancellation."""
    (target,) = site.runners
    target.behaviour = stub_targets.stay_silent

    async def has_run() -> bool:
        return site.run_count() == 1

    async def is_cancelled() -> bool:
        return target.cancelled == 1

    port = site.gateways[0].front_port
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(request_bytes(path))
        await eventually(has_run)
    await eventually(is_cancelled, **limits)


@params("/safe/1", "/stream-once/1", "/once/1")
@runs_on_paused_clock
async def test_a_disconnected_caller_cancels_its_request_at_the_target(path):
    async with running_site(runner_count=1) as site:
        await _disconnect_in_flight(site, path, limit_s=0.4)


@runs_on_paused_clock
async def test_a_disconnected_caller_is_not_logged_as_not_served():
    with ListHandler.capture("scaleloom.gateway") as messages:
        async with running_site(runner_count=1) as site:
            await _disconnect_in_flight(site, "/once/1")
            await site.ask("/nowhere/1")
    assert "request not served" not in messages


@runs_on_paused_clock
async def test_a_connection_carries_many_requests():
    async with running_site() as site:
        port = site.gateways[0].front_port
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            for number in range(5):
                data = request_bytes("/once/1", f"r-{number}")
                answer = await ask_on(stream, data, "GET")
                assert answer.body == f"body of r-{number}".encode()


@runs_on_paused_clock
async def test_another_target_at_the_address_runs_nothing():
    async with running_site(runner_count=1) as site:
        site.runners[0].id = "i-new"
        answer = await site.ask("/once/1")
        assert site.run_count() == 0
    assert answer.status == 503


@runs_on_paused_clock
async def test_an_unreachable_target_costs_only_one_attempt():
    async with running_site() as site:
        servers = site.store.topic("keyed.servers")
        servers.append("i-9", servers.records[0][1].replace(b"127.0.0.1", b"127.0.0.9"))
        await eventually(lambda: _has_read_list(site, 3))
        for number in range(6):
            answer = await site.ask("/once/1", f"r-{number}")
            assert answer.status == 200


async def _has_read_list(site, count: int) -> bool:
    """Return once the gateway has read the list after the last change."""
    before = len(site.store.calls)
    await eventually(lambda: _store_was_called(site, before + 2))
    return True


async def _store_was_called(site, count: int) -> bool:
    """Return whether the store has received `count` calls."""
    return len(site.store.calls) >= count
