"""Proofs with separate processes that writes run once and "not run" is true."""

import itertools
import secrets
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from proofs.cutting_relay import CuttingRelay
from proofs.process_traffic import Writes, filed_keys, keep_writing
from proofs.results import Judge, ProofResult
from scaleloom_core.idempotency_keys import make_dated_key
from scaleloom_standins.faults import Faults
from scaleloom_standins.local_fleet import LocalFleet
from tests.fixtures.fleets import small_fleet

PROMISE = "at most once (processes)"
ROUTERS = ["r1", "r2"]
SERVICES = ["s1", "s2", "s3"]
TROUBLE_AFTER_S = 1.5
LEASE = {"lease": {"lease_s": 2.0, "suspect_s": 1.5}}
Trouble = Callable[[LocalFleet], Awaitable[None]]


async def _owner_killed(fleet: LocalFleet) -> None:
    """Kill the sidecar of one living target, and start another beside it."""
    fleet.kill("s1")
    await trio.sleep(1.0)
    await fleet.restart("s1")
    await trio.sleep(4.0)


async def _owner_frozen(fleet: LocalFleet) -> None:
    """Freeze an owner well past its lease, then thaw it."""
    fleet.freeze("s1")
    await trio.sleep(6.0)
    fleet.thaw("s1")
    await trio.sleep(2.0)


async def _log_down(fleet: LocalFleet) -> None:
    """Take the log down for longer than the lease."""
    await fleet.set_faults("log", Faults(is_down=True))
    await trio.sleep(4.0)
    await fleet.set_faults("log", Faults())
    await trio.sleep(2.0)


async def _log_slow_and_forgetful(fleet: LocalFleet) -> None:
    """Make the log slow, and lose answers after their effect."""
    await fleet.set_faults("log", Faults(delay_s=0.4, lost_answers=20))
    fleet.kill("s2")
    await trio.sleep(5.0)
    await fleet.set_faults("log", Faults())
    await trio.sleep(2.0)


async def _answers_lost(fleet: LocalFleet) -> None:
    """Lose answers of targets after the write took effect."""
    for name in SERVICES:
        await fleet.set_faults(f"service-{name}", Faults(lost_answers=5))
    await trio.sleep(2.0)


async def _planned_stop(fleet: LocalFleet) -> None:
    """Stop an owner as planned, with its hand-over."""
    fleet.ask_to_stop("s1")
    await fleet.wait_stopped("s1")
    await trio.sleep(1.0)


async def _router_frozen(fleet: LocalFleet) -> None:
    """Freeze a router that holds attempts, then thaw it."""
    fleet.freeze("r1")
    await trio.sleep(3.0)
    fleet.thaw("r1")
    await trio.sleep(2.0)


async def _log_down_and_owner_killed(fleet: LocalFleet) -> None:
    """Kill an owner while the log is down."""
    await fleet.set_faults("log", Faults(is_down=True))
    fleet.kill("s1")
    await trio.sleep(3.0)
    await fleet.set_faults("log", Faults())
    await trio.sleep(4.0)


async def _flap_and_planned_stop(fleet: LocalFleet) -> None:
    """Let the list flap while an owner stops as planned."""
    fleet.ask_to_stop("s1")
    for _ in range(4):
        await fleet.unlist_member("s2")
        await trio.sleep(0.4)
        await fleet.list_member("s2")
        await trio.sleep(0.4)
    await fleet.wait_stopped("s1")
    await trio.sleep(2.0)


async def _owner_cut_from_routers(fleet: LocalFleet) -> None:
    """Cut the routers from an owner that its peers still reach."""
    relay = CuttingRelay(fleet.address("s1"))
    async with trio.open_nursery() as nursery:
        await nursery.start(relay.run)
        await fleet.list_behind("s1", relay.address)
        await trio.sleep(1.5)
        for _ in range(5):
            relay.cut()
            await trio.sleep(0.2)
        relay.close()
        await trio.sleep(4.0)
        relay.reopen()
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()


TROUBLES: dict[str, Trouble] = {
    "owner killed and restarted beside its target": _owner_killed,
    "owner frozen past its lease and thawed": _owner_frozen,
    "log down longer than the lease": _log_down,
    "log slow, answers lost, owner killed": _log_slow_and_forgetful,
    "targets' answers lost after effect": _answers_lost,
    "planned stop with hand-over": _planned_stop,
    "router frozen with attempts and thawed": _router_frozen,
    "owner cut from routers, not from its peers": _owner_cut_from_routers,
    "log outage and owner killed": _log_down_and_owner_killed,
    "list flapping and planned stop": _flap_and_planned_stop,
}


def _make_keys() -> Callable[[], str]:
    """Return a source of keys, three dated ones for each undated one."""
    numbers = itertools.count()

    def next_key() -> str:
        number = next(numbers)
        if number % 4 == 3:
            return f"undated-{number}-{secrets.token_hex(4)}"
        return make_dated_key(time.time(), secrets.randbits(80))

    return next_key


async def prove_one(fault: str, trouble: Trouble, *options: str) -> ProofResult:
    """Return the row of one fault."""
    judge = Judge()
    writes = Writes()
    async with small_fleet(
        0,
        len(SERVICES),
        overrides=LEASE,
        service_options=("--work-s", "0.05", *options),
    ) as fleet:
        async with trio.open_nursery() as nursery:
            until_s = trio.current_time() + 60.0
            scope = nursery.cancel_scope
            nursery.start_soon(
                keep_writing, fleet, ROUTERS, _make_keys(), writes, until_s
            )
            await trio.sleep(TROUBLE_AFTER_S)
            await trouble(fleet)
            scope.deadline = trio.current_time() + 1.0
        await trio.sleep(0.3)
        runs = Counter(await filed_keys(fleet, SERVICES))
    for key, count in runs.items():
        judge.check(count == 1, f"{fault}: {key} ran {count} times")
    for key in writes.answered:
        judge.check(key in runs, f"{fault}: {key} was answered and did not run")
    for key in writes.not_run:
        judge.check(key not in runs, f"{fault}: {key} ran after a 'not run'")
    return ProofResult(
        PROMISE, fault, judge.cases, tuple(judge.violations), writes.describe()
    )


async def prove() -> list[ProofResult]:
    """Return one row for each fault, with targets of both kinds."""
    rows = []
    for number, (fault, trouble) in enumerate(TROUBLES.items()):
        options = ("--checks-fencing",) if number % 2 else ()
        rows.append(await prove_one(fault, trouble, *options))
    return rows
