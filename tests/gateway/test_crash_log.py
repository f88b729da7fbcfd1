"""Tests of how gateways treat suspected requests according to the crash log."""

import trio
from nose2.tools import params

from scaleloom_core.cause_digests import request_digest
from scaleloom_core.crash_history import (
    MAX_TRIALS,
    MIN_QUARANTINE_CRASHES,
    MIN_REQUEST_CRASHES,
    TRIAL_INTERVAL_S,
    Crash,
)
from scaleloom_core.ids import CauseDigest, TargetId
from scaleloom_core.target_signals import AnswerSignals
from scaleloom_fleet.gateway.crash_records import crash_record, trial_record
from scaleloom_fleet.gateway.interfaces import KeyedValue, Topic
from scaleloom_platform.calls import TOPIC_PARTITIONS
from tests.fixtures import stub_targets
from tests.fixtures.crashing import Caller, crashing_site
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CUSTOMER,
    HOST,
    Answer,
    GatewayFixture,
    Site,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.states import captured_states
from tests.fixtures.stub_server import ReceivedRequest

LOG_TOPIC, _ = TOPIC_PARTITIONS[Topic.CRASHES]
PATH = "/stream/1"
BODY = b"a prompt"
# A record appended to the log has reached every router by then.
LOG_READ_S = 0.3
ELSEWHERE = TargetId("i-100")
WORK_S = 0.5
IDLE_LINKS = 6
CRASH_DETECTION_S = 0.02


def _digest(body: bytes) -> CauseDigest:
    """Return the digest of a request with `body`."""
    return request_digest(CUSTOMER, b"POST", HOST.encode(), PATH.encode(), body)


REQUEST = _digest(BODY)


def _append_history(
    site: Site, crashes: int, trials: int = 0, request: int = REQUEST
) -> None:
    """Append crashes and trials of a request to the log."""
    records = [crash_record(Crash(request, start)) for start in range(crashes)]
    records += [
        trial_record(request, number + 1, ELSEWHERE) for number in range(trials)
    ]
    for record in records:
        _append(site, record)


def _append(site: Site, record: KeyedValue) -> None:
    """Append a record to the log."""
    site.store.topic(LOG_TOPIC).append(record.key, record.value)


def _log_keys(site: Site) -> set[str]:
    """Return the keys that the log holds."""
    return set(site.store.topic(LOG_TOPIC).newest(1 << 30))


async def _ask(gateway: GatewayFixture, name: str, body: bytes = BODY) -> Answer:
    """Return a gateway's answer to the request."""
    return await gateway.ask(
        request_bytes(PATH, name, method="POST", body=body), "POST"
    )


@runs_on_paused_clock
async def test_a_trial_whose_target_started_to_back_off_is_not_counted():
    # The target starts to back off at the moment in which the trial is recorded.
    with captured_states() as states:
        async with running_site(1) as site:
            _append_history(site, MIN_REQUEST_CRASHES)
            await trio.sleep(LOG_READ_S)
            tracker, view = states[0].crashes, states[0].view
            begin_trial = tracker.begin_trial

            async def begin_and_back_off(request, target):
                outcome = await begin_trial(request, target)
                signals = AnswerSignals(retry_after_s=TRIAL_INTERVAL_S / 2)
                view.record_signals(target, signals, trio.current_time())
                return outcome

            tracker.begin_trial = begin_and_back_off
            answer = await _ask(site.gateways[0], "r-1")
            assert answer.status == 503
            assert site.runners[0].received == []
            await trio.sleep(LOG_READ_S)
            assert tracker.table.find_history(REQUEST).trials == 0
            tracker.begin_trial = begin_trial
            await trio.sleep(TRIAL_INTERVAL_S)
            assert (await _ask(site.gateways[0], "r-2")).status == 200


@runs_on_paused_clock
async def test_a_trial_whose_target_crashed_before_it_was_sent_is_not_counted():
    # The target crashes while the store records the trial. The request was then sent
    # over the dead link, blamed for the crash, and refused for 5 s.
    with captured_states() as states:
        async with crashing_site(2, 1, lambda request: False) as (site, targets):
            (gateway,) = site.gateways
            caller = Caller(site)
            # Leaves an idle link to each target.
            async with trio.open_nursery() as nursery:
                for number in range(2 * IDLE_LINKS):
                    nursery.start_soon(caller.ask, gateway, b"%d" % number, PATH)
            _append_history(site, MIN_REQUEST_CRASHES)
            await trio.sleep(LOG_READ_S)
            tracker = states[0].crashes
            begin_trial = tracker.begin_trial

            async def begin_and_crash(request, target):
                outcome = await begin_trial(request, target)
                tracker.begin_trial = begin_trial
                targets.crash(target)
                await trio.sleep(CRASH_DETECTION_S)
                return outcome

            tracker.begin_trial = begin_and_crash
            await _ask(gateway, "r-1")
            crashed = targets.crashed_s
            await trio.sleep(2 * LOG_READ_S)
            answer = await _ask(gateway, "r-2")
    assert len(crashed) == 1
    assert answer.status == 200


async def _answer_slowly(
    target: stub_targets.StubTarget, request: ReceivedRequest
) -> bool:
    """Answer normally after a while."""
    await trio.sleep(WORK_S)
    return await stub_targets.answer_normally(target, request)


@runs_on_paused_clock
async def test_only_one_router_runs_a_trial_and_its_answer_clears_the_request():
    async with running_site(runner_count=4, gateway_count=6) as site:
        for target in site.runners:
            target.behaviour = _answer_slowly
        _append_history(site, MIN_REQUEST_CRASHES)
        await trio.sleep(LOG_READ_S)
        answers: list[Answer] = []

        async def ask(gateway: GatewayFixture) -> None:
            answers.append(await _ask(gateway, gateway.host))

        async with trio.open_nursery() as nursery:
            for gateway in site.gateways:
                nursery.start_soon(ask, gateway)
        sent = sum(len(target.received) for target in site.runners)
        assert sorted(answer.status for answer in answers) == [200] + [503] * 5
        assert sent == 1
        refused = [answer for answer in answers if answer.status == 503]
        assert all(b"request_held" in answer.body for answer in refused)
        for answer in refused:
            assert 0.0 < float(answer.headers["retry-after"]) <= TRIAL_INTERVAL_S

        async def is_cleared() -> bool:
            return _log_keys(site) == set()

        await eventually(is_cleared)
        for gateway in site.gateways:
            assert (await _ask(gateway, f"again-{gateway.host}")).status == 200


@runs_on_paused_clock
async def test_no_two_requests_are_on_trial_at_one_target():
    # Guards against simultaneous trials of two suspected requests at one target: both
    # had trials at the same moments, five seconds apart, and with few targets left at
    # the same target. A crash counted against both, and the request that had not
    # caused it was quarantined.
    bodies = [b"prompt %d" % number for number in range(4)]
    async with running_site(runner_count=4, gateway_count=2) as site:
        for target in site.runners:
            target.behaviour = _answer_slowly
        for body in bodies:
            _append_history(site, MIN_REQUEST_CRASHES, request=_digest(body))
        await trio.sleep(LOG_READ_S)

        async def ask(number: int, body: bytes) -> None:
            gateway = site.gateways[number % len(site.gateways)]
            assert (await _ask(gateway, f"r-{number}", body)).status == 200

        async with trio.open_nursery() as nursery:
            for number, body in enumerate(bodies):
                nursery.start_soon(ask, number, body)
        assert [len(target.received) for target in site.runners] == [1] * 4


@runs_on_paused_clock
async def test_a_request_that_waits_for_a_trial_is_sent_once_cleared():
    async with running_site(runner_count=4, gateway_count=2) as site:
        _append_history(site, MIN_REQUEST_CRASHES)
        await trio.sleep(LOG_READ_S)
        statuses: list[int | None] = []

        async def ask(gateway: GatewayFixture) -> None:
            statuses.append((await _ask(gateway, gateway.host)).status)

        async with trio.open_nursery() as nursery:
            for gateway in site.gateways:
                nursery.start_soon(ask, gateway)
        assert statuses == [200, 200]


@runs_on_paused_clock
async def test_a_router_that_joins_quarantines_requests_without_trials_left():
    async with running_site(runner_count=4, gateway_count=1) as site:
        _append_history(site, MIN_REQUEST_CRASHES + MAX_TRIALS, MAX_TRIALS)
        joined = site.start_gateway(site.store_port)
        await joined.wait_ready()
        await trio.sleep(LOG_READ_S)
        for gateway in site.gateways:
            assert (await _ask(gateway, gateway.host)).status == 503
        # Until then the last trial may still be under way, as far as the router knows.
        await trio.sleep(TRIAL_INTERVAL_S)
        for gateway in site.gateways:
            answer = await _ask(gateway, gateway.host)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > TRIAL_INTERVAL_S
            others = await _ask(gateway, f"other-{gateway.host}", b"another prompt")
            assert others.status == 200
        assert not any(
            target.runs[g.host] for g in site.gateways for target in site.runners
        )


@params((MIN_REQUEST_CRASHES, 200), (MIN_QUARANTINE_CRASHES, 503))
@runs_on_paused_clock
async def test_a_request_with_few_crashes_is_sent_while_the_store_is_unavailable(
    crashes, status
):
    async with running_site(runner_count=4) as site:
        _append_history(site, crashes)
        await trio.sleep(LOG_READ_S)
        site.store.fault = StoreFault.UNAVAILABLE
        assert (await _ask(site.gateways[0], "r-1")).status == status


@params(StoreFault.SILENT, StoreFault.RESPONSE_LOST, StoreFault.RESET, StoreFault.LATE)
@runs_on_paused_clock
async def test_an_unresponsive_store_delays_a_suspected_request_only_briefly(fault):
    async with running_site(runner_count=4) as site:
        _append_history(site, MIN_REQUEST_CRASHES)
        await trio.sleep(LOG_READ_S)
        site.store.fault = fault
        sent_s = trio.current_time()
        assert (await _ask(site.gateways[0], "r-1")).status == 200
        assert trio.current_time() - sent_s < 1.0


@runs_on_paused_clock
async def test_records_of_another_writer_are_ignored():
    async with running_site(runner_count=4) as site:
        for key in ("", "config", f"{REQUEST:016x}/ended/far", "\u0660" * 16):
            _append(site, KeyedValue(key, b"1"))
        _append_history(site, MIN_REQUEST_CRASHES + MAX_TRIALS, MAX_TRIALS)
        await trio.sleep(LOG_READ_S)
        assert (await _ask(site.gateways[0], "r-1")).status == 503


@params(stub_targets.cut_body, stub_targets.close_unanswered, stub_targets.send_garbage)
@runs_on_paused_clock
async def test_a_broken_answer_is_not_counted_as_a_crash(behaviour):
    async with running_site(runner_count=4, gateway_count=2) as site:
        for target in site.runners:
            target.behaviour = behaviour
        for number in range(MIN_QUARANTINE_CRASHES):
            for gateway in site.gateways:
                await _ask(gateway, f"{gateway.host}-{number}")
                await trio.sleep(LOG_READ_S)
        assert _log_keys(site) == set()
        asked_before = sum(len(target.received) for target in site.runners)
        await _ask(site.gateways[0], "last")
        assert sum(len(target.received) for target in site.runners) > asked_before


@runs_on_paused_clock
async def test_a_log_that_was_compacted_is_read_anew():
    async with running_site(runner_count=4) as site:
        site.store.compact(LOG_TOPIC)
        _append_history(site, MIN_REQUEST_CRASHES + MAX_TRIALS, MAX_TRIALS)
        site.store.compact(LOG_TOPIC)

        async def is_quarantined() -> bool:
            return (await _ask(site.gateways[0], "r-1")).status == 503

        # An answer before the log was read would clear the request.
        await trio.sleep(LOG_READ_S)
        await eventually(is_quarantined)
