"""Simulated instance list of the platform, whose readings can lag."""

from dataclasses import dataclass

import msgspec
import trio
from returns.result import Failure

from scaleloom_core.ids import InstanceId
from scaleloom_core.membership import Member
from scaleloom_fleet.http.asgi import Reply, Request, Route, json_reply
from scaleloom_fleet.platform.instance_list import ListReading
from scaleloom_standins.faults import FaultInjector

BODY_LIMIT_BYTES = 65536
BODY_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class _ListChange:
    """Change of the list at a time; without a member the instance is removed."""

    made_at_s: float
    instance: InstanceId
    member: Member | None


class InstanceStore:
    """Instances of the platform, kept as the history of all changes."""

    def __init__(self) -> None:
        self._changes: list[_ListChange] = []

    def put(self, member: Member, now_s: float) -> None:
        """Add or replace an instance."""
        self._changes.append(_ListChange(now_s, member.instance, member))

    def remove(self, instance: InstanceId, now_s: float) -> None:
        """Remove an instance."""
        self._changes.append(_ListChange(now_s, instance, None))

    def read(self, since: int, lag_s: float, now_s: float) -> ListReading:
        """Return the changes after version `since` that are at least `lag_s` old."""
        visible = [
            change for change in self._changes if change.made_at_s <= now_s - lag_s
        ]
        version = len(visible)
        is_whole = since < 0 or since > version
        latest = {
            change.instance: change for change in visible[0 if is_whole else since :]
        }
        return ListReading(
            version=version,
            is_whole=is_whole,
            instances=[change.member for change in latest.values() if change.member],
            removed=[
                change.instance for change in latest.values() if not change.member
            ],
        )


def list_routes(store: InstanceStore, faults: FaultInjector) -> list[Route]:
    """Return the routes of the list."""

    async def handle_read(request: Request) -> Reply:
        since = int(request.query.get("since", "-1"))
        return json_reply(store.read(since, faults.current.lag_s, trio.current_time()))

    async def handle_put(request: Request) -> Reply:
        received = await request.read_body(BODY_LIMIT_BYTES, BODY_TIMEOUT_S)
        if isinstance(received, Failure):
            return Reply(400)
        member = msgspec.json.decode(received.unwrap(), type=Member)
        store.put(member, trio.current_time())
        return json_reply({})

    async def handle_remove(request: Request) -> Reply:
        store.remove(InstanceId(request.path_params["instance"]), trio.current_time())
        return json_reply({})

    return [
        Route("GET", "/instances", faults.wrap(handle_read)),
        Route("PUT", "/instances/{instance}", handle_put),
        Route("DELETE", "/instances/{instance}", handle_remove),
        faults.route(),
    ]
