"""Promises to callers under mixed faults of targets, store and callers, by seed."""

import random
from dataclasses import dataclass

import trio
from nose2.tools import params

from tests.fixtures import runners
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, Site, ask_raw, request_bytes, running_site
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.runners import EVENT_COUNT, event

REQUEST_COUNT = 120
AT_ONCE = 12
FAULTY_SHARE = 0.5
IMPATIENT_SHARE = 0.1
PATHS = ("/safe/1", "/once/1", "/stream/1", "/stream-once/1")
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
FAULTS = (
    runners.shed,
    runners.fail,
    runners.refuse_unproved,
    runners.close_unanswered,
    runners.cut_body,
    runners.send_nonsense,
    runners.answer_twice,
    runners.answer_other_first,
    runners.answer_unframed,
)
PROMISES = (408, 421, 429, 503)


@dataclass(frozen=True)
class Outcome:
    """What one caller got, and how often its request ran."""

    path: str
    request_id: str
    answer: Answer
    runs: int

    def broken_promise(self) -> str | None:
        """Return which promise was broken, if any was."""
        is_repeatable = self.path in ("/safe/1", "/stream/1")
        answer = self.answer
        if not is_repeatable and self.runs > 1:
            return "ran twice"
        if answer.status in PROMISES and self.runs:
            return "a false promise that it has not run"
        if answer.status == 200 and answer.is_whole and answer.body != self.due_body():
            return "another body"
        if answer.status == 200 and "response-seal" not in answer.headers:
            return "a success without a seal"
        if answer.status == 200 and answer.headers["request-id"] != self.request_id:
            return "another request's answer"
        if answer.status in (502, 503, 504) and "response-seal" in answer.headers:
            return "a seal on an answer of our own"
        return None

    def due_body(self) -> bytes:
        """Return the body that a whole success has."""
        if self.path.startswith("/stream"):
            return WHOLE_STREAM
        return f"body of {self.request_id}".encode()


def _misbehave(seed: int):
    """Return a behaviour that is drawn anew for each request."""
    draw = random.Random(seed)

    async def behave(runner, asked) -> bool:
        chosen = runners.answer_well
        if draw.random() < FAULTY_SHARE:
            chosen = draw.choice(FAULTS)
        if asked.target.startswith("/stream") and chosen is runners.answer_unframed:
            chosen = runners.cut_body
        return await chosen(runner, asked)

    return behave


async def _ask(site: Site, draw: random.Random, number: int, outcomes: list) -> None:
    """Ask one request of one gateway, perhaps without waiting for the answer."""
    path = draw.choice(PATHS)
    gateway = draw.choice(site.gateways)
    request_id = f"r-{number}"
    patience_s = 0.002 if draw.random() < IMPATIENT_SHARE else 5.0
    answer = Answer(None)
    with trio.move_on_after(patience_s):
        data = request_bytes(path, request_id)
        answer = await ask_raw(gateway.front_port, data, host=gateway.host)
    outcomes.append((path, request_id, answer))


async def _trouble_store(site: Site, draw: random.Random) -> None:
    """Let the store misbehave in one way after another."""
    while True:
        site.store.fault = draw.choice(list(StoreFault))
        await trio.sleep(draw.uniform(0.05, 0.2))


@params(1, 2, 3, 4)
@runs_on_paused_clock
async def test_no_promise_is_broken_under_mixed_faults(seed):
    draw = random.Random(seed)
    asked: list[tuple[str, str, Answer]] = []
    async with running_site(runner_count=3, gateway_count=2) as site:
        for number, runner in enumerate(site.runners):
            runner.behaviour = _misbehave(seed * 10 + number)
        site.nursery.start_soon(_trouble_store, site, draw)
        limiter = trio.CapacityLimiter(AT_ONCE)

        async def ask_in_turn(number: int) -> None:
            async with limiter:
                await _ask(site, draw, number, asked)

        async with trio.open_nursery() as nursery:
            for number in range(REQUEST_COUNT):
                nursery.start_soon(ask_in_turn, number)
        outcomes = [Outcome(*row, runs=site.run_count(row[1])) for row in asked]
    broken = [(o.broken_promise(), o) for o in outcomes if o.broken_promise()]
    assert broken == []
    served = sum(outcome.answer.status == 200 for outcome in outcomes)
    assert served > REQUEST_COUNT / 4
