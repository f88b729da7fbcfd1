"""What a router tells its peers: its own load, and for some what its group holds."""

import random
import socket
from functools import lru_cache

import msgspec
import trio

from scaleloom_core.crash_table import End
from scaleloom_core.fleet_load import TargetKey
from scaleloom_core.fleet_roster import FleetMember, FleetRoster
from scaleloom_core.ids import InstanceId
from scaleloom_core.precedence import precedence
from scaleloom_core.prefix_holders import Holding
from scaleloom_core.target_outcomes import OutcomeCounts, Outcomes
from scaleloom_fleet.gateway.peer_documents import own_knowledge
from scaleloom_fleet.gateway.peer_messages import PeerReport, RolloutNews
from scaleloom_fleet.gateway.rollout_news import RolloutTeller
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.utils.addresses import Address, parse_address

REPORT_INTERVAL_S = 0.1
# Rounds with more datagrams come less often, so that none costs more a second.
DATAGRAMS_PER_INTERVAL = 8
# News from the store goes out at once, but a storm of them in rounds of this.
LEAST_PAUSE_S = 0.05
SILENT_INTERVAL_S = 1.0
# Routers that are not heard are tried again, this many at a time.
TRIED_AGAIN = 24
# Three of these fit into the time after which a router counts as silent.
OTHERS_INTERVAL_S = 0.45
# What a group saw in one round; about 12 bytes each.
GROUP_NEWS_LIMIT = 512
ADDRESSES_KEPT = 4096


@lru_cache(ADDRESSES_KEPT)
def address_of(router: InstanceId) -> Address:
    """
    Return where a router is reached.

    Raises
    ------
    ValueError
        If its name is no address.
    """
    return parse_address(router)


class ReportSender:
    """
    Sends this router's reports, and its group's to those it relays them to.

    Parameters
    ----------
    own : InstanceId
        This router.
    access : StoreAccess
        Tells whether the store failed this router.
    roster : FleetRoster
        Tells who is told what.
    rollouts : RolloutTeller
        Tells what is known of roll-outs.
    sender : socket.socket
        The datagram socket of the control address.
    """

    def __init__(
        self,
        own: InstanceId,
        state: GatewayState,
        access: StoreAccess,
        roster: FleetRoster,
        rollouts: RolloutTeller,
        sender: socket.socket,
    ) -> None:
        self._own = own
        self._state = state
        self._access = access
        self._roster = roster
        self._rollouts = rollouts
        self._socket = sender
        self._to_greet: list[InstanceId] = []
        self._group_news: list[Holding] = []
        self._group_outcomes = OutcomeCounts()
        self._others_due_s = 0.0

    def greet(self, router: InstanceId) -> None:
        """Tell a router that may be there of this one at once."""
        self._to_greet.append(router)
        self._state.report_soon()

    def relay(self, report: PeerReport) -> None:
        """Keep what a member of the group saw, for those outside."""
        room = GROUP_NEWS_LIMIT - len(self._group_news)
        self._group_news += report.holdings[:room]
        self._group_outcomes.note_all(report.outcomes)

    async def send_forever(self) -> None:
        """Tell the group what this router holds, and others what the group does."""
        state, roster = self._state, self._roster
        next_silent_s = 0.0
        while True:
            now_s = trio.current_time()
            state.report_is_due = trio.Event()
            roster.regroup(now_s)
            near = [member.router for member in roster.near(now_s)]
            told = roster.relayed_to(now_s)
            tried, self._to_greet = self._to_greet, []
            if now_s >= next_silent_s:
                tried += self._silent_to_try(now_s)
                next_silent_s = now_s + SILENT_INTERVAL_S
            self._send(near + tried, told, now_s)
            self._note_fleet(now_s)
            rounds = max(1.0, (len(near) + len(told)) / DATAGRAMS_PER_INTERVAL)
            pause_s = REPORT_INTERVAL_S * rounds
            state.load.report_pause_s = state.freshness.report_pause_s = pause_s
            await trio.sleep(LEAST_PAUSE_S)
            with trio.move_on_after(pause_s - LEAST_PAUSE_S):
                await state.report_is_due.wait()

    def _silent_to_try(self, now_s: float) -> list[InstanceId]:
        """Return a few routers that were not heard, each time others."""
        self._roster.forget(now_s)
        silent = self._roster.silent(now_s)
        return random.sample(silent, min(TRIED_AGAIN, len(silent)))

    def _note_fleet(self, now_s: float) -> None:
        """Take what the roster says of the fleet into the shared state."""
        state, roster = self._state, self._roster
        state.load.forget_silent(now_s)
        state.router_count = roster.count(now_s)
        state.hears_peers = bool(roster.lively(now_s))
        state.chooser.cold.routers = roster.senders(now_s)
        state.rank = roster.rank(self._own_member(now_s).precedence, now_s)
        state.followed_peers = roster.followers(now_s)

    def _own_member(self, now_s: float) -> FleetMember:
        """Return what the fleet is to know of this router."""
        state = self._state
        is_cut = self._access.is_cut(now_s)
        own = precedence(self._own, state.has_thin_link, is_cut, state.weakness)
        return FleetMember(self._own, own, state.follows_store)

    def _send(
        self, near: list[InstanceId], told: list[InstanceId], now_s: float
    ) -> None:
        """Send the own report to `near`, and the group's to `told`."""
        load = self._state.load
        news = self._state.chooser.holders.take_news()
        outcomes = self._state.outcomes.take()
        rollouts = self._rollouts.own_news(now_s)
        held = load.own_report(now_s)
        table = self._state.crashes.table
        ends = table.to_tell(is_for_group=False, now_s=now_s)
        report = self._report(held, news, outcomes, rollouts, ends, now_s)
        self._send_to(near, report)
        group_news, self._group_news = self._group_news + news, []
        self._group_outcomes.note_all(outcomes)
        group_outcomes = self._group_outcomes.take()
        rollouts = self._rollouts.group_news(now_s)
        if told:
            held = load.group_report()
            ends = table.to_tell(is_for_group=True, now_s=now_s)
            summary = self._report(
                held, group_news, group_outcomes, rollouts, ends, now_s
            )
            others = self._roster.near(now_s)
            summary = msgspec.structs.replace(summary, speaks_for=1 + len(others))
            if now_s >= self._others_due_s:
                self._others_due_s = now_s + OTHERS_INTERVAL_S
                to_tell = self._roster.near_to_tell(now_s)
                summary = msgspec.structs.replace(summary, others=to_tell)
            self._send_to(told, summary)

    def _report(
        self,
        held: dict[TargetKey, int],
        news: list[Holding],
        outcomes: dict[TargetKey, Outcomes],
        rollouts: list[RolloutNews],
        ends: list[End],
        now_s: float,
    ) -> PeerReport:
        """Return a report of what is held and seen, with what this router knows."""
        state = self._state
        own = own_knowledge(state)
        return PeerReport(
            self._own_member(now_s),
            self._roster.group,
            own.config_version,
            own.list_position,
            own.list_digest,
            state.freshness.age_ms(now_s),
            held,
            news,
            outcomes,
            evacuations=state.evacuations,
            orders=state.rollouts.orders,
            rollouts=rollouts,
            ends=ends,
        )

    def _send_to(self, routers: list[InstanceId], report: PeerReport) -> None:
        """Send `report` to each of `routers`."""
        data = msgspec.msgpack.encode(report)
        for router in routers:
            address = address_of(router)
            try:
                self._socket.sendto(data, (address.host, address.port))
            except OSError:
                # The next round tells it again, if it is there by then.
                continue
