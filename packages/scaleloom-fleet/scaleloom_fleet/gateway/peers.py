"""What routers tell each other: their load, and how much of the store they know."""

import logging
import random
import socket

import msgspec
import trio

from scaleloom_core.catching_up import CatchUp, Knowledge
from scaleloom_core.crash_table import Witness
from scaleloom_core.fleet_roster import FleetMember, FleetRoster
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_fleet.gateway.documents import apply_evacuations, apply_rollouts
from scaleloom_fleet.gateway.interfaces import Topic
from scaleloom_fleet.gateway.peer_documents import (
    DocumentServer,
    fetch_documents,
    own_knowledge,
)
from scaleloom_fleet.gateway.peer_messages import PeerReport
from scaleloom_fleet.gateway.peer_reports import (
    SILENT_INTERVAL_S,
    ReportSender,
    address_of,
)
from scaleloom_fleet.gateway.rollout_news import RolloutTeller
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.utils.addresses import Address

ROUTERS_INTERVAL_S = 60.0
RECEIVE_LIMIT_BYTES = 65535
READ_BATCH = 64
FETCH_PAUSE_S = 0.15
_logger = logging.getLogger("scaleloom.peers")


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
        self._rollouts = RolloutTeller(state, self._roster)
        self._reports = ReportSender(
            self._own_id, state, access, self._roster, self._rollouts, self._socket
        )
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
        """Take in a router that may be there, unless its name is no address."""
        known = InstanceId(router)
        try:
            address_of(known)
        except ValueError as error:
            _logger.warning("router passed over", extra={"why": str(error)})
            return
        if self._roster.add(known, trio.current_time()):
            self._reports.greet(known)

    async def serve_documents(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        """Give peers what the store told this router."""
        await self._documents.serve_forever(listener, nursery)

    async def report_forever(self) -> None:
        """Tell peers what this router holds and knows."""
        await self._reports.send_forever()

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
        address_of(member.router)
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
        is_witness = is_near and not report.speaks_for
        witness = Witness.NEAR if is_witness else Witness.FAR
        self._state.crashes.note_ends(report.ends, witness)
        apply_evacuations(self._state, report.evacuations)
        apply_rollouts(self._state, report.orders)
        self._rollouts.take_in(report)
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
            self._reports.relay(report)

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

    async def fetch_forever(self) -> None:
        """Ask a peer that is ahead for what the store did not tell in time."""
        while True:
            peer = self._peer_to_ask(trio.current_time())
            if peer is not None:
                self._catch_up.forget(peer)
                await fetch_documents(self._state, address_of(peer))
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
