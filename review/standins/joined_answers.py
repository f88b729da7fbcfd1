"""Case: a long answer that breaks off is followed by the answer of another runner."""

import asyncio
import time

from standins import case
from standins.case import BROKEN, COULD_NOT_RUN, HELD
from standins.deployment import HOST_NAME, Deployment, RunnerProcess, make_route
from standins.document_runner import document
from standins.http import Answer, send_request

SERVICE = "portal"
RUNNERS = 6
SLOTS = 6
GATEWAYS = 2
CLIENTS = 20
TRAFFIC_S = 20.0
# One of six runners is down for 4 s; a day of the first site has a share of 0.19 so.
CRASHES_AT_S = (2.0, 8.0, 14.0)
DOWN_S = 4.0
ENTRY_GONE_AFTER_S = 3.6
RUNNER_MODULE = "standins.document_runner"


class Clients:
    """The clients, and what they got."""

    def __init__(self, site: Deployment) -> None:
        self._site = site
        self._count = 0
        self.served = 0
        self.wrong: list[str] = []

    async def repeat(self, number: int, until_s: float) -> None:
        """Ask for one document after another, at each gateway in turn."""
        while time.monotonic() < until_s:
            self._count += 1
            request_id = f"{self._count:016x}"
            gateway = self._site.gateways[(number + self._count) % GATEWAYS]
            self._site.note(f"sent: request {request_id} to {gateway.name}")
            headers = {
                "Host": HOST_NAME,
                "Request-Id": request_id,
                "Deadline-Ms": "10000",
            }
            answer = await send_request(
                gateway.host, gateway.front_port, "GET", "/documents/7", headers
            )
            self._check(request_id, answer)

    def _check(self, request_id: str, answer: Answer) -> None:
        """Note an answer, and compare a success with the body of its runner."""
        seal = answer.headers.get("response-seal", "")
        self._site.note(
            f"answered: request {request_id} status {answer.status} seal {seal}"
            f" bytes {len(answer.body)} complete {answer.is_complete}"
        )
        if not answer.is_complete or not 200 <= (answer.status or 0) < 300:
            return
        self.served += 1
        runner_id = seal.partition(".")[0]
        if answer.body != document(runner_id, request_id):
            lines = answer.body.split(b"\n")
            writers = {line.split(b" ")[0].decode() for line in lines[:-1] if line}
            text = (
                f"request {request_id}: {len(answer.body)} bytes of {sorted(writers)}"
            )
            self.wrong.append(text)


async def crash_one(site: Deployment, runner: RunnerProcess, at_s: float) -> None:
    """Crash a runner at a time, and start another one after it."""
    await asyncio.sleep(at_s)
    site.crash_runner(runner)
    await asyncio.sleep(ENTRY_GONE_AFTER_S)
    site.remove_entry(runner)
    await asyncio.sleep(DOWN_S - ENTRY_GONE_AFTER_S)
    await site.add_runner(SERVICE, SLOTS, RUNNER_MODULE)


async def play(site: Deployment, has_trouble: bool) -> int:
    """Play the case, and return the exit code."""
    site.configure([make_route("documents", "safe", SERVICE)], [{"name": SERVICE}])
    for _ in range(RUNNERS):
        await site.add_runner(SERVICE, SLOTS, RUNNER_MODULE)
    await site.start_gateways(GATEWAYS)
    clients = Clients(site)
    until_s = time.monotonic() + TRAFFIC_S
    async with asyncio.TaskGroup() as tasks:
        for number in range(CLIENTS):
            tasks.create_task(clients.repeat(number, until_s))
        if has_trouble:
            for runner, at_s in zip(site.runners, CRASHES_AT_S):
                tasks.create_task(crash_one(site, runner, at_s))
    for text in clients.wrong:
        site.note(f"broken: MIXED {text}")
    print(f"{clients.served} documents served, {len(clients.wrong)} of them wrong")
    if not clients.served:
        return COULD_NOT_RUN
    return BROKEN if clients.wrong else HELD


if __name__ == "__main__":
    case.run(play)
