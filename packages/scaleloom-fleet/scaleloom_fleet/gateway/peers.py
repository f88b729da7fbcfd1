"""What routers tell each other: their load, and how much of the store they know."""

import random
import socket

import msgspec
import trio

from scaleloom_core.catching_up import CatchUp, Knowledge
from scaleloom_core.fleet_load import TargetKey
from scaleloom_core.fleet_roster import (
    TRIED_AGAIN,
    FleetMember,
    FleetRoster,
    precedence,
)
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_core.prefix_holders import Holding
from scaleloom_core.target_outcomes import OutcomeCounts, Outcomes
from scaleloom_fleet.gateway.interfaces import Topic
from scaleloom_fleet.gateway.peer_documents import (
    DocumentServer,
    fetch_documents,
    own_knowledge,
)
from scaleloom_fleet.gateway.peer_messages import PeerReport
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.utils.addresses import Address, parse_address

REPORT_INTERVAL_S = 0.1
# Rounds with more datagrams come less often, so that none costs more a second.
DATAGRAMS_PER_INTERVAL = 8
# News from the store goes out at once, but a storm of them in rounds of this.
LEAST_PAUSE_S = 0.05
SILENT_INTERVAL_S = 1.0
# Three of these fit into the time after which a router counts as silent; naming
# all members each time would make a third of what data centres tell each other.
OTHERS_INTERVAL_S = 0.45
ROUTERS_INTERVAL_S = 60.0
RECEIVE_LIMIT_BYTES = 65535
READ_BATCH = 64
FETCH_PAUSE_S = 0.15
# What a group saw in one round; about 12 bytes each.
GROUP_NEWS_LIMIT = 512


class PeerExchange:
    """
    The datagrams and documents that go between routers.

    Parameters
    ----------
    access : StoreAccess
        Tells whether the store can be reached from here.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._own = state.settings.peer_address
        self._own_id = InstanceId(str(self._own))
        data_centre = DataCentreName(state.settings.instance.data_centre)
        self._roster = FleetRoster(self._own_id, data_centre, trio.current_time())
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._decoder = msgspec.msgpack.Decoder(PeerReport)
        self._addresses: dict[InstanceId, Address] = {}
        self._to_greet: list[InstanceId] = []
        self._group_news: list[Holding] = []
        self._group_outcomes = OutcomeCounts()
        self._others_due_s = 0.0
        self._catch_up = CatchUp()
        self._documents = DocumentServer(state)
        self._someone_is_ahead = trio.Event()

    def bind(self) -> socket.socket:
        """Open the datagram socket and return the listener for documents."""
        self._socket.bind((self._own.host, self._own.port))
        for seed in self._state.settings.seed_hosts:
            self._add(str(Address(seed, self._own.port)))
        return sockets.listen(self._own)

    def _add(self, router: str) -> None:
        """
        Take in a router that may be there.

        Raises
        ------
        ValueError
            If `router` is no address.
        """
        known = InstanceId(router)
        self._addresses[known] = parse_address(router)
        if self._roster.add(known, trio.current_time()):
            self._to_greet.append(known)
            self._state.report_soon()

    async def serve_documents(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        """Give peers what the store told this router."""
        await self._documents.serve_forever(listener, nursery)

    async def receive_forever(self) -> None:
        """Take in reports."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            for _ in range(READ_BATCH):
                if not self._receive_one():
                    break

    def _receive_one(self) -> bool:
        """Take in one report; return False if there is none."""
        try:
            data, _ = self._socket.recvfrom(RECEIVE_LIMIT_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            return True
        try:
            report = self._decoder.decode(data)
            for member in (report.sender, *report.others):
                self._note_member(member, report)
        except (msgspec.DecodeError, ValueError):
            return True
        self._apply(report)
        return True

    def _note_member(self, member: FleetMember, report: PeerReport) -> None:
        """
        Take in that a router lives.

        Raises
        ------
        ValueError
            If its address makes no sense.
        """
        if member.router not in self._addresses:
            self._addresses[member.router] = parse_address(member.router)
        if self._roster.note(member, report.group, trio.current_time()):
            self._state.report_soon()

    def _apply(self, report: PeerReport) -> None:
        """Take in what a peer reports."""
        now_s = trio.current_time()
        self._note_load(report, now_s)
        holders = self._state.chooser.holders
        for part, target in report.holdings:
            holders.note(part, target, now_s)
        is_near = report.group == self._roster.group
        self._state.view.note_outcomes(report.outcomes, is_near, now_s)
        self._note_freshness(report, now_s)
        self._note_knowledge(report, now_s)

    def _note_load(self, report: PeerReport, now_s: float) -> None:
        """Take in what a peer or its group holds, unless that is counted already."""
        load = self._state.load
        is_near = report.group == self._roster.group
        if report.speaks_for and not is_near:
            group = InstanceId(repr(report.group))
            load.note_group(group, report.held, report.speaks_for, now_s)
        if is_near and not report.speaks_for:
            load.note_report(report.sender.router, report.held, now_s)
            room = GROUP_NEWS_LIMIT - len(self._group_news)
            self._group_news += report.holdings[:room]
            self._group_outcomes.note_all(report.outcomes)

    def _note_freshness(self, report: PeerReport, now_s: float) -> None:
        """Take a peer's list that says the same as a confirmation of this one."""
        view = self._state.view
        is_same = report.list_digest == view.digest
        if is_same and report.list_position >= view.list_position >= 0:
            self._state.freshness.confirm(now_s - report.list_age_ms / 1000.0)

    def _note_knowledge(self, report: PeerReport, now_s: float) -> None:
        """Remember a peer that knows more than this router."""
        told = Knowledge(
            report.config_version, report.list_position, report.list_digest
        )
        own = own_knowledge(self._state)
        if told.has_newer_config(own) or told.has_newer_list(own):
            self._catch_up.note(report.sender.router, told, now_s)
            self._someone_is_ahead.set()

    async def report_forever(self) -> None:
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
        state.rank = roster.rank(self._own_member(now_s).precedence, now_s)
        state.followed_peers = roster.followers(now_s)

    def _own_member(self, now_s: float) -> FleetMember:
        """Return what the fleet is to know of this router."""
        state = self._state
        own = precedence(self._own_id, state.has_thin_link, self._access.is_cut(now_s))
        return FleetMember(self._own_id, own, state.follows_store)

    def _send(
        self, near: list[InstanceId], told: list[InstanceId], now_s: float
    ) -> None:
        """Send the own report to `near`, and the group's to `told`."""
        load = self._state.load
        news = self._state.chooser.holders.take_news()
        outcomes = self._state.outcomes.take()
        report = self._report(load.own_report(now_s), news, outcomes, now_s)
        self._send_to(near, report)
        group_news, self._group_news = self._group_news + news, []
        self._group_outcomes.note_all(outcomes)
        group_outcomes = self._group_outcomes.take()
        if told:
            held = load.group_report()
            summary = self._report(held, group_news, group_outcomes, now_s)
            others = self._roster.near(now_s)
            summary = msgspec.structs.replace(summary, speaks_for=1 + len(others))
            if now_s >= self._others_due_s:
                self._others_due_s = now_s + OTHERS_INTERVAL_S
                summary = msgspec.structs.replace(summary, others=others)
            self._send_to(told, summary)

    def _report(
        self,
        held: dict[TargetKey, int],
        news: list[Holding],
        outcomes: dict[TargetKey, Outcomes],
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
        )

    def _send_to(self, routers: list[InstanceId], report: PeerReport) -> None:
        """Send `report` to each of `routers`."""
        data = msgspec.msgpack.encode(report)
        for router in routers:
            address = self._addresses[router]
            try:
                self._socket.sendto(data, (address.host, address.port))
            except OSError:
                # The next round tells it again, if it is there by then.
                continue

    async def fetch_forever(self) -> None:
        """Ask a peer that is ahead for what the store did not tell in time."""
        while True:
            peer = self._peer_to_ask(trio.current_time())
            if peer is not None:
                self._catch_up.forget(peer)
                await fetch_documents(self._state, self._addresses[peer])
                await trio.sleep(FETCH_PAUSE_S)
                continue
            self._someone_is_ahead = trio.Event()
            with trio.move_on_after(FETCH_PAUSE_S):
                await self._someone_is_ahead.wait()

    def _peer_to_ask(self, now_s: float) -> InstanceId | None:
        """Return a peer that is ahead, or any while nothing at all is known."""
        is_told = self._access.is_reachable and self._state.follows_store
        own = own_knowledge(self._state)
        ahead = self._catch_up.peers_to_ask(own, not is_told, now_s)
        if ahead:
            # Whoever is first ahead must not be asked by everybody.
            return random.choice(ahead)
        if self._state.knows_enough or self._access.is_reachable:
            return None
        peers = self._roster.lively(now_s) or self._roster.silent(now_s)
        return random.choice(peers) if peers else None

    async def introduce(self) -> None:
        """Learn from the store where the others are, and tell it the own place."""
        value = self._state.settings.instance.data_centre.encode()
        while True:
            pause_s = SILENT_INTERVAL_S
            routers = await self._access.read_records(Topic.ROUTERS)
            if routers is not None:
                for record in routers:
                    self._add(record.key)
                if any(record.key == self._own_id for record in routers):
                    pause_s = ROUTERS_INTERVAL_S
                elif await self._access.append(Topic.ROUTERS, self._own_id, value):
                    # Whoever started in the same moment is there by now.
                    pause_s = 0.0
            await trio.sleep(pause_s)
