"""Targets of the soak: stub servers behind relays, which take time for each request."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from soak.arrival_records import Arrival
from soak.crash_causes import crash_cause
from soak.long_answers import LongAnswers
from soak.malformed_heads import answer_malformed
from soak.mixed_streams import (
    EVENT_PAUSE_RANGE_S,
    MIXED,
    plan_mixed_answer,
)
from soak.relays import Relay, RelayMode
from soak.slow_routes import SLOW_PAUSE_RANGE_S, is_slow_path
from soak.stillness import CloseWatch, Silence, Stillness, StillStream
from soak.version_defects import (
    FAILING_ANSWER_SHARE,
    SLOWDOWN_FACTOR,
    DefectKind,
    VersionDefect,
)
from tests.fixtures import stub_targets
from tests.fixtures.backoff import BackoffPeriod
from tests.fixtures.cut_answers import (
    PlannedAnswer,
    draw_answer,
    draw_crash,
    pieces_of,
    send_begun,
    send_pieces,
)
from tests.fixtures.stub_server import ReceivedRequest, raw_answer
from tests.fixtures.stub_targets import StubTarget, request_id

WORK_S = (0.005, 0.04)
CHAT_WORK_S = (0.05, 0.2)
CAPACITY = 32
# Short, so that a target that was idle shows a defect under load without delay.
RATE_WINDOW_S = 0.25
GATEWAY_HEADER = "soak-gateway"
# A caller that goes on with a stream itself names the request that began it.
RESUMES_HEADER = "resumes"
# How long a target works on a request besides, in milliseconds.
WORK_HEADER = "soak-work-ms"
CRASH_DELAY_S = 0.04
BROKEN_UNFRAMED_SHARE = 0.5
BROKEN_MIXED_SHARE = 0.15
BAD_ANSWERS = (
    stub_targets.reject_not_run,
    stub_targets.fail,
    stub_targets.close_unanswered,
    stub_targets.cut_body,
    stub_targets.answer_twice,
    stub_targets.answer_other_first,
)
BAD_MIXED = (
    stub_targets.reject_not_run,
    stub_targets.fail,
    stub_targets.close_unanswered,
)


@dataclass
class SoakTarget:
    """
    One target and the requests that reached it. Times are on trio's clock.

    Parameters
    ----------
    bad_answer_share : float
        Share of answers that are bad.
    unframed_share : float
        Share of answers with neither length nor chunks, of which some are broken off.
    repeating_faults : int
        How many faults let the target begin streams again that a gateway goes on with
        by itself.
    unframed_answers : dict of str to list of PlannedAnswer
        Those answers, by request id.
    whole_ids, broken_off_ids : set of str
        The requests whose answers the target sent whole, and broke off.
    tells_version : bool
        Whether the entry names the version.
    born_ms : int or None
        When the target started, if the entry names it.
    added_s, removed_s : float
        When the entry was added to the list, and when the target was marked as
        draining, stopped or crashed.
    version : str
        Version of the target's software.
    version_defect : VersionDefect or None
        The defect of that version, if any.
    on_crash : callable or None
        Called with the target and what crashes it: the body of a request, or the id
        of a prompt part.
    retry_after_s : float
        If positive, the target rejects requests with this Retry-After.
    backoff_periods : list of BackoffPeriod
        The periods for which the target asked gateways to back off.
    disturbances_s : list of float
        When a fault of the target or of the connections to it began or ended.
    path_disturbances_s : list of float
        When a fault of the connections to the target began or ended.
    request_starts_s : list of float
        When each request arrived.
    bad_answers_s : list of float
        When the version's defect spoiled an answer.
    in_flight : Counter of str
        The requests that the target runs now, by path.
    nursery : trio.Nursery or None
        For tasks that notice when the gateway closes the connection of a request.
    ended_s : float
        When the target broke all its connections.
    silences : list of Silence
        When the target or the path to it was silent.
    reached_ids : set of str
        The requests that reached the target, also while it stood still.
    long_answers : LongAnswers or None
        How the target answers, if it is of the service with long messages.
    is_direct : bool
        Whether gateways connect to the target itself; it can't be cut off then.
    crashes_behind_parts : trio.Event or None
        Set once the target has crashed behind parts of answers, if it is to.
    malformed_head_share : float
        Share of answers with defective heads.
    """

    stub: StubTarget
    relay: Relay
    service: str
    rng: random.Random
    bad_answer_share: float = 0.0
    unframed_share: float = 0.0
    repeating_faults: int = 0
    unframed_answers: dict[str, list[PlannedAnswer]] = field(
        default_factory=lambda: defaultdict(list)
    )
    whole_ids: set[str] = field(default_factory=set)
    broken_off_ids: set[str] = field(default_factory=set)
    tells_version: bool = True
    born_ms: int | None = None
    added_s: float = field(default_factory=trio.current_time)
    removed_s: float = float("inf")
    version: str = "v1"
    version_defect: VersionDefect | None = None
    on_crash: Callable[["SoakTarget", bytes], None] | None = None
    retry_after_s: float = 0.0
    backoff_periods: list[BackoffPeriod] = field(default_factory=list)
    disturbances_s: list[float] = field(default_factory=list)
    path_disturbances_s: list[float] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    request_starts_s: list[float] = field(default_factory=list)
    bad_answers_s: list[float] = field(default_factory=list)
    in_flight: Counter[str] = field(default_factory=Counter)
    nursery: trio.Nursery | None = None
    ended_s: float = float("inf")
    stillness: Stillness = field(default_factory=Stillness)
    silences: list[Silence] = field(default_factory=list)
    reached_ids: set[str] = field(default_factory=set)
    long_answers: LongAnswers | None = None
    is_direct: bool = False
    crashes_behind_parts: trio.Event | None = None
    malformed_head_share: float = 0.0

    def record_disturbance(self) -> None:
        """Record that a fault begins or ends now."""
        self.disturbances_s.append(trio.current_time())

    @property
    def has_crashed(self) -> bool:
        """Return whether the target crashed while it was listed as ready."""
        return self.removed_s == self.ended_s < float("inf")

    @property
    def port(self) -> int:
        """Return the port that gateways connect to."""
        return self.stub.port if self.is_direct else self.relay.port

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the target's entry in the list of targets."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "slots": CAPACITY,
            "state": state,
            "cold-left-ms": 0,
            "seq": 1,
        }
        if self.tells_version:
            entry["version"] = self.version
        if self.born_ms is not None:
            entry["born"] = self.born_ms
        return entry

    def stop_at_once(self) -> None:
        """Stop without draining: reset all connections, busy ones too."""
        self.relay.set_mode(RelayMode.RESET)
        self.removed_s = self.ended_s = trio.current_time()
        self.record_disturbance()

    def crash(self) -> None:
        """Close all connections and the port, as a crashed process does."""
        self.relay.close()
        self.removed_s = self.ended_s = trio.current_time()
        self.record_disturbance()

    def end(self) -> None:
        """Close all connections and the port, some time after draining."""
        self.relay.close()
        self.ended_s = trio.current_time()
        self.record_disturbance()

    def _shows_defect(self, request: ReceivedRequest) -> bool:
        """Return whether the version's defect shows in the answer to `request`."""
        if self.version_defect is None:
            return False
        now_s = trio.current_time()
        since_s = now_s - RATE_WINDOW_S
        recent = sum(
            arrived_s > since_s for arrived_s in self.request_starts_s[-CAPACITY:]
        )
        return self.version_defect.affects(
            request.target, recent / RATE_WINDOW_S, now_s
        )

    async def answer_head(self, request: ReceivedRequest) -> bool:
        """Answer a request at its head, or return False."""
        long_answers = self.long_answers
        if long_answers is None or not long_answers.is_early(request):
            return False
        self.reached_ids.add(request_id(request))
        await long_answers.answer_early(self.stub, request)
        return True

    async def answer(self, stub: StubTarget, request: ReceivedRequest) -> bool:
        """Process one request for a while, and answer it normally or badly."""
        self.reached_ids.add(request_id(request))
        connection = request.stream
        request.stream = StillStream(connection, self.stillness, self.rng)
        await self.stillness.wait_until_going_on()
        runs_before = stub.runs[request_id(request)]
        arrived_s = trio.current_time()
        self.request_starts_s.append(arrived_s)
        self.in_flight[request.target] += 1
        shows_defect = self._shows_defect(request)
        is_slow = shows_defect and self.version_defect.kind is DefectKind.SLOW
        is_failing = (
            shows_defect and not is_slow and self.rng.random() < FAILING_ANSWER_SHARE
        )
        outcome, watch = "crash", CloseWatch(connection, self.nursery)
        try:
            if self.retry_after_s > 0.0:
                outcome = "reject_with_retry_after"
                return await self._reject_with_retry_after(stub, request)
            cause = crash_cause(request)
            if cause is not None and self.on_crash is not None:
                await trio.sleep(CRASH_DELAY_S)
                self.on_crash(self, cause)
                return False
            is_chat = request.target.startswith("/chat")
            work_s = CHAT_WORK_S if is_chat else WORK_S
            await trio.sleep(
                self.rng.uniform(*work_s) * (SLOWDOWN_FACTOR if is_slow else 1)
            )
            await trio.sleep(int(request.headers.get(WORK_HEADER, "0")) / 1000)
            is_mixed = self.service == MIXED
            behave = self._answer_mixed if is_mixed else self._answer_normally
            if is_slow_path(request.target):
                behave = self._answer_slowly
            if self.long_answers is not None:
                behave = self.long_answers.answer
            is_judged_apart = is_mixed or self.long_answers is not None
            if self.rng.random() < self.bad_answer_share:
                behave = self.rng.choice(BAD_MIXED if is_judged_apart else BAD_ANSWERS)
            elif not is_judged_apart and self.rng.random() < self.unframed_share:
                behave = self._answer_unframed
            if not is_judged_apart and self._is_head_malformed():
                behave = answer_malformed
            if self.crashes_behind_parts is not None and not is_judged_apart:
                behave = self._answer_before_crash
            if is_slow or is_failing:
                self.bad_answers_s.append(trio.current_time())
            behave = stub_targets.fail if is_failing else behave
            outcome = behave.__name__.lstrip("_")
            return await behave(stub, request)
        finally:
            watch.stop()
            self.in_flight[request.target] -= 1
            has_run = stub.runs[request_id(request)] > runs_before
            gateway = request.headers.get(GATEWAY_HEADER, "")
            self.arrivals.append(
                Arrival(
                    request_id(request),
                    gateway,
                    stub.id,
                    self.service,
                    arrived_s,
                    trio.current_time(),
                    has_run,
                    request.body,
                    request.headers.get("prompt-prefix", ""),
                    watch.closed_s,
                    outcome,
                )
            )

    def _is_head_malformed(self) -> bool:
        """Return whether the next answer has a defective head."""
        share = self.malformed_head_share
        return share > 0.0 and self.rng.random() < share

    async def _answer_normally(
        self, stub: StubTarget, request: ReceivedRequest
    ) -> bool:
        """Run the request and answer it whole."""
        self.whole_ids.add(request_id(request))
        return await stub_targets.answer_normally(stub, request)

    async def _answer_slowly(self, stub: StubTarget, request: ReceivedRequest) -> bool:
        """Run the request and send its answer in pieces that take long."""
        stub.runs[request_id(request)] += 1
        self.whole_ids.add(request_id(request))
        answer = PlannedAnswer(tuple(pieces_of(request)))
        return await send_pieces(
            stub, request, answer, self.rng, True, SLOW_PAUSE_RANGE_S
        )

    async def _answer_unframed(
        self, stub: StubTarget, request: ReceivedRequest
    ) -> bool:
        """Run the request; end the answer, whole or broken off, with the connection."""
        stub.runs[request_id(request)] += 1
        answer = draw_answer(pieces_of(request), BROKEN_UNFRAMED_SHARE, self.rng)
        self._record_planned(request_id(request), answer, is_unframed=True)
        return await send_pieces(stub, request, answer, self.rng)

    async def _answer_before_crash(
        self, stub: StubTarget, request: ReceivedRequest
    ) -> bool:
        """Run the request, send a part without a length, and wait for the crash."""
        crashed = self.crashes_behind_parts
        stub.runs[request_id(request)] += 1
        answer = draw_crash(pieces_of(request), self.rng)
        self._record_planned(request_id(request), answer, is_unframed=True)
        await send_begun(stub, request, answer, self.rng)
        await crashed.wait()
        return False

    async def _answer_mixed(self, stub: StubTarget, request: ReceivedRequest) -> bool:
        """Run the request and send its events, which tell the target's version."""
        stub.runs[request_id(request)] += 1
        if self.repeating_faults and RESUMES_HEADER not in request.headers:
            request.headers.pop("last-event-id", None)
        is_unframed = self.rng.random() < self.unframed_share
        answer = plan_mixed_answer(request, self.version, BROKEN_MIXED_SHARE, self.rng)
        self._record_planned(request_id(request), answer, is_unframed)
        return await send_pieces(
            stub, request, answer, self.rng, not is_unframed, EVENT_PAUSE_RANGE_S
        )

    def _record_planned(
        self, asked_id: str, answer: PlannedAnswer, is_unframed: bool
    ) -> None:
        """Record an answer that ends with its connection or is to be broken off."""
        if is_unframed:
            self.unframed_answers[asked_id].append(answer)
        (self.whole_ids if answer.is_whole else self.broken_off_ids).add(asked_id)

    async def _reject_with_retry_after(
        self, stub: StubTarget, request: ReceivedRequest
    ) -> bool:
        """Reject a request with Retry-After and record the back-off period."""
        gateway = request.headers.get(GATEWAY_HEADER, "")
        now_s = trio.current_time()
        self.backoff_periods.append(
            BackoffPeriod(stub.id, gateway, now_s, self.retry_after_s)
        )
        headers = {
            "Request-Id": request_id(request),
            "Not-Run": "1",
            "Retry-After": f"{self.retry_after_s:.2f}",
            **stub.signal_headers(),
        }
        await request.stream.send_all(raw_answer(503, headers))
        return True
