"""
Tests of targets whose answers have heads that are not valid.

Guards against such answers that reach callers: with a status, a version or values that
no recipient expects, or with a body whose end the two sides see in different places.
"""

import trio
from nose2.tools import params

from scaleloom_fleet.http1.answer_heads import HeadFault, fault_counts
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, Site, running_site
from tests.fixtures.logs import FieldsHandler
from tests.fixtures.odd_heads import ODD_HEADS, answer_with, odd_answer
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget, answer_normally, request_id

PATHS = ("/safe/1", "/once/1", "/stream-once/1", "/stream/1")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
ODD_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n more\r\n\r\n"


def _has_nothing_of_target(answer: Answer) -> bool:
    """Return whether the router itself says that the request failed."""
    return answer.status == 502 and "odd" not in answer.headers


async def _ask_all(site: Site) -> dict[str, Answer]:
    """Return the answers of all kinds of routes, by their paths."""
    return {path: await site.ask(path, f"r-{path}") for path in PATHS}


@params(*ODD_HEADS)
@runs_on_paused_clock
async def test_an_answer_with_an_odd_head_is_not_passed_on(name):
    odd = ODD_HEADS[name]
    with FieldsHandler.capture("scaleloom.input", "answer refused") as lines:
        async with running_site() as site:
            for target in site.runners:
                target.behaviour = answer_with(odd)
            answers = await _ask_all(site)
            counts = {f: count for f, count in fault_counts().items() if count}
    passed_on = [p for p, a in answers.items() if not _has_nothing_of_target(a)]
    assert not passed_on, {path: answers[path] for path in passed_on}
    assert {line["fault"] for line in lines} == {odd.fault.value}
    assert counts == {odd.fault: len(lines)}


@params("/safe/1", "/stream/1")
@runs_on_paused_clock
async def test_another_target_serves_a_request_whose_answer_had_an_odd_head(path):
    async with running_site() as site:
        odd_target, _ = site.runners
        odd_target.behaviour = answer_with(ODD_HEADS["status 999"])
        answers = [await site.ask(path, f"r-{n}") for n in range(4)]
    assert odd_target.runs.total() > 0
    assert [(a.status, a.is_complete) for a in answers] == [(200, True)] * 4


@params(*PATHS)
@runs_on_paused_clock
async def test_an_odd_informational_head_fails_the_answer(path):
    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        await request.stream.send_all(INTERIM + ODD_INTERIM)
        return await answer_normally(target, request)

    async with running_site() as site:
        for target in site.runners:
            target.behaviour = answer
        answered = await site.ask(path)
        assert fault_counts()[HeadFault.FOLDED_LINE] > 0
    assert _has_nothing_of_target(answered)


@params(*PATHS)
@runs_on_paused_clock
async def test_an_answer_behind_informational_heads_is_passed_on(path):
    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        await request.stream.send_all(INTERIM * 2)
        return await answer_normally(target, request)

    async with running_site() as site:
        for target in site.runners:
            target.behaviour = answer
        answered = await site.ask(path)
    assert (answered.status, answered.is_complete) == (200, True)


@runs_on_paused_clock
async def test_an_odd_head_behind_a_surplus_answer_is_refused():
    odd = ODD_HEADS["BEL in a value"]

    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        target.runs[request_id(request)] += 1
        surplus = b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\na"
        data = surplus + odd_answer(odd, target, request)
        await request.stream.send_all(data)
        return False

    async with running_site() as site:
        for target in site.runners:
            target.behaviour = answer
        answered = await site.ask("/once/1")
    assert _has_nothing_of_target(answered)


@runs_on_paused_clock
async def test_an_odd_head_that_arrives_slowly_is_refused():
    odd = ODD_HEADS["folded line"]

    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        for byte in odd_answer(odd, target, request):
            await request.stream.send_all(bytes([byte]))
            await trio.sleep(0.001)
        return False

    async with running_site() as site:
        for target in site.runners:
            target.behaviour = answer
        answered = await site.ask("/once/1")
        assert fault_counts()[HeadFault.FOLDED_LINE] > 0
    assert _has_nothing_of_target(answered)
