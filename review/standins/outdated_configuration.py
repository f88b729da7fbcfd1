"""Case: a fleet that lost answers of the store keeps an outdated configuration."""

import asyncio
import time
from collections import Counter

from standins import case
from standins.case import BROKEN, COULD_NOT_RUN, HELD
from standins.deployment import HOST_NAME, Deployment, make_route
from standins.http import send_request

SERVICE = "portal"
RUNNERS = 4
SLOTS = 6
GATEWAYS = 4
RUNNER_MODULE = "standins.lookup_runner"
SETTLE_S = 4.0
ROUNDS = 3
# The largest entry of the sheets for lost answers of the store.
LOST_SHARE, LOST_S = 0.35, 4.5
# In that time: a change that is told, and one whose answers are lost.
TOLD_AT_S, LOST_AT_S = 0.5, 1.5
# Bounds of the first sheet. The rules judge from `contact-ms` after the disruption and
# `config-ms` after the acknowledgement on; `outer-ms` is a margin of this script.
CONTACT_S, OUTER_S = 3.0, 5.0
JUDGED_S = 6.0
ASK_GAP_S = 0.25


class Operator:
    """Writes configurations, each of which adds a route, and takes a key away."""

    def __init__(self, site: Deployment) -> None:
        self._site = site
        self.version = 0

    def change(self) -> None:
        """Write the next configuration."""
        self.version += 1
        routes = [
            make_route("status", "safe", SERVICE),
            make_route(f"v{self.version}", "safe", SERVICE),
        ]
        keys = ["key-always", f"key-{self.version}"]
        tenants = [{"name": "registry", "api-keys": keys}]
        self._site.configure(routes, [{"name": SERVICE}], tenants)


class Clients:
    """Clients that use what the newest configuration added, and took away."""

    def __init__(self, site: Deployment) -> None:
        self._site = site
        self._count = 0
        self.outdated: Counter[str] = Counter()
        self.answered = 0

    async def ask(self, version: int, is_judged: bool) -> None:
        """Ask each gateway for the newest route, and with the key taken away last."""
        for gateway in self._site.gateways:
            for path, key, outdated_status in (
                (f"/v{version}/", "key-always", 404),
                ("/status/", f"key-{version - 1}", 200),
            ):
                self._count += 1
                request_id = f"{self._count:016x}"
                headers = {
                    "Host": HOST_NAME,
                    "Request-Id": request_id,
                    "Deadline-Ms": "3000",
                    "Authorization": f"Bearer {key}",
                }
                self._site.note(
                    f"sent: request {request_id} to {gateway.name} {path} {key}"
                )
                answer = await send_request(
                    gateway.host, gateway.front_port, "GET", path, headers
                )
                text = f"answered: request {request_id} status {answer.status}"
                self._site.note(text)
                self.answered += answer.status is not None
                if is_judged and answer.status == outdated_status:
                    self._site.note(f"broken: CONFIG request {request_id}")
                    self.outdated[gateway.name] += 1


async def play_round(
    site: Deployment, operator: Operator, clients: Clients, has_trouble: bool
) -> None:
    """Play one disruption, and judge what follows it."""
    store = site.store
    lost_before, sent_before = store.lost_count, store.sent_count
    site.note("store loses answers")
    await asyncio.sleep(TOLD_AT_S)
    operator.change()
    await asyncio.sleep(LOST_AT_S - TOLD_AT_S)
    store.loses_changes = has_trouble
    operator.change()
    await asyncio.sleep(LOST_S - LOST_AT_S)
    store.loses_changes = False
    lost, sent = store.lost_count - lost_before, store.sent_count - sent_before
    site.note(f"store calm again: {lost} answers lost, {sent} sent")
    assert lost <= LOST_SHARE * (lost + sent)
    await asyncio.sleep(CONTACT_S + OUTER_S)
    until_s = time.monotonic() + JUDGED_S
    while time.monotonic() < until_s:
        await clients.ask(operator.version, is_judged=True)
        await asyncio.sleep(ASK_GAP_S)


async def play(site: Deployment, has_trouble: bool) -> int:
    """Play the case, and return the exit code."""
    operator, clients = Operator(site), Clients(site)
    operator.change()
    for _ in range(RUNNERS):
        await site.add_runner(SERVICE, SLOTS, RUNNER_MODULE)
    await site.start_gateways(GATEWAYS)
    await asyncio.sleep(SETTLE_S)
    for number in range(1, ROUNDS + 1):
        before = clients.outdated.total()
        await play_round(site, operator, clients, has_trouble)
        count = clients.outdated.total() - before
        print(f"round {number}: {count} requests handled by an outdated configuration")
    if not clients.answered:
        return COULD_NOT_RUN
    return BROKEN if clients.outdated else HELD


if __name__ == "__main__":
    case.run(play)
