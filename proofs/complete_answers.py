"""Proofs that callers get the complete answer to their own request, or an error.

The router forwards with the code of the product; the connections to sidecars are
scripted from fixed seeds to truncate, mix up, delay and refuse answers.
"""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum

import httpcore
import msgspec
import trio

from proofs.results import Checker, ProofResult
from scaleloom_core.errors import ErrorKind
from scaleloom_core.fold import LogEntry
from scaleloom_core.ids import InstanceId
from scaleloom_core.intents import digest_secret
from scaleloom_core.membership import Member, Role
from scaleloom_core.records import (
    Assignment,
    Change,
    Customer,
    Model,
    Target,
    encode_record,
)
from scaleloom_fleet.conf.schema import (
    InstanceSection,
    PlatformSection,
    RouterSettings,
)
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.problems import make_application
from scaleloom_fleet.router.process import build_router, make_routes
from scaleloom_fleet.router.state import RouterState

PROMISE = "complete answers, and only theirs"
SEEDS = 3000
TARGETS = ("e1", "e2", "e3")
CUSTOMER_KEY = "appraisal-key"
EVENT_END = b"\n\n"
END_MARK = b"data: [DONE]" + EVENT_END
REQUEST_BODY = b'{"model": "dossier", "stream": true, "messages": [{"role": "user"}]}'


class Ending(Enum):
    """
    How the body of a scripted answer ends.

    CHUNKED ends with a last chunk and BROKEN with a reset. CLOSED has neither a length
    nor chunks and ends with an orderly close, whether it is complete or not.
    """

    CHUNKED = "chunked"
    BROKEN = "broken"
    CLOSED = "closed"


@dataclass
class TrialScript:
    """Random generator and answers of the scripted connections of one trial."""

    rng: random.Random
    answers: dict[str, bytes] = field(default_factory=dict)
    has_reached_target: bool = False

    def get_answer(self, attempt: str) -> bytes:
        """Return the complete answer to `attempt`, drawn on the first call."""
        if attempt not in self.answers:
            lines = [
                f"data: {attempt} part {number}\n\n".encode()
                for number in range(self.rng.randint(1, 6))
            ]
            self.answers[attempt] = b"".join(lines) + END_MARK
        return self.answers[attempt]


class _ScriptedResponse:
    """An answer whose body may be truncated."""

    def __init__(self, status, headers, body, ending: Ending, rng) -> None:
        self.status = status
        self.headers = [
            (name.encode(), value.encode()) for name, value in headers.items()
        ]
        if ending is not Ending.CLOSED:
            self.headers.append((b"Transfer-Encoding", b"chunked"))
        self._body = body
        self._ending = ending
        self._rng = rng

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; raise ``httpcore.ReadError`` if it is broken."""
        position = 0
        while position < len(self._body):
            size = self._rng.randint(1, 40)
            yield self._body[position : position + size]
            position += size
            if self._rng.random() < 0.3:
                await trio.sleep(self._rng.uniform(0, 0.2))
        if self._ending is Ending.BROKEN:
            raise httpcore.ReadError("cut")

    async def aread(self) -> bytes:
        """Return the complete body."""
        return b"".join([part async for part in self.aiter_stream()])


class ScriptedClient:
    """Test double for the HTTP client that connects to sidecars."""

    def __init__(self, script: TrialScript) -> None:
        self._script = script
        self._rng = script.rng

    @asynccontextmanager
    async def stream(self, method, url, headers=None, body=b""):
        """Answer one request, or fail as drawn from the script."""
        await trio.sleep(self._rng.uniform(0, 0.1))
        draw = self._rng.random()
        if draw < 0.1:
            raise httpcore.ConnectError("refused")
        if draw < 0.15:
            self._script.has_reached_target = True
            raise httpcore.ReadError("broken before an answer")
        yield self._respond(method, url, headers)

    async def request(self, method, url, headers=None, body=b"", timeout_s=None):
        """Ignore a cancellation request."""

    def _respond(
        self, method: str, url: str, headers: dict[str, str]
    ) -> _ScriptedResponse:
        """Return an answer: correct, of another attempt, refused or truncated."""
        if method == "GET":
            return self._resume(url)
        attempt = hops.read_hop(headers).attempt
        draw = self._rng.random()
        if draw < 0.1:
            return self._respond_stream(
                "another-attempt", b"data: not yours\n\n" + END_MARK, Ending.CHUNKED
            )
        if draw < 0.2:
            refused = {hops.ATTEMPT_HEADER: attempt, hops.REFUSAL_HEADER: "overloaded"}
            refused[hops.OUTCOME_HEADER] = "not_run"
            return _ScriptedResponse(503, refused, b"full", Ending.CHUNKED, self._rng)
        answer = self._script.get_answer(attempt)
        return self._respond_maybe_cut(attempt, answer)

    def _resume(self, url: str) -> _ScriptedResponse:
        """Resume an answer at an offset, or answer 404."""
        path, _, offset = url.rpartition("?from=")
        attempt = path.rpartition("/")[2]
        if self._rng.random() < 0.3:
            return self._respond_stream(attempt, b"", Ending.CHUNKED, status=404)
        rest = self._script.get_answer(attempt)[int(offset) :]
        if self._rng.random() < 0.1:
            return self._respond_stream("another-attempt", rest, Ending.CHUNKED)
        return self._respond_maybe_cut(attempt, rest)

    def _respond_maybe_cut(self, attempt: str, answer: bytes) -> _ScriptedResponse:
        """Return `answer`, truncated between or inside events half of the time."""
        if self._rng.random() < 0.5:
            ending = self._rng.choice([Ending.CHUNKED, Ending.CLOSED])
            return self._respond_stream(attempt, answer, ending)
        length = self._rng.randint(0, len(answer))
        if self._rng.random() < 0.5:
            length = len(_split_last_event(answer[:length])[0])
        ending = self._rng.choice([Ending.BROKEN, Ending.CLOSED])
        return self._respond_stream(attempt, answer[:length], ending)

    def _respond_stream(
        self, attempt, body, ending: Ending, status: int = 200
    ) -> _ScriptedResponse:
        """Return an event stream with the attempt id in its headers."""
        headers = {hops.ATTEMPT_HEADER: attempt, "content-type": "text/event-stream"}
        return _ScriptedResponse(status, headers, body, ending, self._rng)


def make_trial_settings() -> RouterSettings:
    """Return the settings of a router that opens no sockets."""
    return RouterSettings(
        instance=InstanceSection("r1", "sala-a", "127.0.0.1", 1, 2, 3, "secret-secret"),
        platform=PlatformSection("127.0.0.1:4", "127.0.0.1:5"),
    )


def apply_configuration(state: RouterState) -> None:
    """Apply a configuration of three targets to the router."""
    change = Change(
        record_id="first",
        base_version=-1,
        author="ana",
        puts=(
            Customer("appraisal", (digest_secret(CUSTOMER_KEY),)),
            Model("dossier"),
            *(Target(name) for name in TARGETS),
            *(Assignment(name, "dossier", 1) for name in TARGETS),
        ),
    )
    state.config.apply([LogEntry(0, encode_record(change))])
    state.config.mark_loaded()
    members = [
        Member(InstanceId(name), Role.SIDECAR, "sala-a", "127.0.0.1", 9, 9)
        for name in TARGETS
    ]
    state.membership.apply_list(members, trio.current_time())


def ignore_datagram(address, datagram) -> int:
    """Send no datagram."""
    return 0


async def run_trial(seed: int, checker: Checker) -> str:
    """Run one request, check its answer, and return its outcome."""
    script = TrialScript(random.Random(seed))
    state = build_router(make_trial_settings())
    state.client = ScriptedClient(script)
    state.datagrams.send = ignore_datagram
    apply_configuration(state)
    sent: list[dict] = []
    unread = [{"type": "http.request", "body": REQUEST_BODY, "more_body": False}]

    async def receive() -> dict:
        if unread:
            return unread.pop()
        await trio.sleep_forever()

    async def send(message: dict) -> None:
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/chat/completions",
        "query_string": b"",
        "headers": [(b"authorization", f"Bearer {CUSTOMER_KEY}".encode())],
    }
    await make_application(make_routes(state))(scope, receive, send)
    return _check_answer(checker, seed, script, sent)


def _check_answer(
    checker: Checker, seed: int, script: TrialScript, sent: list[dict]
) -> str:
    """Check what the caller received, and return its outcome."""
    status = sent[0]["status"]
    body = b"".join(item.get("body", b"") for item in sent[1:])
    if status != 200:
        checker.check(
            END_MARK not in body,
            f"seed {seed}: an error answer ends like a complete one",
        )
        is_false = b'"not_run"' in body and script.has_reached_target
        checker.check(
            not is_false, f"seed {seed}: reported not run after reaching a target"
        )
        return "refused"
    if body in script.answers.values():
        checker.check(True, "")
        return "complete"
    before_error, error = _split_last_event(body)
    checker.check(_is_error(error), f"seed {seed}: a truncated answer has no error")
    is_own = any(item.startswith(before_error) for item in script.answers.values())
    checker.check(is_own, f"seed {seed}: bytes of the answer to another attempt")
    return "truncated with an error"


def _split_last_event(body: bytes) -> tuple[bytes, bytes]:
    """Return the bytes before the last event of `body`, and that event."""
    begin = body.removesuffix(EVENT_END).rfind(EVENT_END)
    begin = begin + len(EVENT_END) if begin >= 0 else 0
    return body[:begin], body[begin:]


def _is_error(event: bytes) -> bool:
    """Return whether `event` is complete and reports a truncated answer."""
    data = event.removeprefix(b"data: ")
    if data == event or not data.endswith(EVENT_END):
        return False
    try:
        problem = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return False
    return problem.get("kind") == ErrorKind.ANSWER_TRUNCATED.value


async def run_trials(seeds: int, checker: Checker) -> dict[str, int]:
    """Return the number of requests by outcome."""
    outcomes: dict[str, int] = {}
    for seed in range(seeds):
        outcome = await run_trial(seed, checker)
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
    return outcomes


def prove(seeds: int = SEEDS) -> list[ProofResult]:
    """Return the result of the scripted connections."""
    from trio.testing import MockClock

    checker = Checker()
    clock = MockClock(autojump_threshold=0)
    outcomes = trio.run(run_trials, seeds, checker, clock=clock)
    shares = ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items()))
    fault = "cut, closed, crossed, delayed and refused replies"
    return [
        ProofResult(PROMISE, fault, checker.cases, tuple(checker.violations), shares)
    ]
