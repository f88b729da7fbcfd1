"""Tests of which of two targets, of which one was silent, answers a request."""

from types import SimpleNamespace
from unittest import mock

import trio
from nose2.tools import params

from scaleloom_core.routing import RequestKind
from scaleloom_fleet.gateway import hedging
from scaleloom_fleet.gateway.attempt_results import AttemptResult
from scaleloom_fleet.gateway.hedges import OVERLAP_S, limit_overlap
from tests.fixtures.fleets import runs_on_paused_clock

BODY_S = 0.1


def _exchange(name: str) -> SimpleNamespace:
    """Return an exchange with a target that has sent nothing more."""
    target = SimpleNamespace(id=name)
    link = SimpleNamespace(
        received_s=0.0, has_unprocessed=False, is_open_and_empty=lambda: True
    )
    return SimpleNamespace(target=target, link=link, has_claimed=False)


def _context() -> SimpleNamespace:
    """Return a plain request that may be repeated."""
    route = SimpleNamespace(kind=RequestKind.SAFE)
    return SimpleNamespace(
        match=SimpleNamespace(route=route),
        connection=SimpleNamespace(is_answer_complete=False),
        hedges=[],
        answering=None,
        left_silent=set(),
    )


# Which of the two tasks that wake at once runs first is left to chance.
@params(*range(10))
@runs_on_paused_clock
async def test_no_answer_is_passed_on_as_a_target_goes_on_while_it_is_given_up(_):
    context, answers = _context(), []
    silent, other = _exchange("i-1"), _exchange("i-2")
    is_head_there = trio.Event()

    async def read_on() -> AttemptResult:
        await is_head_there.wait()
        await hedging.claim_answer(None, context, silent)
        await trio.sleep(BODY_S)
        answers.append("silent")
        return AttemptResult.ANSWERED

    async def attempt_others() -> None:
        limit_overlap(context.hedges)
        await trio.sleep(OVERLAP_S / 2)
        # The head has arrived before the time is up, and is read after it.
        is_head_there.set()
        trio.lowlevel.current_clock().jump(OVERLAP_S)
        await trio.sleep(BODY_S)
        await hedging.claim_answer(None, context, other)
        answers.append("other")

    with mock.patch.multiple(
        hedging,
        record_silence=mock.DEFAULT,
        record_silence_end=mock.DEFAULT,
        end_exchange=mock.DEFAULT,
    ):
        hedge = await hedging.attempt_beside(
            None, context, silent, read_on, attempt_others
        )
    assert len(answers) == 1, (answers, hedge.silence_end)
