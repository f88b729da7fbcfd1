"""
Tests of the worst load: far more requests than engines have places for.

Engines here run as many requests as they have slots, queue some more, and turn
the rest away. They take the same time for each.
"""

from dataclasses import dataclass, field

import trio

from scaleloom_core.fleet_roster import SETTLES_S
from tests.fixtures import runners
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
TIMES_THE_CAPACITY = 4
PRESSED_S = 2.0
OBJECTIVE_MS = 400
# Queued requests and late reports leave this much unused.
LEAST_USE = 0.85
MOST_TURNED_AWAY = 0.05
MOST_WAIT_OF_REFUSED_S = 0.04


@dataclass
class _Engine:
    """A target with slots and a short queue."""

    slots: trio.CapacityLimiter = field(
        default_factory=lambda: trio.CapacityLimiter(SLOTS)
    )
    turned_away: int = 0

    async def answer(self, runner: runners.Runner, asked) -> bool:
        """Run a request in its turn, or say that it was not run."""
        if self.slots.statistics().tasks_waiting >= QUEUE:
            self.turned_away += 1
            return await runners.shed(runner, asked)
        async with self.slots:
            await trio.sleep(RUN_S)
            return await runners.answer_well(runner, asked)


@dataclass
class _Seen:
    """How the requests of one kind fared."""

    answers: list[tuple[float, Answer]] = field(default_factory=list)

    def waits_s(self, status: int) -> list[float]:
        """Return how long those took that ended with `status`."""
        return [took_s for took_s, answer in self.answers if answer.status == status]

    @property
    def served_share(self) -> float:
        """Return the share that was served."""
        return len(self.waits_s(200)) / len(self.answers)


def _serve(site: Site) -> list[_Engine]:
    """Let the targets be engines, for urgent and for usual requests."""
    served = config(
        2,
        route("urgent", "unsafe", priority=0, slo_ms=OBJECTIVE_MS),
        route("usual", "unsafe", priority=2, slo_ms=OBJECTIVE_MS),
    )
    served["services"][0]["engine"] = {"slots": SLOTS, "kv-capacity": 1000}
    served["tenants"][0]["priority"] = 1
    site.store.put(CONFIG_TOPIC, "config", served)
    engines = []
    for runner in site.runners:
        engine = _Engine()
        runner.behaviour = engine.answer
        site.store.put(TARGETS_TOPIC, runner.id, entry(runner, slots=SLOTS))
        engines.append(engine)
    return engines


async def _press(site: Site, per_s: float, seconds: float) -> dict[str, _Seen]:
    """Return how requests fared that came evenly, every third an urgent one."""
    seen = {"urgent": _Seen(), "usual": _Seen()}

    async def ask(kind: str, number: int) -> None:
        gateway = site.gateways[number % len(site.gateways)]
        asked_s = trio.current_time()
        data = request_bytes(f"/{kind}/1", f"{kind}-{asked_s:.4f}")
        answer = await gateway.ask(data)
        seen[kind].answers.append((trio.current_time() - asked_s, answer))

    async with trio.open_nursery() as nursery:
        for number in range(int(per_s * seconds)):
            nursery.start_soon(ask, "usual" if number % 3 else "urgent", number)
            await trio.sleep(1.0 / per_s)
    return seen


@runs_on_paused_clock
async def test_a_fleet_serves_what_its_engines_can_at_four_times_that_load():
    async with running_site(runner_count=ENGINES, gateway_count=2) as site:
        engines = _serve(site)
        await trio.sleep(SETTLES_S)
        load_per_s = TIMES_THE_CAPACITY * CAPACITY_PER_S
        pressed = await _press(site, load_per_s, PRESSED_S)
        after = await _press(site, 0.5 * CAPACITY_PER_S, 0.5)

    answers = [answer for kind in pressed.values() for answer in kind.answers]
    served = sum(answer.status == 200 for _, answer in answers)
    assert served >= LEAST_USE * CAPACITY_PER_S * PRESSED_S
    arrivals = sum(len(runner.asked) for runner in site.runners)
    turned_away = sum(engine.turned_away for engine in engines)
    assert turned_away <= MOST_TURNED_AWAY * arrivals
    assert {answer.status for _, answer in answers} == {200, 503}
    assert all(
        "retry-after" in answer.headers for _, answer in answers if answer.status == 503
    )
    waits_s = [wait_s for kind in pressed.values() for wait_s in kind.waits_s(503)]
    assert sum(waits_s) / len(waits_s) <= MOST_WAIT_OF_REFUSED_S
    assert pressed["urgent"].served_share > 1.5 * pressed["usual"].served_share
    assert all(kind.served_share == 1.0 for kind in after.values())
