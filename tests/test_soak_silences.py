"""Tests that the soak silences targets, and judges what becomes of their requests."""

import random
from dataclasses import replace

import trio
from nose2.tools import params
from trio.testing import memory_stream_pair

from soak import faults, silences
from soak.arrival_records import Arrival
from soak.callers import CallerResult, Observations
from soak.observed_streams import is_unused
from soak.processes import GatewayProcess
from soak.relays import Relay, RelayMode
from soak.silence_checks import (
    check_answered,
    check_broken_off_events,
    check_ended_in_time,
    check_late_requests,
    check_second_runs,
)
from soak.site import SoakSite
from soak.stillness import CloseWatch, Silence, Stillness, StillStream
from soak.targets import SoakTarget
from tests.fixtures.cut_answers import reset
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer
from tests.fixtures.stub_server import free_listener, port_of
from tests.fixtures.stub_targets import StubTarget, event

ID = "slow-stream-1-1"
AT_S = 100.0
KIND_COUNT_BEFORE = 18
BEGUN = Answer(200, {}, event(1))
NOTHING = Answer(None)
REFUSAL = Answer(503, {}, b"", True)


def _target(name: str = "i-1", **fields: object) -> SoakTarget:
    """Return a target that request `ID` has reached."""
    rng = random.Random(1)
    given = {"added_s": 0.0, "reached_ids": {ID}, **fields}
    return SoakTarget(StubTarget(name), None, "plain", rng, **given)


def _gateway(**fields: object) -> GatewayProcess:
    """Return a gateway."""
    ports = {"front_port": 3, "ready_port": 4}
    return GatewayProcess("g-1", "127.0.0.1", 1, 2, None, **ports, **fields)


def _result(answer: Answer, length_s: float = 1.3, **fields: object) -> CallerResult:
    """Return the end of a request that was sent at `AT_S`."""
    times_s = (AT_S, AT_S + length_s)
    given = {"deadline_s": 5.0, "sent_s": AT_S, **fields}
    gateway = given.pop("gateway", None) or _gateway()
    is_disconnected = bool(given.get("has_left"))
    request = ("stream", ID, gateway, 1, *times_s, answer, False, is_disconnected)
    return CallerResult(*request, **given)


def _count_unanswered(result: CallerResult, *targets: SoakTarget) -> int:
    """Return how many requests count as read and not answered."""
    site = SoakSite(random.Random(1), None, None, 0, targets=list(targets))
    return len(check_answered(site, Observations([result])))


@params(
    (BEGUN, {}, 1),
    (BEGUN, {"is_reset": True}, 1),
    (NOTHING, {}, 1),
    (NOTHING, {"is_reset": True}, 1),
    (REFUSAL, {}, 0),
    (BEGUN, {"has_left": True}, 0),
    (BEGUN, {"length_s": 5.0}, 0),
    (BEGUN, {"length_s": 6.5}, 0),
    (BEGUN, {"length_s": 1.95, "deadline_s": 2.0}, 0),
    (BEGUN, {"length_s": 1.5, "deadline_s": 2.0}, 1),
)
def test_a_request_that_reached_a_target_needs_an_answer(answer, fields, count):
    target = _target(silences=[Silence(AT_S + 0.2, AT_S + 1.5)])
    assert _count_unanswered(_result(answer, **fields), target) == count


@params(
    ({}, 1),
    ({"length_s": 0.1}, 0),
    ({"is_reset": True}, 0),
    ({"sent_s": None}, 0),
)
def test_a_request_that_reached_no_target_counts_if_it_was_read(fields, count):
    assert _count_unanswered(_result(NOTHING, **fields)) == count


@params(
    ({"disturbances_s": [AT_S - 2.0]}, 0),
    ({"disturbances_s": [AT_S + 1.0]}, 0),
    ({"disturbances_s": [AT_S - 4.0]}, 1),
    ({"disturbances_s": [AT_S + 1.0], "hangups_s": [AT_S + 1.0]}, 1),
    ({"stops_s": [AT_S + 1.0], "stopping_s": [AT_S + 1.0]}, 1),
    ({"stops_s": [AT_S - 2.5]}, 0),
    ({"stops_s": [AT_S - 3.5]}, 1),
)
def test_planned_work_at_a_gateway_is_no_reason_to_cut(fields, count):
    result = _result(BEGUN, gateway=_gateway(**fields))
    assert _count_unanswered(result, _target()) == count


@params(
    ({"silences": [Silence(AT_S, is_of_path=True)], "disturbances_s": [AT_S]}, 1),
    ({"ended_s": AT_S + 1.0}, 0),
    ({"ended_s": AT_S + 2.0}, 1),
    ({"path_disturbances_s": [AT_S + 1.0]}, 0),
    ({"broken_off_ids": {ID}}, 0),
)
def test_what_a_target_broke_off_is_no_fault_of_the_gateway(fields, count):
    assert _count_unanswered(_result(BEGUN), _target(**fields)) == count


@params(("cut_body", 0), ("close_unanswered", 0), ("crash", 0), ("answer_slowly", 1))
def test_what_a_target_did_with_a_request_is_noted(outcome, count):
    target = _target()
    arrival = Arrival(ID, "g-1", "i-1", "plain", AT_S, AT_S + 1.0, True)
    target.arrivals.append(replace(arrival, outcome=outcome))
    assert _count_unanswered(_result(BEGUN), target) == count


def _count_late(kind: str, answer: Answer, length_s: float, **fields: object) -> int:
    """Return how many requests beside a stop at `AT_S` count as cut."""
    gateway = fields.pop("gateway", None) or _gateway(stops_s=[AT_S])
    result = replace(_result(answer, length_s, gateway=gateway, **fields), kind=kind)
    site = SoakSite(random.Random(1), None, None, 0, targets=[_target()])
    site.late_results.append(result)
    return len(check_late_requests(site, Observations([result])))


@params(
    ("once", NOTHING, 3.9, {}, 1),
    ("once", NOTHING, 3.9, {"is_reset": True}, 1),
    ("stream", NOTHING, 3.9, {}, 1),
    ("stream", BEGUN, 2.0, {}, 1),
    ("once", BEGUN, 3.9, {}, 1),
    ("stream", BEGUN, 3.9, {}, 0),
    ("once", REFUSAL, 3.9, {}, 0),
    ("once", NOTHING, 1.5, {"deadline_s": 1.5}, 0),
    ("once", NOTHING, 3.9, {"sent_s": None}, 0),
    ("once", NOTHING, 3.9, {"gateway": _gateway(disturbances_s=[AT_S + 1.0])}, 0),
)
def test_a_request_beside_a_stop_is_not_cut_once_it_is_read(
    kind, answer, length_s, fields, count
):
    assert _count_late(kind, answer, length_s, **fields) == count


@params(
    (6.0, 8, 16, (), 8),
    (6.0, 7, 0, (), 0),
    (6.0, 8, 24, (), 0),
    (5.4, 8, 0, (), 0),
    (6.0, 8, 0, [(AT_S + 5.2, AT_S + 5.4)], 0),
    (6.0, 8, 0, [(AT_S + 2.0, AT_S + 4.0)], 8),
)
def test_many_requests_that_end_late_are_too_many(
    length_s, late, in_time, pauses, count
):
    site = SoakSite(random.Random(1), None, None, 0, targets=[_target()])
    site.pauses.extend(pauses)
    results = [_result(NOTHING, length_s) for _ in range(late)]
    results += [_result(BEGUN, 5.2) for _ in range(in_time)]
    assert len(check_ended_in_time(site, Observations(results))) == count


def _run(target: str, from_s: float, to_s: float, closed_s: float) -> Arrival:
    """Return a run of request `ID` at a target."""
    times_s = (AT_S + from_s, AT_S + to_s)
    run = Arrival(ID, "g-1", target, "plain", *times_s, True)
    return replace(run, closed_s=AT_S + closed_s)


@params(
    ((0.0, 2.0, 1.3), (1.0, 2.0, 9.0), {}, 0),
    ((0.0, 2.0, 1.5), (1.0, 2.0, 9.0), {}, 1),
    ((0.0, 2.0, 9.0), (1.0, 1.3, 9.0), {}, 0),
    ((0.0, 1.3, 9.0), (1.0, 2.0, 9.0), {}, 0),
    ((0.0, 2.0, 9.0), (1.0, 2.0, 1.2), {}, 0),
    ((0.0, 2.0, 9.0), (1.0, 2.0, 9.0), {"disturbances_s": [AT_S]}, 0),
)
def test_a_first_run_must_be_cancelled_in_time(first, second, struck, count):
    targets = [_target("i-1"), _target("i-2")]
    targets[0].arrivals.append(_run("i-1", *first))
    targets[1].arrivals.append(_run("i-2", *second))
    site = SoakSite(random.Random(1), None, None, 0, targets=targets)
    site.gateways.append(_gateway(**struck))
    assert len(check_second_runs(site, Observations())) == count


def test_a_first_run_behind_a_silent_path_may_go_on():
    silence = Silence(AT_S, AT_S + 1.2, is_of_path=True)
    targets = [_target("i-1", silences=[silence]), _target("i-2")]
    targets[0].arrivals.append(_run("i-1", 0.0, 2.0, 1.5))
    targets[1].arrivals.append(_run("i-2", 1.0, 2.0, 9.0))
    site = SoakSite(random.Random(1), None, None, 0, targets=targets)
    site.gateways.append(_gateway())
    assert check_second_runs(site, Observations()) == []


@params((event(1) + event(2), 0), (event(1) + event(3), 1), (event(1) * 2, 1))
def test_events_of_a_broken_off_answer_come_in_order(body, count):
    site = SoakSite(random.Random(1), None, None, 0)
    observations = Observations([_result(Answer(200, {}, body))])
    assert len(check_broken_off_events(site, observations)) == count


@runs_on_paused_clock
async def test_a_target_that_stands_still_sends_a_part_at_most():
    near, far = memory_stream_pair()
    stillness = Stillness()
    stream = StillStream(near, stillness, random.Random(2))
    stillness.begin(cuts_pieces=True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream.send_all, event(1))
        await trio.sleep(1.0)
        begun = await far.receive_some()
        assert begun and begun != event(1) and event(1).startswith(begun)
        stillness.end()
    assert begun + await far.receive_some() == event(1)


@runs_on_paused_clock
async def test_a_relay_that_withholds_delivers_bytes_and_close_later():
    listener = free_listener()
    relay = Relay(port_of(listener))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(relay.run)
        near = await trio.open_tcp_stream("127.0.0.1", relay.port)
        far = await listener.accept()
        relay.set_mode(RelayMode.WITHHELD)
        await near.send_all(b"request")
        await near.aclose()
        await far.send_all(b"answer")
        received = b""
        with trio.move_on_after(1.0):
            received = await far.receive_some()
        assert received == b""
        relay.set_mode(RelayMode.PASS)
        assert await far.receive_some() == b"request"
        assert await far.receive_some() == b""
        nursery.cancel_scope.cancel()


@params(True, False)
def test_a_watch_notes_a_close_and_no_other_bytes(closes):
    @runs_on_paused_clock
    async def run() -> None:
        listener = free_listener()
        near = await trio.open_tcp_stream("127.0.0.1", port_of(listener))
        far = await listener.accept()
        async with trio.open_nursery() as nursery:
            watch = CloseWatch(far, nursery)
            await trio.sleep(1.0)
            noted_from_s = trio.current_time()
            if closes:
                reset(near)
                await near.aclose()
            else:
                await near.send_all(b"x")
        assert (noted_from_s <= watch.closed_s < float("inf")) is closes

    run()


@params(([], 1), ([(0.0, 0.2)], 1), ([(0.1, 0.4), (0.5, 0.9)], 0), ([(1.0, 9.0)], 1))
def test_an_end_that_the_soak_saw_late_shows_no_reading(pauses, count):
    site = SoakSite(random.Random(1), None, None, 0)
    site.pauses = [(AT_S + from_s, AT_S + to_s) for from_s, to_s in pauses]
    observations = Observations([_result(NOTHING, 0.8)])
    assert len(check_answered(site, observations)) == count
    given_up = _result(NOTHING, 4.0)
    assert len(check_answered(site, Observations([given_up]))) == 1


def test_a_connection_that_was_closed_while_idle_is_not_used_again():
    async def run():
        here, there = map(trio.SocketStream, trio.socket.socketpair())
        async with here:
            assert is_unused(here)
            await there.aclose()
            assert not is_unused(here)

    trio.run(run)


def test_seeds_of_the_earlier_kinds_draw_no_silence():
    earlier = faults.FAULTS[:KIND_COUNT_BEFORE]
    kind_count = KIND_COUNT_BEFORE + len(silences.SILENCES)
    assert faults.FAULTS[KIND_COUNT_BEFORE:kind_count] == silences.SILENCES
    assert not set(earlier) & set(silences.SILENCES)
    modes = ["delay", "reset", "silent", "one_way"]
    assert [mode.value for mode in faults.DISRUPTIVE_MODES] == modes


def test_most_silences_end_within_two_seconds():
    rng = random.Random(3)
    drawn_s = [silences.draw_silence_s(rng) for _ in range(1000)]
    assert min(drawn_s) >= 0.3 and max(drawn_s) == silences.LONG_SILENCE_S
    assert sum(length_s <= 1.8 for length_s in drawn_s) > 850


def test_silences_affect_one_some_or_all_targets_of_a_service():
    site = SoakSite(random.Random(1), None, None, 0)
    site.targets = [_target(f"i-{number}") for number in range(4)]
    rng = random.Random(4)
    drawn = [silences.draw_affected(site, rng) for _ in range(100)]
    assert {len(affected) for affected in drawn} == {1, 2, 3, 4}
