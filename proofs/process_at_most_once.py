"""Proofs, with separate processes, that writes run once and "not run" is true."""

import itertools
import secrets
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from proofs.cutting_relay import CuttingRelay
from proofs.process_traffic import WriteOutcomes, get_executed_keys, keep_writing
from proofs.results import Checker, ProofResult
from scaleloom_core.idempotency_keys import make_dated_key
from scaleloom_standins.faults import Faults
from scaleloom_standins.local_fleet import LocalFleet
from tests.fixtures.fleets import small_fleet

PROMISE = "at most once (processes)"
ROUTERS = ["r1", "r2"]
SERVICES = ["s1", "s2", "s3"]
FAULT_DELAY_S = 1.5
LEASE_OVERRIDES = {"lease": {"lease_s": 2.0, "suspect_s": 1.5}}
InjectFault = Callable[[LocalFleet], Awaitable[None]]


async def _kill_owner(fleet: LocalFleet) -> None:
    """Kill the sidecar of a live target, and start another one for it."""
    fleet.kill("s1")
    await trio.sleep(1.0)
    await fleet.restart("s1")
    await trio.sleep(4.0)


async def _freeze_owner(fleet: LocalFleet) -> None:
    """Suspend a key owner for longer than its lease, then resume it."""
    fleet.suspend("s1")
    await trio.sleep(6.0)
    fleet.resume("s1")
    await trio.sleep(2.0)


async def _stop_log(fleet: LocalFleet) -> None:
    """Take the log down for longer than the lease."""
    await fleet.set_faults("log", Faults(is_down=True))
    await trio.sleep(4.0)
    await fleet.set_faults("log", Faults())
    await trio.sleep(2.0)


async def _slow_down_log_and_kill_owner(fleet: LocalFleet) -> None:
    """Delay the log, lose its answers after the appends, and kill an owner."""
    await fleet.set_faults("log", Faults(delay_s=0.4, lost_answers=20))
    fleet.kill("s2")
    await trio.sleep(5.0)
    await fleet.set_faults("log", Faults())
    await trio.sleep(2.0)


async def _lose_target_answers(fleet: LocalFleet) -> None:
    """Drop answers of targets after the write was applied."""
    for name in SERVICES:
        await fleet.set_faults(f"service-{name}", Faults(lost_answers=5))
    await trio.sleep(2.0)


async def _stop_owner(fleet: LocalFleet) -> None:
    """Stop an owner as planned, with a hand-over of its key slots."""
    fleet.terminate("s1")
    await fleet.wait_stopped("s1")
    await trio.sleep(1.0)


async def _freeze_router(fleet: LocalFleet) -> None:
    """Suspend a router that has attempts in flight, then resume it."""
    fleet.suspend("r1")
    await trio.sleep(3.0)
    fleet.resume("r1")
    await trio.sleep(2.0)


async def _stop_log_and_kill_owner(fleet: LocalFleet) -> None:
    """Kill an owner while the log is down."""
    await fleet.set_faults("log", Faults(is_down=True))
    fleet.kill("s1")
    await trio.sleep(3.0)
    await fleet.set_faults("log", Faults())
    await trio.sleep(4.0)


async def _stop_owner_while_list_flaps(fleet: LocalFleet) -> None:
    """Change the list back and forth while an owner stops as planned."""
    fleet.terminate("s1")
    for _ in range(4):
        await fleet.unlist_member("s2")
        await trio.sleep(0.4)
        await fleet.list_member("s2")
        await trio.sleep(0.4)
    await fleet.wait_stopped("s1")
    await trio.sleep(2.0)


async def _cut_owner_from_routers(fleet: LocalFleet) -> None:
    """Cut the routers off from an owner that the other sidecars still reach."""
    relay = CuttingRelay(fleet.address("s1"))
    async with trio.open_nursery() as nursery:
        await nursery.start(relay.run)
        await fleet.list_at_relay("s1", relay.address)
        await trio.sleep(1.5)
        for _ in range(5):
            relay.cut()
            await trio.sleep(0.2)
        relay.close()
        await trio.sleep(4.0)
        relay.reopen()
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()


FAULT_INJECTIONS: dict[str, InjectFault] = {
    "owner killed and restarted while its target runs": _kill_owner,
    "owner frozen past its lease and thawed": _freeze_owner,
    "log down longer than the lease": _stop_log,
    "log slow, answers lost, owner killed": _slow_down_log_and_kill_owner,
    "targets' answers lost after effect": _lose_target_answers,
    "planned stop with hand-over": _stop_owner,
    "router frozen with attempts and thawed": _freeze_router,
    "owner cut from routers, not from its peers": _cut_owner_from_routers,
    "log outage and owner killed": _stop_log_and_kill_owner,
    "list flapping and planned stop": _stop_owner_while_list_flaps,
}


def _make_keys() -> Callable[[], str]:
    """Return a function that returns a new key; every fourth key is undated."""
    numbers = itertools.count()

    def next_key() -> str:
        number = next(numbers)
        if number % 4 == 3:
            return f"undated-{number}-{secrets.token_hex(4)}"
        return make_dated_key(time.time(), secrets.randbits(80))

    return next_key


async def prove_one(
    fault: str, inject_fault: InjectFault, *target_options: str
) -> ProofResult:
    """Return the result of one fault."""
    checker = Checker()
    outcomes = WriteOutcomes()
    async with small_fleet(
        0,
        len(SERVICES),
        overrides=LEASE_OVERRIDES,
        service_options=("--work-s", "0.05", *target_options),
    ) as fleet:
        async with trio.open_nursery() as nursery:
            until_s = trio.current_time() + 60.0
            scope = nursery.cancel_scope
            nursery.start_soon(
                keep_writing, fleet, ROUTERS, _make_keys(), outcomes, until_s
            )
            await trio.sleep(FAULT_DELAY_S)
            await inject_fault(fleet)
            scope.deadline = trio.current_time() + 1.0
        await trio.sleep(0.3)
        executions = Counter(await get_executed_keys(fleet, SERVICES))
    for key, count in executions.items():
        checker.check(count == 1, f"{fault}: {key} ran {count} times")
    for key in outcomes.answered:
        checker.check(key in executions, f"{fault}: {key} was answered but did not run")
    for key in outcomes.not_run:
        checker.check(
            key not in executions, f"{fault}: {key} was reported not run, but ran"
        )
    return ProofResult(
        PROMISE, fault, checker.cases, tuple(checker.violations), outcomes.describe()
    )


async def prove() -> list[ProofResult]:
    """Return one result for each fault; targets check fencing in every other one."""
    results = []
    for number, (fault, inject_fault) in enumerate(FAULT_INJECTIONS.items()):
        target_options = ("--checks-fencing",) if number % 2 else ()
        results.append(await prove_one(fault, inject_fault, *target_options))
    return results
