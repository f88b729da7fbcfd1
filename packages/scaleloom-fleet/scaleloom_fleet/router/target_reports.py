"""Reports of the targets' sidecars, collected for plans and the status page."""

from functools import partial

import msgspec
import trio

from scaleloom_core.ids import InstanceId, TargetId
from scaleloom_core.planning import TargetFacts
from scaleloom_core.records import Target
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_wire.control_pb2 import Datagram, SampleReply, SampleRequest

QUERY_TIMEOUT_S = 0.3
MAX_QUERY_ATTEMPTS = 3
MAX_CONCURRENT_QUERIES = 64


class TargetReport(msgspec.Struct, frozen=True):
    """Report of one target; `is_live` is False if its sidecar did not reply."""

    target: TargetId
    is_live: bool
    load: int = 0
    cached_chats: int = 0
    is_leaving: bool = False
    settled_token: int = -1

    def to_facts(self) -> TargetFacts:
        """Return the facts that planning needs from the report."""
        return TargetFacts(self.target, self.is_live, self.cached_chats, self.load)


async def collect_reports(state: RouterState) -> list[TargetReport]:
    """Query all configured targets and return their reports, sorted by target."""
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
    reports: list[TargetReport] = []
    async with trio.open_nursery() as nursery:
        for target in state.config.fold.objects_of(Target):
            nursery.start_soon(
                partial(_collect_report, state, target.name, limiter, reports)
            )
    return sorted(reports, key=lambda report: report.target)


async def _collect_report(
    state: RouterState,
    target: TargetId,
    limiter: trio.CapacityLimiter,
    reports: list[TargetReport],
) -> None:
    """Query one sidecar and append its report to `reports`."""
    async with limiter:
        reply = await _query_sidecar(state, target)
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


async def _query_sidecar(state: RouterState, target: TargetId) -> SampleReply | None:
    """Query a sidecar, with retries for lost datagrams; None if it never replies."""
    member = state.membership.find(InstanceId(target))
    if member is None:
        return None
    address = Address(member.host, member.control_port)
    for _ in range(MAX_QUERY_ATTEMPTS):
        query = Datagram(sample_request=SampleRequest())
        answer = await state.datagrams.request(address, query, QUERY_TIMEOUT_S)
        if answer is not None:
            return answer.sample_reply
    return None
