"""Tests of requests under which targets ended, as the fleet's log tells it."""

import trio
from nose2.tools import params

from scaleloom_core.crash_table import (
    FREE_ENDS,
    HELD_ENDS,
    TRIAL_PAUSE_S,
    TRIALS,
    End,
)
from scaleloom_core.ids import RequestDigest, TargetId
from scaleloom_core.request_digests import request_digest
from scaleloom_core.target_news import AnswerNews
from scaleloom_fleet.gateway.crash_records import crash_record, trial_record
from scaleloom_fleet.gateway.interfaces import KeyedValue, Topic
from scaleloom_platform.calls import PLACES
from tests.fixtures import runners
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
from tests.fixtures.http_standin import Asked
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.states import seen_states

LOG_TOPIC, _ = PLACES[Topic.CRASHES]
PATH = "/stream/1"
BODY = b"a prompt"
# A log that was just written to has reached every router by then.
TOLD_S = 0.3
ELSEWHERE = TargetId("i-100")
WORK_S = 0.5


def _digest(body: bytes) -> RequestDigest:
    """Return what stays the same of a request with `body`."""
    return request_digest(CUSTOMER, b"POST", HOST.encode(), PATH.encode(), body)


REQUEST = _digest(BODY)


def _log(site: Site, ends: int, trials: int = 0, request: int = REQUEST) -> None:
    """Let the log say that targets ended under a request, and that it was tried."""
    records = [crash_record(End(request, start)) for start in range(ends)]
    records += [
        trial_record(request, number + 1, ELSEWHERE) for number in range(trials)
    ]
    for record in records:
        _append(site, record)


def _append(site: Site, record: KeyedValue) -> None:
    """Append a record to the log."""
    site.store.topic(LOG_TOPIC).append(record.key, record.value)


def _held(site: Site) -> set[str]:
    """Return the keys that the log holds."""
    return set(site.store.topic(LOG_TOPIC).newest(1 << 30))


async def _ask(gateway: GatewayFixture, name: str, body: bytes = BODY) -> Answer:
    """Return a gateway's answer to the request."""
    return await gateway.ask(
        request_bytes(PATH, name, method="POST", body=body), "POST"
    )


@runs_on_paused_clock
async def test_a_trial_whose_target_asked_for_rest_meanwhile_is_not_counted():
    # The target rests from the moment in which the trial is counted.
    with seen_states() as states:
        async with running_site(1) as site:
            _log(site, FREE_ENDS)
            await trio.sleep(TOLD_S)
            desk, view = states[0].crashes, states[0].view
            begin_trial = desk.begin_trial

            async def take_and_rest(request, target):
                outcome = await begin_trial(request, target)
                news = AnswerNews(rest_s=TRIAL_PAUSE_S / 2)
                view.note_news(target, news, trio.current_time())
                return outcome

            desk.begin_trial = take_and_rest
            answer = await _ask(site.gateways[0], "r-1")
            assert answer.status == 503
            assert site.runners[0].asked == []
            await trio.sleep(TOLD_S)
            assert desk.table.find(REQUEST).trials == 0
            desk.begin_trial = begin_trial
            await trio.sleep(TRIAL_PAUSE_S)
            assert (await _ask(site.gateways[0], "r-2")).status == 200


async def _work_long(runner: runners.Runner, asked: Asked) -> bool:
    """Answer well after a while."""
    await trio.sleep(WORK_S)
    return await runners.answer_well(runner, asked)


@runs_on_paused_clock
async def test_one_router_of_all_tries_a_request_and_its_answer_clears_it():
    async with running_site(runner_count=4, gateway_count=6) as site:
        for runner in site.runners:
            runner.behaviour = _work_long
        _log(site, FREE_ENDS)
        await trio.sleep(TOLD_S)
        answers: list[Answer] = []

        async def ask(gateway: GatewayFixture) -> None:
            answers.append(await _ask(gateway, gateway.host))

        async with trio.open_nursery() as nursery:
            for gateway in site.gateways:
                nursery.start_soon(ask, gateway)
        asked = sum(len(runner.asked) for runner in site.runners)
        assert sorted(answer.status for answer in answers) == [200] + [503] * 5
        assert asked == 1
        refused = [answer for answer in answers if answer.status == 503]
        assert all(b"request_held" in answer.body for answer in refused)
        for answer in refused:
            assert 0.0 < float(answer.headers["retry-after"]) <= TRIAL_PAUSE_S

        async def is_cleared() -> bool:
            return _held(site) == set()

        await eventually(is_cleared)
        for gateway in site.gateways:
            assert (await _ask(gateway, f"again-{gateway.host}")).status == 200


@runs_on_paused_clock
async def test_no_two_requests_are_tried_at_one_target():
    # Two requests that had each lost two targets were tried at the same moments,
    # five seconds apart, and with few targets left at the same one: what ended
    # it counted against both, and the one that did nothing was held.
    bodies = [b"prompt %d" % number for number in range(4)]
    async with running_site(runner_count=4, gateway_count=2) as site:
        for runner in site.runners:
            runner.behaviour = _work_long
        for body in bodies:
            _log(site, FREE_ENDS, request=_digest(body))
        await trio.sleep(TOLD_S)

        async def ask(number: int, body: bytes) -> None:
            gateway = site.gateways[number % len(site.gateways)]
            assert (await _ask(gateway, f"r-{number}", body)).status == 200

        async with trio.open_nursery() as nursery:
            for number, body in enumerate(bodies):
                nursery.start_soon(ask, number, body)
        assert [len(runner.asked) for runner in site.runners] == [1] * 4


@runs_on_paused_clock
async def test_whoever_waits_for_a_trial_is_sent_when_it_clears_the_request():
    async with running_site(runner_count=4, gateway_count=2) as site:
        _log(site, FREE_ENDS)
        await trio.sleep(TOLD_S)
        statuses: list[int | None] = []

        async def ask(gateway: GatewayFixture) -> None:
            statuses.append((await _ask(gateway, gateway.host)).status)

        async with trio.open_nursery() as nursery:
            for gateway in site.gateways:
                nursery.start_soon(ask, gateway)
        assert statuses == [200, 200]


@runs_on_paused_clock
async def test_a_router_that_joins_holds_what_was_tried_out():
    async with running_site(runner_count=4, gateway_count=1) as site:
        _log(site, FREE_ENDS + TRIALS, TRIALS)
        joined = site.start_gateway(site.store_port)
        await joined.wait_ready()
        await trio.sleep(TOLD_S)
        for gateway in site.gateways:
            assert (await _ask(gateway, gateway.host)).status == 503
        # Until then the last trial may still be under way, for all that it knows.
        await trio.sleep(TRIAL_PAUSE_S)
        for gateway in site.gateways:
            answer = await _ask(gateway, gateway.host)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > TRIAL_PAUSE_S
            others = await _ask(gateway, f"other-{gateway.host}", b"another prompt")
            assert others.status == 200
        assert not any(
            runner.runs[g.host] for g in site.gateways for runner in site.runners
        )


@params((FREE_ENDS, 200), (HELD_ENDS, 503))
@runs_on_paused_clock
async def test_a_request_is_not_held_for_little_while_the_store_is_away(ends, status):
    async with running_site(runner_count=4) as site:
        _log(site, ends)
        await trio.sleep(TOLD_S)
        site.store.fault = StoreFault.BUSY
        assert (await _ask(site.gateways[0], "r-1")).status == status


@params(StoreFault.SILENT, StoreFault.LOST, StoreFault.RESET, StoreFault.LATE)
@runs_on_paused_clock
async def test_a_store_that_tells_nothing_does_not_hold_a_request_up_for_long(fault):
    async with running_site(runner_count=4) as site:
        _log(site, FREE_ENDS)
        await trio.sleep(TOLD_S)
        site.store.fault = fault
        asked_s = trio.current_time()
        assert (await _ask(site.gateways[0], "r-1")).status == 200
        assert trio.current_time() - asked_s < 1.0


@runs_on_paused_clock
async def test_records_of_another_writer_are_passed_over():
    async with running_site(runner_count=4) as site:
        for key in ("", "config", f"{REQUEST:016x}/ended/far", "\u0660" * 16):
            _append(site, KeyedValue(key, b"1"))
        _log(site, FREE_ENDS + TRIALS, TRIALS)
        await trio.sleep(TOLD_S)
        assert (await _ask(site.gateways[0], "r-1")).status == 503


@params(runners.cut_body, runners.close_unanswered, runners.send_nonsense)
@runs_on_paused_clock
async def test_an_answer_that_breaks_off_is_not_the_end_of_its_target(behaviour):
    async with running_site(runner_count=4, gateway_count=2) as site:
        for runner in site.runners:
            runner.behaviour = behaviour
        for number in range(HELD_ENDS):
            for gateway in site.gateways:
                await _ask(gateway, f"{gateway.host}-{number}")
                await trio.sleep(TOLD_S)
        assert _held(site) == set()
        asked_before = sum(len(runner.asked) for runner in site.runners)
        await _ask(site.gateways[0], "last")
        assert sum(len(runner.asked) for runner in site.runners) > asked_before


@runs_on_paused_clock
async def test_a_log_that_lost_its_history_is_read_anew():
    async with running_site(runner_count=4) as site:
        site.store.forget_history(LOG_TOPIC)
        _log(site, FREE_ENDS + TRIALS, TRIALS)
        site.store.forget_history(LOG_TOPIC)

        async def is_held() -> bool:
            return (await _ask(site.gateways[0], "r-1")).status == 503

        await eventually(is_held)
