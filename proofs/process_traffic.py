"""Traffic that the process proofs generate while a fault is injected."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
import trio

from proofs.results import Checker
from scaleloom_fleet.http.clients import ClientAnswer
from scaleloom_standins.local_fleet import LocalFleet
from scaleloom_standins.traffic import Balancer, Caller, Tally
from tests.fixtures.fleets import CUSTOMER_KEY, MODEL, SERVICE

WRITE_INTERVAL_S = 0.05
READINESS_INTERVAL_S = 0.1


@asynccontextmanager
async def chats_running(
    fleet: LocalFleet, routers: list[str], chat_count: int = 12, pause_s: float = 0.1
) -> AsyncIterator[Caller]:
    """Run chats through `routers` during the body of the ``async with``."""
    balancer = Balancer({name: fleet.address(name) for name in routers})
    caller = Caller(fleet.client, balancer, CUSTOMER_KEY, MODEL)
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_readiness, fleet, balancer, stopped)
        for number in range(chat_count):
            nursery.start_soon(_keep_chatting, caller, number, pause_s, stopped)
        yield caller
        stopped.set()


async def _keep_chatting(
    caller: Caller, number: int, pause_s: float, stopped: trio.Event
) -> None:
    """Run short chats until `stopped` is set."""
    turn = 0
    while not stopped.is_set():
        await caller.run_chat(number * 1000 + turn, 3, pause_s)
        turn += 1


async def watch_readiness(
    fleet: LocalFleet, balancer: Balancer, stopped: trio.Event
) -> None:
    """Remove routers that are not ready from the balancer, as the platform's does."""
    addresses = dict(balancer.routers)
    while not stopped.is_set():
        for name, address in addresses.items():
            outcome = await fleet.client.request(
                "GET", address.url("/ready"), timeout_s=0.5
            )
            answer = outcome.value_or(None)
            is_ready = answer is not None and answer.status == 200
            if is_ready:
                balancer.routers[name] = fleet.address(name)
            elif len(balancer.routers) > 1:
                balancer.remove(name)
        await trio.sleep(READINESS_INTERVAL_S)


def check_tally(checker: Checker, tally: Tally, fault: str) -> None:
    """Check that no request was lost, mixed up or truncated."""
    checker.check(tally.lost == 0, f"{fault}: {tally.lost} requests lost")
    checker.check(
        tally.foreign == 0, f"{fault}: {tally.foreign} answers of other requests"
    )
    checker.check(
        tally.truncated == 0,
        f"{fault}: {tally.truncated} answers truncated without an error",
    )


@dataclass
class WriteOutcomes:
    """Keys of non-repeatable writes by the outcome that their callers received."""

    answered: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)
    sent: int = 0

    def describe(self) -> str:
        """Return the share of each outcome as text."""
        total = max(1, self.sent)
        return (
            f"ran {len(self.answered) / total:.1%}, "
            f"not run {len(self.not_run) / total:.1%}, "
            f"unknown {len(self.unknown) / total:.1%} of {self.sent}"
        )


async def write(fleet: LocalFleet, router: str, key: str) -> ClientAnswer | None:
    """Send one write through `router`; return the answer, or None if it failed."""
    headers = {
        "authorization": f"Bearer {CUSTOMER_KEY}",
        "idempotency-key": key,
        "content-type": "text/plain",
    }
    url = fleet.address(router).url(f"/services/{SERVICE}/rol/1")
    outcome = await fleet.client.request("POST", url, headers, key.encode(), 15.0)
    return outcome.value_or(None)


async def write_twice(
    fleet: LocalFleet, routers: list[str], key: str, outcomes: WriteOutcomes
) -> None:
    """Send one write through two routers at once, and record its outcome."""
    outcomes.sent += 1
    answers: list[ClientAnswer | None] = []

    async def send(router: str) -> None:
        answers.append(await write(fleet, router, key))

    async with trio.open_nursery() as nursery:
        for router in routers[:2]:
            nursery.start_soon(send, router)
    _record_outcome(outcomes, key, answers)


def _record_outcome(
    outcomes: WriteOutcomes, key: str, answers: list[ClientAnswer | None]
) -> None:
    """Record the most definite outcome among `answers`."""
    statuses = [answer.status if answer else None for answer in answers]
    stated = [_stated_outcome(answer) for answer in answers]
    if 200 in statuses:
        outcomes.answered.add(key)
    elif "not_run" in stated:
        outcomes.not_run.add(key)
    else:
        outcomes.unknown.add(key)


def _stated_outcome(answer: ClientAnswer | None) -> str:
    """Return the outcome stated in an error answer, or an empty string."""
    if answer is None or answer.status == 200:
        return ""
    return msgspec.json.decode(answer.body).get("outcome", "")


async def keep_writing(
    fleet: LocalFleet,
    routers: list[str],
    next_key,
    outcomes: WriteOutcomes,
    until_s: float,
) -> None:
    """Send writes, each through two routers, until `until_s`."""
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until_s:
            nursery.start_soon(write_twice, fleet, routers, next_key(), outcomes)
            await trio.sleep(WRITE_INTERVAL_S)


async def get_executed_keys(fleet: LocalFleet, services: list[str]) -> list[str]:
    """Return the key of every run in the targets' records."""
    return [
        filing["key"]
        for name in services
        for filing in await fleet.get_json(f"service-{name}", "/filings")
    ]
