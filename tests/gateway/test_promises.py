"""Tests of the guarantees to callers under random faults of targets and store."""

import random
from collections import Counter
from dataclasses import dataclass

import trio
from nose2.tools import params

from tests.fixtures import stub_targets
from tests.fixtures.cut_answers import EVENT_END, draw_answer, pieces_of, send_pieces
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, Site, ask_raw, request_bytes, running_site
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.stub_targets import EVENT_COUNT, event

REQUEST_COUNT = 120
MAX_CONCURRENT = 12
FAULTY_SHARE = 0.5
DISCONNECT_SHARE = 0.1
BROKEN_SHARE = 0.5
PATHS = ("/safe/1", "/once/1", "/stream/1", "/stream-once/1")
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
FAULTS = (
    stub_targets.reject_not_run,
    stub_targets.fail,
    stub_targets.reject_without_proof,
    stub_targets.close_unanswered,
    stub_targets.cut_body,
    stub_targets.send_garbage,
    stub_targets.answer_twice,
    stub_targets.answer_other_first,
    stub_targets.answer_unframed,
)
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True)
class CallerOutcome:
    """
    The response that one caller received, and how often its request ran.

    Parameters
    ----------
    may_be_cut : bool
        Whether targets break off answers that only their connection delimits.
    """

    path: str
    request_id: str
    answer: Answer
    runs: int
    may_be_cut: bool

    def find_violation(self) -> str | None:
        """Return a description of the guarantee that was violated, or None."""
        is_retryable = self.path in ("/safe/1", "/stream/1")
        answer = self.answer
        if not is_retryable and self.runs > 1:
            return "ran more than once"
        if answer.status in NOT_RUN_STATUSES and self.runs:
            return "reported as not run, but ran"
        if answer.status == 200 and not self._is_body_allowed():
            return "wrong body"
        if answer.status == 200 and "response-seal" not in answer.headers:
            return "success without a seal"
        if answer.status == 200 and answer.headers["request-id"] != self.request_id:
            return "response to another request"
        if answer.status in (502, 503, 504) and "response-seal" in answer.headers:
            return "seal on a response of the gateway itself"
        return None

    def _is_body_allowed(self) -> bool:
        """Return whether the body is whole, or may be cut where it is."""
        answer, expected = self.answer, self.expected_body()
        if answer.is_framed_as_complete:
            return answer.body == expected
        if answer.is_complete and not self.may_be_cut:
            return answer.body == expected
        if answer.is_complete and self.path.startswith("/stream"):
            # The caller can't tell that nothing follows, only that no event is cut.
            is_between_events = answer.body.endswith(EVENT_END)
            return is_between_events and expected.startswith(answer.body)
        return expected.startswith(answer.body)

    def expected_body(self) -> bytes:
        """Return the body of a complete successful response."""
        if self.path.startswith("/stream"):
            return WHOLE_STREAM
        return f"body of {self.request_id}".encode()


def _ending_with_connection(draw: random.Random):
    """Return a behaviour that answers without framing, whole or broken off."""

    async def answer(runner, asked) -> bool:
        runner.runs[stub_targets.request_id(asked)] += 1
        planned = draw_answer(pieces_of(asked), BROKEN_SHARE, draw)
        return await send_pieces(runner, asked, planned, draw)

    return answer


def _random_behaviour(seed: int, may_be_cut: bool):
    """Return a behaviour that is drawn at random for each request."""
    draw = random.Random(seed)
    ending_with_connection = _ending_with_connection(draw)

    async def behave(runner, asked) -> bool:
        chosen = stub_targets.answer_normally
        if draw.random() < FAULTY_SHARE:
            chosen = draw.choice(FAULTS)
        if may_be_cut and chosen in (stub_targets.answer_unframed, stub_targets.fail):
            chosen = ending_with_connection
        if (
            asked.target.startswith("/stream")
            and chosen is stub_targets.answer_unframed
        ):
            chosen = stub_targets.cut_body
        return await chosen(runner, asked)

    return behave


async def _ask(site: Site, draw: random.Random, number: int, outcomes: list) -> None:
    """Send a request to a random gateway; some callers disconnect early."""
    path = draw.choice(PATHS)
    gateway = draw.choice(site.gateways)
    request_id = f"r-{number}"
    timeout_s = 0.002 if draw.random() < DISCONNECT_SHARE else 5.0
    answer = Answer(None)
    with trio.move_on_after(timeout_s):
        data = request_bytes(path, request_id)
        answer = await ask_raw(gateway.front_port, data, host=gateway.host)
    outcomes.append((path, request_id, answer))


async def _vary_store_fault(site: Site, draw: random.Random) -> None:
    """Change the fault of the store at random intervals."""
    while True:
        site.store.fault = draw.choice(list(StoreFault))
        await trio.sleep(draw.uniform(0.05, 0.2))


@params(1, 2, 3, 4)
@runs_on_paused_clock
async def test_no_promise_is_broken_under_mixed_faults(seed):
    await _check_promises(seed, may_be_cut=False)


@params(1, 2, 3, 4)
@runs_on_paused_clock
async def test_no_promise_is_broken_if_connections_end_answers(seed):
    await _check_promises(seed, may_be_cut=True)


async def _check_promises(seed: int, may_be_cut: bool) -> None:
    """Check the guarantees to many callers under faults drawn from `seed`."""
    draw = random.Random(seed)
    asked: list[tuple[str, str, Answer]] = []
    async with running_site(runner_count=3, gateway_count=2) as site:
        for number, runner in enumerate(site.runners):
            runner.behaviour = _random_behaviour(seed * 10 + number, may_be_cut)
        site.nursery.start_soon(_vary_store_fault, site, draw)
        limiter = trio.CapacityLimiter(MAX_CONCURRENT)

        async def ask_with_limit(number: int) -> None:
            async with limiter:
                await _ask(site, draw, number, asked)

        async with trio.open_nursery() as nursery:
            for number in range(REQUEST_COUNT):
                nursery.start_soon(ask_with_limit, number)
        outcomes = [
            CallerOutcome(*row, site.run_count(row[1]), may_be_cut) for row in asked
        ]
    violations = [(o.find_violation(), o) for o in outcomes if o.find_violation()]
    assert violations == []
    counts = Counter((outcome.path, outcome.answer.status) for outcome in outcomes)
    served = sum(count for (_, status), count in counts.items() if status == 200)
    assert served > REQUEST_COUNT / 4, counts
