"""A stand-in for the platform's lagging list of instances."""

from dataclasses import dataclass

import msgspec
import trio
from returns.result import Failure

from scaleloom_core.ids import InstanceId
from scaleloom_core.membership import Member
from scaleloom_fleet.http.asgi import Reply, Request, Route, json_reply
from scaleloom_fleet.platform.instance_list import ListReading
from scaleloom_standins.faults import FaultBox

BODY_LIMIT_BYTES = 65536
BODY_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class _Edit:
    """One change of the list, and when it was made."""

    made_at_s: float
    instance: InstanceId
    member: Member | None


class InstanceStore:
    """The instances that the platform runs, with the history of changes."""

    def __init__(self) -> None:
        self._edits: list[_Edit] = []

    def put(self, member: Member, now_s: float) -> None:
        """Add or replace an instance."""
        self._edits.append(_Edit(now_s, member.instance, member))

    def remove(self, instance: InstanceId, now_s: float) -> None:
        """Remove an instance."""
        self._edits.append(_Edit(now_s, instance, None))

    def read(self, since: int, lag_s: float, now_s: float) -> ListReading:
        """Return what changed after version `since`, as seen `lag_s` ago."""
        visible = [edit for edit in self._edits if edit.made_at_s <= now_s - lag_s]
        version = len(visible)
        is_whole = since < 0 or since > version
        latest = {edit.instance: edit for edit in visible[0 if is_whole else since :]}
        return ListReading(
            version=version,
            is_whole=is_whole,
            instances=[edit.member for edit in latest.values() if edit.member],
            removed=[edit.instance for edit in latest.values() if not edit.member],
        )


def list_routes(store: InstanceStore, faults: FaultBox) -> list[Route]:
    """Return the pages of the list."""

    async def handle_read(request: Request) -> Reply:
        since = int(request.query.get("since", "-1"))
        return json_reply(store.read(since, faults.now.lag_s, trio.current_time()))

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
        Route("GET", "/instances", faults.faulty(handle_read)),
        Route("PUT", "/instances/{instance}", handle_put),
        Route("DELETE", "/instances/{instance}", handle_remove),
        faults.route(),
    ]
