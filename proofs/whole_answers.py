"""Proofs that callers get the whole answer to their own request, or are told.

The router's relay is the real one; the sidecar's connection is a script that
cuts, crosses, delays and refuses from fixed seeds.
"""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import httpcore
import trio

from proofs.results import Judge, ProofResult
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

PROMISE = "whole answers, and only theirs"
SEEDS = 3000
TARGETS = ("e1", "e2", "e3")
KEY = "appraisal-key"
END_MARK = b"data: [DONE]\n\n"
BODY = b'{"model": "dossier", "stream": true, "messages": [{"role": "user"}]}'


@dataclass
class Script:
    """What one trial's connections do, drawn from its seed."""

    choose: random.Random
    answers: dict[str, bytes] = field(default_factory=dict)
    has_reached_target: bool = False

    def answer_for(self, attempt: str) -> bytes:
        """Return the whole answer that belongs to `attempt`."""
        if attempt not in self.answers:
            lines = [
                f"data: {attempt} part {number}\n\n".encode()
                for number in range(self.choose.randint(1, 6))
            ]
            self.answers[attempt] = b"".join(lines) + END_MARK
        return self.answers[attempt]


class _Response:
    """An answer whose body ends as the script wants."""

    def __init__(self, status, headers, body, is_cut, choose) -> None:
        self.status = status
        self.headers = [(k.encode(), v.encode()) for k, v in headers.items()]
        self._body = body
        self._is_cut = is_cut
        self._choose = choose

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        """Give the body in pieces, perhaps cut."""
        position = 0
        while position < len(self._body):
            size = self._choose.randint(1, 40)
            yield self._body[position : position + size]
            position += size
            if self._choose.random() < 0.3:
                await trio.sleep(self._choose.uniform(0, 0.2))
        if self._is_cut:
            raise httpcore.ReadError("cut")

    async def aread(self) -> bytes:
        """Return the whole body."""
        return b"".join([part async for part in self.aiter_stream()])


class ScriptedClient:
    """Stands in for the connections to sidecars."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._choose = script.choose

    @asynccontextmanager
    async def stream(self, method, url, headers=None, body=b""):
        """Answer one request as the script wants."""
        await trio.sleep(self._choose.uniform(0, 0.1))
        fate = self._choose.random()
        if fate < 0.1:
            raise httpcore.ConnectError("refused")
        if fate < 0.15:
            self._script.has_reached_target = True
            raise httpcore.ReadError("broken before an answer")
        yield self._respond(method, url, headers)

    async def request(self, method, url, headers=None, body=b"", timeout_s=None):
        """Take a cancellation."""

    def _respond(self, method: str, url: str, headers: dict[str, str]) -> _Response:
        """Return an answer: right, crossed, refused or cut."""
        if method == "GET":
            return self._resume(url)
        attempt = hops.read_hop(headers).attempt
        fate = self._choose.random()
        if fate < 0.1:
            return self._make(
                "another-attempt", b"data: not yours\n\n" + END_MARK, False
            )
        if fate < 0.2:
            refused = {hops.ATTEMPT_HEADER: attempt, hops.REFUSAL_HEADER: "overloaded"}
            refused[hops.OUTCOME_HEADER] = "not_run"
            return _Response(503, refused, b"full", False, self._choose)
        answer = self._script.answer_for(attempt)
        return self._maybe_cut(attempt, answer)

    def _resume(self, url: str) -> _Response:
        """Go on at an offset, or refuse to."""
        path, _, offset = url.rpartition("?from=")
        attempt = path.rpartition("/")[2]
        if self._choose.random() < 0.3:
            return self._make(attempt, b"", False, status=404)
        rest = self._script.answer_for(attempt)[int(offset) :]
        if self._choose.random() < 0.1:
            return self._make("another-attempt", rest, False)
        return self._maybe_cut(attempt, rest)

    def _maybe_cut(self, attempt: str, answer: bytes) -> _Response:
        """Return an answer that may be cut anywhere."""
        if self._choose.random() < 0.5:
            return self._make(attempt, answer, False)
        kept = self._choose.randint(0, len(answer))
        return self._make(attempt, answer[:kept], True)

    def _make(self, attempt, body, is_cut, status: int = 200) -> _Response:
        """Return a streamed answer."""
        headers = {hops.ATTEMPT_HEADER: attempt, "content-type": "text/event-stream"}
        return _Response(status, headers, body, is_cut, self._choose)


def trial_settings() -> RouterSettings:
    """Return the settings of a router that opens no sockets."""
    return RouterSettings(
        instance=InstanceSection("r1", "sala-a", "127.0.0.1", 1, 2, 3, "secret-secret"),
        platform=PlatformSection("127.0.0.1:4", "127.0.0.1:5"),
    )


def configure(state: RouterState) -> None:
    """Put a small configuration into force."""
    change = Change(
        record_id="first",
        base_version=-1,
        author="ana",
        puts=(
            Customer("appraisal", (digest_secret(KEY),)),
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


def silent_tell(address, datagram) -> int:
    """Send no datagram."""
    return 0


async def run_trial(seed: int, judge: Judge) -> str:
    """Run one seeded request, judge it, and return how it ended."""
    script = Script(random.Random(seed))
    state = build_router(trial_settings())
    state.client = ScriptedClient(script)
    state.datagrams.send = silent_tell
    configure(state)
    sent: list[dict] = []
    pending = [{"type": "http.request", "body": BODY, "more_body": False}]

    async def receive() -> dict:
        if pending:
            return pending.pop()
        await trio.sleep_forever()

    async def send(message: dict) -> None:
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/chat/completions",
        "query_string": b"",
        "headers": [(b"authorization", f"Bearer {KEY}".encode())],
    }
    await make_application(make_routes(state))(scope, receive, send)
    return _judge(judge, seed, script, sent)


def _judge(judge: Judge, seed: int, script: Script, sent: list[dict]) -> str:
    """Judge what the caller received."""
    status = sent[0]["status"]
    body = b"".join(item.get("body", b"") for item in sent[1:])
    if status != 200:
        judge.check(END_MARK not in body, f"seed {seed}: an error looks whole")
        claims = b'"not_run"' in body and script.has_reached_target
        judge.check(not claims, f"seed {seed}: a false not run")
        return "refused"
    if body in script.answers.values():
        judge.check(True, "")
        return "whole"
    is_told = b'"error"' in body and not body.endswith(END_MARK)
    judge.check(is_told, f"seed {seed}: a cut answer looks whole")
    before_error = body.split(b'data: {"type"')[0]
    own = any(item.startswith(before_error) for item in script.answers.values())
    judge.check(own, f"seed {seed}: bytes of another answer")
    return "cut, and told so"


async def run_trials(seeds: int, judge: Judge) -> dict[str, int]:
    """Return how seeded requests ended."""
    ends: dict[str, int] = {}
    for seed in range(seeds):
        end = await run_trial(seed, judge)
        ends[end] = ends.get(end, 0) + 1
    return ends


def prove(seeds: int = SEEDS) -> list[ProofResult]:
    """Return the row of the scripted connections."""
    from trio.testing import MockClock

    judge = Judge()
    clock = MockClock(autojump_threshold=0)
    ends = trio.run(run_trials, seeds, judge, clock=clock)
    shares = ", ".join(f"{name} {count}" for name, count in sorted(ends.items()))
    fault = "cut, crossed, delayed and refused replies"
    return [ProofResult(PROMISE, fault, judge.cases, tuple(judge.violations), shares)]
