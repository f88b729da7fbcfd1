"""Targets of the soak: stand-ins behind relays, with work that takes time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from soak.relays import Relay, RelayMode
from soak.versions import FAILING_SHARE, SLOWDOWN, Badness, VersionFault
from tests.fixtures import runners
from tests.fixtures.http_standin import (
    Asked,
    free_listener,
    port_of,
    raw_answer,
    serve_http,
)
from tests.fixtures.resting import Rest
from tests.fixtures.runners import Runner, request_id

WORK_S = (0.005, 0.04)
CHAT_WORK_S = (0.05, 0.2)
SLOTS = 32
# A target that was idle shows a fault under load as soon as it has some.
RATE_SPAN_S = 0.25
GATEWAY_HEADER = "soak-gateway"
# Requests with such a body end whichever target begins to run them.
CRASHING_BODY = b"ends whatever runs it, number "
CRASHES_AFTER_S = 0.04
BAD_ANSWERS = (
    runners.shed,
    runners.fail,
    runners.close_unanswered,
    runners.cut_body,
    runners.answer_twice,
    runners.answer_other_first,
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request as it reached a target."""

    request_id: str
    gateway: str
    target: str
    service: str
    at_s: float
    ended_s: float
    has_run: bool
    body: bytes = b""


@dataclass
class SoakTarget:
    """
    One target and what reached it.

    Parameters
    ----------
    bad_share : float
        How many of its answers are bad ones.
    joined_s, left_s : float
        When its entry came, and said that it leaves, on the runtime's clock.
    version : str
        Of its software.
    version_fault : VersionFault or None
        What is wrong with that.
    crash : callable or None
        Told of a body under which the target ends.
    rest_s : float
        For how long it asks gateways to rest, if it turns requests away.
    strikes_s : list of float
        When it, or the way to it, began or ceased to misbehave.
    way_strikes_s : list of float
        When the way to it did.
    """

    runner: Runner
    relay: Relay
    service: str
    draw: random.Random
    bad_share: float = 0.0
    joined_s: float = field(default_factory=trio.current_time)
    left_s: float = float("inf")
    version: str = "v1"
    version_fault: VersionFault | None = None
    crash: Callable[["SoakTarget", bytes], None] | None = None
    rest_s: float = 0.0
    rests: list[Rest] = field(default_factory=list)
    strikes_s: list[float] = field(default_factory=list)
    way_strikes_s: list[float] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    begun_s: list[float] = field(default_factory=list)
    bad_answers_s: list[float] = field(default_factory=list)

    def strike(self) -> None:
        """Note that something begins or ceases to misbehave now."""
        self.strikes_s.append(trio.current_time())

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return what the target writes of itself."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.relay.port}",
            "zone": "a",
            "slots": SLOTS,
            "state": state,
            "version": self.version,
            "cold-left-ms": 0,
            "seq": 1,
        }

    def stop_at_once(self) -> None:
        """End without a word, with whatever it works on."""
        self.relay.set_mode(RelayMode.RESET)
        self.left_s = trio.current_time()
        self.strike()

    def end(self) -> None:
        """End like a process that crashed, with whatever it works on."""
        self.relay.end()
        self.left_s = trio.current_time()
        self.strike()

    def _shows_fault(self, asked: Asked) -> bool:
        """Return whether its version's fault shows in the answer to `asked`."""
        if self.version_fault is None:
            return False
        now_s = trio.current_time()
        since_s = now_s - RATE_SPAN_S
        recent = sum(arrived_s > since_s for arrived_s in self.begun_s[-SLOTS:])
        return self.version_fault.strikes(asked.target, recent / RATE_SPAN_S, now_s)

    async def answer(self, runner: Runner, asked: Asked) -> bool:
        """Work on one request for a while, and answer it well or badly."""
        runs_before = runner.runs[request_id(asked)]
        arrived_s = trio.current_time()
        self.begun_s.append(arrived_s)
        is_faulty = self._shows_fault(asked)
        is_slow = is_faulty and self.version_fault.badness is Badness.SLOW
        is_failing = is_faulty and not is_slow and self.draw.random() < FAILING_SHARE
        try:
            if self.rest_s > 0.0:
                return await self._ask_rest(runner, asked)
            if asked.body.startswith(CRASHING_BODY) and self.crash is not None:
                await trio.sleep(CRASHES_AFTER_S)
                self.crash(self, asked.body)
                return False
            is_chat = asked.target.startswith("/chat")
            work_s = CHAT_WORK_S if is_chat else WORK_S
            await trio.sleep(self.draw.uniform(*work_s) * (SLOWDOWN if is_slow else 1))
            behave = runners.answer_well
            if self.draw.random() < self.bad_share:
                behave = self.draw.choice(BAD_ANSWERS)
            if is_slow or is_failing:
                self.bad_answers_s.append(trio.current_time())
            return await (runners.fail if is_failing else behave)(runner, asked)
        finally:
            has_run = runner.runs[request_id(asked)] > runs_before
            gateway = asked.headers.get(GATEWAY_HEADER, "")
            self.arrivals.append(
                Arrival(
                    request_id(asked),
                    gateway,
                    runner.id,
                    self.service,
                    arrived_s,
                    trio.current_time(),
                    has_run,
                    asked.body,
                )
            )

    async def _ask_rest(self, runner: Runner, asked: Asked) -> bool:
        """Turn a request away and ask its gateway for rest."""
        gateway = asked.headers.get(GATEWAY_HEADER, "")
        now_s = trio.current_time()
        self.rests.append(Rest(runner.id, gateway, now_s, self.rest_s))
        headers = {
            "Request-Id": request_id(asked),
            "Not-Run": "1",
            "Retry-After": f"{self.rest_s:.2f}",
            **runner.said(),
        }
        await asked.stream.send_all(raw_answer(503, headers))
        return True


def start_target(
    name: str,
    service: str,
    draw: random.Random,
    nursery: trio.Nursery,
    version: str = "v1",
) -> SoakTarget:
    """Start a target behind a relay of its own."""
    listener = free_listener()
    runner = Runner(name, port_of(listener))
    target = SoakTarget(runner, Relay(runner.port), service, draw, version=version)
    runner.behaviour = target.answer
    nursery.start_soon(serve_http, listener, runner.answer)
    nursery.start_soon(target.relay.run)
    return target
