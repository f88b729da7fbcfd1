"""What the targets' sidecars say of themselves when a plan or status asks."""

from functools import partial

import msgspec
import trio

from scaleloom_core.ids import InstanceId, TargetId
from scaleloom_core.planning import TargetFacts
from scaleloom_core.records import Target
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_wire.control_pb2 import Datagram, SampleReply, SampleRequest

ASK_TIMEOUT_S = 0.3
ASK_TRIES = 3
ASK_AT_ONCE = 64


class TargetReport(msgspec.Struct, frozen=True):
    """One target's answer, or its silence."""

    target: TargetId
    is_live: bool
    load: int = 0
    cached_chats: int = 0
    is_leaving: bool = False
    settled_token: int = -1

    def to_facts(self) -> TargetFacts:
        """Return what a plan needs of the report."""
        return TargetFacts(self.target, self.is_live, self.cached_chats, self.load)


async def collect_reports(state: RouterState) -> list[TargetReport]:
    """Return a report of every configured target."""
    limiter = trio.CapacityLimiter(ASK_AT_ONCE)
    reports: list[TargetReport] = []
    async with trio.open_nursery() as nursery:
        for target in state.config.fold.all_of(Target):
            nursery.start_soon(
                partial(_collect_one, state, target.name, limiter, reports)
            )
    return sorted(reports, key=lambda report: report.target)


async def _collect_one(
    state: RouterState,
    target: TargetId,
    limiter: trio.CapacityLimiter,
    reports: list[TargetReport],
) -> None:
    """Ask one sidecar for its report."""
    async with limiter:
        reply = await _ask(state, target)
    if reply is None:
        reports.append(TargetReport(target, is_live=False))
        return
    reports.append(
        TargetReport(
            target=target,
            is_live=True,
            load=reply.load,
            cached_chats=reply.cached_chats,
            is_leaving=reply.is_leaving,
            settled_token=reply.settled_token,
        )
    )


async def _ask(state: RouterState, target: TargetId) -> SampleReply | None:
    """Return a sidecar's answer, asking again if a datagram was lost."""
    member = state.membership.find(InstanceId(target))
    if member is None:
        return None
    address = Address(member.host, member.control_port)
    for _ in range(ASK_TRIES):
        question = Datagram(sample_request=SampleRequest())
        answer = await state.datagrams.ask(address, question, ASK_TIMEOUT_S)
        if answer is not None:
            return answer.sample_reply
    return None
