"""Proofs, with separate processes, that configuration arrives and never reverts."""

from collections.abc import Awaitable, Callable

import msgspec
import trio

from proofs.results import Checker, ProofResult
from scaleloom_standins.faults import Faults
from scaleloom_standins.local_fleet import (
    OPERATOR_TOKEN,
    SECOND_OPERATOR_TOKEN,
    LocalFleet,
)
from tests.fixtures.fleets import MODEL, small_fleet

PROMISE = "configuration in force within 5 s, never reverts"
ROUTERS = ["r1", "r2"]
MAX_DELAY_S = 5.0
POLL_S = 0.05
InjectFault = Callable[[LocalFleet, "VersionMonitor"], Awaitable[None]]


class VersionMonitor:
    """Checks the configuration versions in force on the routers."""

    def __init__(self, checker: Checker, fault: str) -> None:
        self.checker = checker
        self.fault = fault
        self.max_delay_s = 0.0
        self._highest_versions = dict.fromkeys(ROUTERS, -1)

    async def run(self, fleet: LocalFleet) -> None:
        """Check repeatedly that the version of no router decreases."""
        while True:
            for router in ROUTERS:
                await self._check_router(fleet, router)
            await trio.sleep(POLL_S)

    async def _check_router(self, fleet: LocalFleet, router: str) -> None:
        """Check the version of one router if it is ready."""
        version = await get_ready_version(fleet, router)
        if version is None:
            return
        holds = version >= self._highest_versions[router]
        self.checker.check(
            holds, f"{self.fault}: {router} reverted to version {version}"
        )
        self._highest_versions[router] = max(version, self._highest_versions[router])

    async def expect(self, fleet: LocalFleet, version: int) -> None:
        """Check that `version` is in force on every router within `MAX_DELAY_S`."""
        started_s = trio.current_time()
        for router in ROUTERS:
            while (await get_ready_version(fleet, router) or -1) < version:
                if trio.current_time() - started_s > MAX_DELAY_S:
                    break
                await trio.sleep(POLL_S)
        elapsed_s = trio.current_time() - started_s
        self.max_delay_s = max(self.max_delay_s, elapsed_s)
        message = f"{self.fault}: version {version} took {elapsed_s:.1f} s"
        self.checker.check(elapsed_s <= MAX_DELAY_S, message)


async def get_ready_version(fleet: LocalFleet, router: str) -> int | None:
    """Return the version in force on a router, or None if it is not ready."""
    url = fleet.address(router).url("/ready")
    answer = (await fleet.client.request("GET", url, timeout_s=0.5)).value_or(None)
    if answer is None or answer.status != 200:
        return None
    return msgspec.json.decode(answer.body)["version"]


def _intent(replicas: int) -> str:
    """Return an intent that sets the replicas of a burst."""
    return f"[burst deadline]\nmodel = {MODEL}\nreplicas = {replicas}\n"


async def _change_repeatedly(fleet: LocalFleet, monitor: VersionMonitor) -> None:
    """Change the configuration three times."""
    for number in range(3):
        await monitor.expect(fleet, await fleet.apply_intent("r1", _intent(number + 1)))


async def _slow_down_log(fleet: LocalFleet, monitor: VersionMonitor) -> None:
    """Change the configuration while the log answers slowly."""
    await fleet.set_faults("log", Faults(delay_s=0.5))
    await monitor.expect(fleet, await fleet.apply_intent("r1", _intent(3)))


async def _lose_append_answer(fleet: LocalFleet, monitor: VersionMonitor) -> None:
    """Drop the answer to the append after it was applied."""
    plan = await fleet.admin("r1", "POST", "/plan", _intent(3).encode())
    await fleet.set_faults("log", Faults(lost_answers=4))
    confirmation = await fleet.admin("r1", "POST", "/confirm", plan.body)
    monitor.checker.check(
        confirmation.status == 200,
        f"{monitor.fault}: confirmation answered {confirmation.status}",
    )
    await monitor.expect(fleet, msgspec.json.decode(confirmation.body)["version"])


async def _confirm_concurrently(fleet: LocalFleet, monitor: VersionMonitor) -> None:
    """Let two operators confirm conflicting plans through two routers."""
    plans = [
        await fleet.admin(router, "POST", "/plan", _intent(number + 2).encode())
        for number, router in enumerate(ROUTERS)
    ]
    answers = {}

    async def confirm(router: str, body: bytes, token: str) -> None:
        answers[router] = await fleet.admin(router, "POST", "/confirm", body, token)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(confirm, "r1", plans[0].body, OPERATOR_TOKEN)
        nursery.start_soon(confirm, "r2", plans[1].body, SECOND_OPERATOR_TOKEN)
    statuses = sorted(answer.status for answer in answers.values())
    monitor.checker.check(
        statuses == [200, 409], f"{monitor.fault}: confirmations answered {statuses}"
    )
    rejected = next(item for item in answers.values() if item.status == 409)
    is_named = b"ana" in rejected.body or b"benito" in rejected.body
    monitor.checker.check(
        is_named, f"{monitor.fault}: the conflict does not name the other operator"
    )
    accepted = next(item for item in answers.values() if item.status == 200)
    await monitor.expect(fleet, msgspec.json.decode(accepted.body)["version"])


async def _restart_router_in_outage(fleet: LocalFleet, monitor: VersionMonitor) -> None:
    """Restart a router during a log outage; a peer has the configuration."""
    version = await fleet.apply_intent("r1", _intent(3))
    await monitor.expect(fleet, version)
    await fleet.set_faults("log", Faults(is_down=True))
    fleet.kill("r2")
    await fleet.restart("r2")
    await monitor.expect(fleet, version)
    await fleet.set_faults("log", Faults())
    await monitor.expect(fleet, await fleet.apply_intent("r1", _intent(2)))


async def _freeze_router(fleet: LocalFleet, monitor: VersionMonitor) -> None:
    """Freeze a router through a change and an outage, then thaw it."""
    fleet.suspend("r2")
    version = await fleet.apply_intent("r1", _intent(3))
    await fleet.set_faults("log", Faults(is_down=True))
    await trio.sleep(2.0)
    fleet.resume("r2")
    await monitor.expect(fleet, version)


async def _expire_records(fleet: LocalFleet, monitor: VersionMonitor) -> None:
    """Restart a router after a snapshot replaced the first records."""
    version = await fleet.apply_intent("r1", _intent(3))
    await trio.sleep(8.0)
    first = await fleet.get_json("log", "/records?from=0&limit=1")
    monitor.checker.check(first["first"] > 0, f"{monitor.fault}: no record has expired")
    fleet.kill("r2")
    await fleet.restart("r2")
    await monitor.expect(fleet, version)
    await monitor.expect(fleet, await fleet.apply_intent("r1", _intent(2)))


async def _kill_confirming_router(fleet: LocalFleet, monitor: VersionMonitor) -> None:
    """Kill the confirming router 0.4 s after the request."""
    plan = await fleet.admin("r1", "POST", "/plan", _intent(3).encode())
    await fleet.set_faults("log", Faults(delay_s=0.3))
    with trio.move_on_after(0.4):
        await fleet.admin("r1", "POST", "/confirm", plan.body)
    fleet.kill("r1")
    await fleet.restart("r1")
    await fleet.set_faults("log", Faults())
    await monitor.expect(fleet, await fleet.apply_intent("r2", _intent(2)))


FAULT_INJECTIONS: dict[str, InjectFault] = {
    "none": _change_repeatedly,
    "log slow": _slow_down_log,
    "append's answer lost": _lose_append_answer,
    "two operators racing on one object": _confirm_concurrently,
    "router restarted during a log outage": _restart_router_in_outage,
    "router frozen through a change, log down": _freeze_router,
    "records before a snapshot expired": _expire_records,
    "confirming router killed": _kill_confirming_router,
}
SHORT_RETENTION = {"platform": {"log_retention_s": 4.0}}


async def prove_one(fault: str, inject_fault: InjectFault) -> ProofResult:
    """Return the result of one fault."""
    checker = Checker()
    monitor = VersionMonitor(checker, fault)
    is_short = inject_fault is _expire_records
    overrides = SHORT_RETENTION if is_short else {}
    log_options = ("--retention-s", "4") if is_short else ()
    async with small_fleet(3, 0, overrides=overrides, log_options=log_options) as fleet:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run, fleet)
            await inject_fault(fleet, monitor)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
    return ProofResult(
        PROMISE,
        fault,
        checker.cases,
        tuple(checker.violations),
        f"slowest {monitor.max_delay_s:.2f} s",
    )


async def prove() -> list[ProofResult]:
    """Return one result for each fault."""
    return [await prove_one(*case) for case in FAULT_INJECTIONS.items()]
