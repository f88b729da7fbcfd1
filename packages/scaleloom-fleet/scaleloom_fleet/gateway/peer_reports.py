"""Sends reports to peers: this router's own, and those of its group."""

import random
import socket
from functools import lru_cache

import msgspec
import trio

from scaleloom_core.crash_history import Crash
from scaleloom_core.fleet_load import TargetKey
from scaleloom_core.fleet_roster import FleetMember, FleetRoster
from scaleloom_core.ids import InstanceId
from scaleloom_core.precedence import precedence
from scaleloom_core.prefix_holders import Holding
from scaleloom_core.target_outcomes import OutcomeCounts, Outcomes
from scaleloom_fleet.gateway.peer_documents import own_document_versions
from scaleloom_fleet.gateway.peer_messages import PeerReport, RolloutReport
from scaleloom_fleet.gateway.rollout_reports import RolloutReporter
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.utils.addresses import Address, parse_address

REPORT_INTERVAL_S = 0.1
# Rounds with more datagrams are less frequent, which limits datagrams per second.
MAX_DATAGRAMS_PER_INTERVAL = 8
# Changes are reported immediately, but frequent ones at this interval only.
MIN_PAUSE_S = 0.05
SILENT_RETRY_INTERVAL_S = 1.0
# How many silent routers are contacted again at a time.
SILENT_RETRY_COUNT = 24
# Three intervals fit into the time after which a router counts as silent.
MEMBERS_INTERVAL_S = 0.45
# Holdings of a group in one report, at about 12 bytes each.
MAX_GROUP_HOLDINGS = 512
ADDRESS_CACHE_SIZE = 4096


@lru_cache(ADDRESS_CACHE_SIZE)
def router_address(router: InstanceId) -> Address:
    """
    Return the address in a router's id.

    Raises
    ------
    ValueError
        If the id is not an address.
    """
    return parse_address(router)


class ReportSender:
    """
    Sends this router's reports to its group, and the group's reports to others.

    Parameters
    ----------
    own : InstanceId
        The id of this router.
    access : StoreAccess
        Provides whether calls to the store have recently failed.
    roster : FleetRoster
        Decides which routers receive which reports.
    rollouts : RolloutReporter
        Provides the reports of roll-outs.
    sender : socket.socket
        The datagram socket of the peer address.
    """

    def __init__(
        self,
        own: InstanceId,
        state: GatewayState,
        access: StoreAccess,
        roster: FleetRoster,
        rollouts: RolloutReporter,
        sender: socket.socket,
    ) -> None:
        self._own = own
        self._state = state
        self._access = access
        self._roster = roster
        self._rollouts = rollouts
        self._socket = sender
        self._new_routers: list[InstanceId] = []
        self._group_holdings: list[Holding] = []
        self._group_outcomes = OutcomeCounts()
        self._members_due_s = 0.0

    def announce_to(self, router: InstanceId) -> None:
        """Send the next report, without delay, also to a newly discovered router."""
        self._new_routers.append(router)
        self._state.request_report()

    def relay(self, report: PeerReport) -> None:
        """Add what a group member reported to the group's next report."""
        remaining = MAX_GROUP_HOLDINGS - len(self._group_holdings)
        self._group_holdings += report.holdings[:remaining]
        self._group_outcomes.merge(report.outcomes)

    async def send_forever(self) -> None:
        """Send reports in rounds, for as long as the process runs."""
        state, roster = self._state, self._roster
        next_silent_s = 0.0
        while True:
            now_s = trio.current_time()
            state.report_requested = trio.Event()
            roster.update_group(now_s)
            members = [member.router for member in roster.group_members(now_s)]
            outside = roster.relay_recipients(now_s)
            extra, self._new_routers = self._new_routers, []
            if now_s >= next_silent_s:
                extra += self._sample_silent(now_s)
                next_silent_s = now_s + SILENT_RETRY_INTERVAL_S
            self._send(members + extra, outside, now_s)
            self._update_fleet(now_s)
            rounds = max(
                1.0, (len(members) + len(outside)) / MAX_DATAGRAMS_PER_INTERVAL
            )
            pause_s = REPORT_INTERVAL_S * rounds
            state.load.report_interval_s = state.freshness.report_interval_s = pause_s
            await trio.sleep(MIN_PAUSE_S)
            with trio.move_on_after(pause_s - MIN_PAUSE_S):
                await state.report_requested.wait()

    def _sample_silent(self, now_s: float) -> list[InstanceId]:
        """Return a random sample of the silent routers."""
        self._roster.remove_stale(now_s)
        silent = self._roster.silent_routers(now_s)
        return random.sample(silent, min(SILENT_RETRY_COUNT, len(silent)))

    def _update_fleet(self, now_s: float) -> None:
        """Copy what the roster knows about the fleet into the shared state."""
        state, roster = self._state, self._roster
        state.load.remove_silent(now_s)
        state.router_count = roster.fleet_size(now_s)
        state.has_live_peers = bool(roster.alive_routers(now_s))
        state.chooser.cold_schedule.router_count = roster.sender_count(now_s)
        state.rank = roster.rank(self._own_member(now_s).precedence, now_s)
        state.following_peer_count = roster.follower_count(now_s)

    def _own_member(self, now_s: float) -> FleetMember:
        """Return this router as a member of the fleet."""
        state = self._state
        has_recent_failure = self._access.has_recent_failure(now_s)
        own = precedence(
            self._own,
            state.has_low_bandwidth_link,
            has_recent_failure,
            state.capacity_shortfall,
        )
        return FleetMember(self._own, own, state.follows_store)

    def _send(
        self, receivers: list[InstanceId], outside: list[InstanceId], now_s: float
    ) -> None:
        """Send this router's report to `receivers`, the group's to `outside`."""
        load = self._state.load
        holdings = self._state.chooser.holders.pop_unreported()
        outcomes = self._state.outcomes.pop_all()
        rollouts = self._rollouts.local_reports(now_s)
        in_flight = load.local_report(now_s)
        table = self._state.crashes.table
        crashes = table.crashes_to_report(is_group_report=False, now_s=now_s)
        report = self._report(in_flight, holdings, outcomes, rollouts, crashes, now_s)
        self._send_to(receivers, report)
        group_holdings, self._group_holdings = self._group_holdings + holdings, []
        self._group_outcomes.merge(outcomes)
        group_outcomes = self._group_outcomes.pop_all()
        rollouts = self._rollouts.group_reports(now_s)
        if outside:
            in_flight = load.group_report()
            crashes = table.crashes_to_report(is_group_report=True, now_s=now_s)
            summary = self._report(
                in_flight, group_holdings, group_outcomes, rollouts, crashes, now_s
            )
            others = self._roster.group_members(now_s)
            summary = msgspec.structs.replace(summary, group_size=1 + len(others))
            if now_s >= self._members_due_s:
                self._members_due_s = now_s + MEMBERS_INTERVAL_S
                reported_members = self._roster.recent_group_members(now_s)
                summary = msgspec.structs.replace(summary, others=reported_members)
            self._send_to(outside, summary)

    def _report(
        self,
        in_flight: dict[TargetKey, int],
        holdings: list[Holding],
        outcomes: dict[TargetKey, Outcomes],
        rollouts: list[RolloutReport],
        crashes: list[Crash],
        now_s: float,
    ) -> PeerReport:
        """Return a report, completed with the versions of this router's documents."""
        state = self._state
        own = own_document_versions(state)
        return PeerReport(
            self._own_member(now_s),
            self._roster.group,
            own.config_version,
            own.list_position,
            own.list_digest,
            state.freshness.age_ms(now_s),
            in_flight,
            holdings,
            outcomes,
            evacuations=state.evacuations,
            orders=state.rollouts.orders,
            rollouts=rollouts,
            crashes=crashes,
        )

    def _send_to(self, routers: list[InstanceId], report: PeerReport) -> None:
        """Send `report` to each of `routers`."""
        data = msgspec.msgpack.encode(report)
        for router in routers:
            address = router_address(router)
            try:
                self._socket.sendto(data, (address.host, address.port))
            except OSError:
                # The receiver may not listen yet; the next round reports again.
                continue
