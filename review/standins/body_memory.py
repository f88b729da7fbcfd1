"""Case: requests with long bodies take gateways over the memory of their machines."""

import asyncio
import os
import time
from collections import Counter
from pathlib import Path

from standins import case
from standins.case import BROKEN, COULD_NOT_RUN, HELD
from standins.deployment import HOST_NAME, LIMITS, Deployment, make_route
from standins.gateways import LIMITS as MACHINE
from standins.http import send_request

SERVICE = "filing"
RUNNERS = 8
SLOTS = 6
GATEWAYS = 2
RUNNER_MODULE = "standins.filing_runner"
TRAFFIC_S = 22.0
# One tenant's filings, over all gateways; the sheets' largest surge is 7.5 for 6.5 s.
USUAL_PER_S = 4.5
SURGE = 7.5
SURGE_AT_S, SURGE_S = 6.0, 6.5
BODY_BYTES = 4_000_000
RESTART_DELAY_S = 0.5
CHECK_INTERVAL_S = 0.02
# Of the rule: ends of processes in a day, and the machines that they are on.
MIN_ENDS, MIN_MACHINES = 3, 2


def memory_mb(process_id: int) -> float:
    """Return the memory in use by a process, in millions of bytes."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


class Platform:
    """The platform, which kills processes over their memory and starts them again."""

    def __init__(self, site: Deployment) -> None:
        self._site = site
        self.ends: list[str] = []
        self.peak_mb = 0.0

    async def watch(self) -> None:
        """Watch all gateways until cancelled."""
        while True:
            for gateway in self._site.gateways:
                used_mb = memory_mb(gateway.process_id)
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > MACHINE["memory-mb"]:
                    gateway.kill()
                    self.ends.append(gateway.name)
                    self._site.note(f"{gateway.name} killed at {used_mb:.0f} MB")
                    await asyncio.sleep(RESTART_DELAY_S)
                    gateway.start()
            await asyncio.sleep(CHECK_INTERVAL_S)


class Clients:
    """The clients, and what they got."""

    def __init__(self, site: Deployment) -> None:
        self._site = site
        self._body = os.urandom(BODY_BYTES)
        self._count = 0
        self.outcomes: Counter[int | None] = Counter()

    async def file(self) -> None:
        """Send one filing to the next gateway."""
        self._count += 1
        request_id = f"{self._count:016x}"
        gateway = self._site.gateways[self._count % GATEWAYS]
        self._site.note(f"sent: request {request_id} to {gateway.name}")
        headers = {"Host": HOST_NAME, "Request-Id": request_id, "Deadline-Ms": "10000"}
        answer = await send_request(
            gateway.host, gateway.front_port, "POST", "/filings/", headers, self._body
        )
        self._site.note(f"answered: request {request_id} status {answer.status}")
        self.outcomes[answer.status] += 1

    async def send_all(self, surge: float) -> None:
        """Send filings at the usual rate, and `surge` times it for a while."""
        start_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            while (elapsed_s := time.monotonic() - start_s) < TRAFFIC_S:
                is_surge = SURGE_AT_S <= elapsed_s < SURGE_AT_S + SURGE_S
                tasks.create_task(self.file())
                await asyncio.sleep(1 / (USUAL_PER_S * (surge if is_surge else 1.0)))


async def play(site: Deployment, has_trouble: bool) -> int:
    """Play the case, and return the exit code."""
    assert BODY_BYTES <= LIMITS["max-body-bytes"]
    site.configure([make_route("filings", "unsafe", SERVICE)], [{"name": SERVICE}])
    for _ in range(RUNNERS):
        await site.add_runner(SERVICE, SLOTS, RUNNER_MODULE)
    await site.start_gateways(GATEWAYS)
    clients, platform = Clients(site), Platform(site)
    watch = asyncio.create_task(platform.watch())
    await clients.send_all(SURGE if has_trouble else 1.0)
    watch.cancel()
    machines = len(set(platform.ends))
    print(
        f"{len(platform.ends)} ends over memory on {machines} of {GATEWAYS} machines,"
        f" peak {platform.peak_mb:.0f} MB, answers {dict(clients.outcomes)}"
    )
    if not clients.outcomes[200]:
        return COULD_NOT_RUN
    is_broken = len(platform.ends) >= MIN_ENDS and machines >= MIN_MACHINES
    if is_broken:
        site.note(f"broken: Fault, {len(platform.ends)} ends")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    case.run(play)
