"""
Tests of overload: many times the requests that the engines have slots for.

Engines here run as many requests as they have slots, queue some more, and reject
the rest. Each request takes the same time.
"""

from dataclasses import dataclass, field

import trio

from scaleloom_core.fleet_roster import STARTUP_SETTLE_S
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    TARGETS_TOPIC,
    Answer,
    Site,
    config,
    entry,
    request_bytes,
    route,
    running_site,
)

ENGINES = 3
SLOTS = 4
QUEUE = 2
RUN_S = 0.2
CAPACITY_PER_S = ENGINES * SLOTS / RUN_S
OVERLOAD_FACTOR = 4
OVERLOAD_S = 2.0
OBJECTIVE_MS = 400
# Queueing and report delay leave this share unused.
MIN_UTILIZATION = 0.85
MAX_REJECTED_SHARE = 0.05
MAX_MEAN_REFUSAL_S = 0.04


@dataclass
class _Engine:
    """A target with slots and a short queue."""

    slots: trio.CapacityLimiter = field(
        default_factory=lambda: trio.CapacityLimiter(SLOTS)
    )
    rejected: int = 0

    async def answer(self, target: stub_targets.StubTarget, request) -> bool:
        """Run a request in its turn, or reject it as not run."""
        if self.slots.statistics().tasks_waiting >= QUEUE:
            self.rejected += 1
            return await stub_targets.reject_not_run(target, request)
        async with self.slots:
            await trio.sleep(RUN_S)
            return await stub_targets.answer_normally(target, request)


@dataclass
class _Answers:
    """Answers to the requests of one kind."""

    answers: list[tuple[float, Answer]] = field(default_factory=list)

    def durations_s(self, status: int) -> list[float]:
        """Return the durations of requests that ended with `status`."""
        return [took_s for took_s, answer in self.answers if answer.status == status]

    @property
    def served_share(self) -> float:
        """Return the share of requests that were served."""
        return len(self.durations_s(200)) / len(self.answers)


def _configure_engines(site: Site) -> list[_Engine]:
    """Configure the targets as engines with an urgent and a normal route."""
    served = config(
        2,
        route("urgent", "unsafe", priority=0, slo_ms=OBJECTIVE_MS),
        route("usual", "unsafe", priority=2, slo_ms=OBJECTIVE_MS),
    )
    served["services"][0]["engine"] = {"slots": SLOTS, "kv-capacity": 1000}
    served["tenants"][0]["priority"] = 1
    site.store.put(CONFIG_TOPIC, "config", served)
    engines = []
    for target in site.runners:
        engine = _Engine()
        target.behaviour = engine.answer
        site.store.put(TARGETS_TOPIC, target.id, entry(target, slots=SLOTS))
        engines.append(engine)
    return engines


async def _send_load(site: Site, per_s: float, seconds: float) -> dict[str, _Answers]:
    """Return the answers to requests at a constant rate, every third an urgent one."""
    answers_by_kind = {"urgent": _Answers(), "usual": _Answers()}

    async def ask(kind: str, number: int) -> None:
        gateway = site.gateways[number % len(site.gateways)]
        sent_s = trio.current_time()
        data = request_bytes(f"/{kind}/1", f"{kind}-{sent_s:.4f}")
        answer = await gateway.ask(data)
        answers_by_kind[kind].answers.append((trio.current_time() - sent_s, answer))

    async with trio.open_nursery() as nursery:
        for number in range(int(per_s * seconds)):
            nursery.start_soon(ask, "usual" if number % 3 else "urgent", number)
            await trio.sleep(1.0 / per_s)
    return answers_by_kind


@runs_on_paused_clock
async def test_a_fleet_serves_its_capacity_at_four_times_that_load():
    async with running_site(runner_count=ENGINES, gateway_count=2) as site:
        engines = _configure_engines(site)
        await trio.sleep(STARTUP_SETTLE_S)
        load_per_s = OVERLOAD_FACTOR * CAPACITY_PER_S
        overloaded = await _send_load(site, load_per_s, OVERLOAD_S)
        after = await _send_load(site, 0.5 * CAPACITY_PER_S, 0.5)

    answers = [answer for kind in overloaded.values() for answer in kind.answers]
    served = sum(answer.status == 200 for _, answer in answers)
    assert served >= MIN_UTILIZATION * CAPACITY_PER_S * OVERLOAD_S
    arrivals = sum(len(target.received) for target in site.runners)
    rejected = sum(engine.rejected for engine in engines)
    assert rejected <= MAX_REJECTED_SHARE * arrivals
    assert {answer.status for _, answer in answers} == {200, 503}
    assert all(
        "retry-after" in answer.headers for _, answer in answers if answer.status == 503
    )
    durations_s = [
        duration_s
        for kind in overloaded.values()
        for duration_s in kind.durations_s(503)
    ]
    assert sum(durations_s) / len(durations_s) <= MAX_MEAN_REFUSAL_S
    assert overloaded["urgent"].served_share > 1.5 * overloaded["usual"].served_share
    assert all(kind.served_share == 1.0 for kind in after.values())
