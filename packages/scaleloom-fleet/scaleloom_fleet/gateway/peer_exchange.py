"""Exchange of load reports and platform documents between routers."""

import logging
import random
import socket
from functools import partial

import msgspec
import trio

from scaleloom_core.catch_up import CatchUp, DocumentVersions
from scaleloom_core.crash_reports import ReportSource
from scaleloom_core.fleet_roster import FleetMember, FleetRoster
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_fleet.gateway.documents import apply_evacuations, apply_rollouts
from scaleloom_fleet.gateway.interfaces import UNREADABLE, Topic
from scaleloom_fleet.gateway.origin_exchange import OriginExchange
from scaleloom_fleet.gateway.origin_messages import is_origin_message
from scaleloom_fleet.gateway.peer_documents import (
    DocumentServer,
    fetch_documents,
    own_document_versions,
)
from scaleloom_fleet.gateway.peer_messages import PeerReport
from scaleloom_fleet.gateway.peer_reports import (
    SILENT_RETRY_INTERVAL_S,
    ReportSender,
    router_address,
)
from scaleloom_fleet.gateway.rollout_reports import RolloutReporter
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.gateway.task_guard import record_failure
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.binding import open_when_free
from scaleloom_fleet.utils.addresses import Address

REGISTRATION_INTERVAL_S = 60.0
MAX_DATAGRAM_BYTES = 65535
READ_BATCH = 64
FETCH_PAUSE_S = 0.15
_logger = logging.getLogger("scaleloom.peers")


class PeerExchange:
    """
    Exchanges datagrams and documents with the other routers.

    Parameters
    ----------
    access : StoreAccess
        Calls the store, and provides whether it is reachable.
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
        self._rollouts = RolloutReporter(state, self._roster)
        self._reports = ReportSender(
            self._own_id, state, access, self._roster, self._rollouts, self._socket
        )
        self._origins = state.origin_exchange = OriginExchange(
            self._own_id,
            state.stream_origins,
            self._roster,
            state.freshness,
            self._send_datagram,
        )
        self._catch_up = CatchUp()
        self._documents = DocumentServer(state)
        self._peer_is_ahead = trio.Event()
        # A datagram may have waited in the socket since it was last found empty.
        self._emptied_s = trio.current_time()

    async def bind(self) -> socket.socket:
        """
        Bind the datagram socket and return the listener for documents.

        Waits for either port, as long as it is in use.
        """
        address = (self._own.host, self._own.port)
        bind_datagrams = partial(self._socket.bind, address)
        await open_when_free(bind_datagrams, self._own, "peers' datagrams")
        listen = partial(sockets.listen, self._own)
        documents = await open_when_free(listen, self._own, "peers' documents")
        for seed in self._state.settings.seed_hosts:
            self._add_router(str(Address(seed, self._own.port)))
        return documents

    def _add_router(self, router: str) -> None:
        """Add a router that may be running, unless its id is not an address."""
        known = InstanceId(router)
        try:
            router_address(known)
        except ValueError as error:
            _logger.warning(
                "ignoring router with invalid address", extra={"why": str(error)}
            )
            return
        if self._roster.add(known, trio.current_time()):
            self._reports.announce_to(known)

    async def serve_documents(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        """Send documents to the peers that query `listener`."""
        await self._documents.serve_forever(listener, nursery)

    async def report_forever(self) -> None:
        """Send reports to peers."""
        await self._reports.send_forever()

    async def announce_origins_forever(self) -> None:
        """Announce to peers the streams that this router has begun."""
        await self._origins.announce_forever()

    def _send_datagram(self, router: InstanceId, data: bytes) -> None:
        """Send `data` to `router`, if its address can be reached."""
        address = router_address(router)
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            # The receiver may not listen yet.
            return

    async def receive_forever(self) -> None:
        """Receive messages of peers and apply them."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            for _ in range(READ_BATCH):
                if not self._receive_one():
                    break

    def close(self) -> None:
        """Close the datagram socket."""
        self._socket.close()

    def _receive_one(self) -> bool:
        """Receive and apply one message; return False if none is pending."""
        try:
            data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            self._emptied_s = trio.current_time()
            return False
        except OSError:
            return True
        try:
            self._apply_message(data, InstanceId(str(Address(*sender))))
        except (*UNREADABLE, ValueError):
            return True
        except Exception as error:
            # One message that can't be applied must not keep the others from it.
            record_failure(self._state, "datagram", error)
        return True

    def _apply_message(self, data: bytes, sender: InstanceId) -> None:
        """
        Apply one message.

        Raises
        ------
        ValueError, msgspec.DecodeError
            If it cannot be read.
        """
        if is_origin_message(data):
            self._origins.receive(data, sender)
            return
        report = self._decoder.decode(data)
        for member in (report.sender, *report.others):
            self._record_member(member, report)
        self._apply(report)

    def _record_member(self, member: FleetMember, report: PeerReport) -> None:
        """
        Record that a router is alive.

        Raises
        ------
        ValueError
            If its id is not an address.
        """
        router_address(member.router)
        if self._roster.record_heard(member, report.group, trio.current_time()):
            self._state.request_report()

    def _apply(self, report: PeerReport) -> None:
        """Apply a peer's report."""
        now_s = trio.current_time()
        self._record_load(report, now_s)
        holders = self._state.chooser.holders
        for part, target in report.holdings:
            holders.add(part, target, now_s)
        is_same_group = report.group == self._roster.group
        self._state.view.record_outcomes(report.outcomes, is_same_group, now_s)
        is_first_hand = is_same_group and not report.group_size
        source = ReportSource.SAME_GROUP if is_first_hand else ReportSource.OTHER_GROUP
        self._state.crashes.record_crashes(report.crashes, source)
        apply_evacuations(self._state, report.evacuations)
        apply_rollouts(self._state, report.orders)
        self._rollouts.merge(report)
        self._confirm_freshness(report)
        self._record_knowledge(report, now_s)

    def _record_load(self, report: PeerReport, now_s: float) -> None:
        """Record the load that a peer reports, unless it is already counted."""
        load = self._state.load
        is_same_group = report.group == self._roster.group
        if report.group_size and not is_same_group:
            group = InstanceId(repr(report.group))
            load.update_group(group, report.in_flight, report.group_size, now_s)
        if is_same_group and not report.group_size:
            load.update_peer(report.sender.router, report.in_flight, now_s)
            self._reports.relay(report)

    def _confirm_freshness(self, report: PeerReport) -> None:
        """
        Confirm this router's list if the peer's list has the same content.

        The peer told its list's age when it sent the report, which may have waited
        here, as when this process stood still.
        """
        view = self._state.view
        is_same = report.list_digest == view.digest
        if is_same and report.list_position >= view.list_position >= 0:
            confirmed_s = self._emptied_s - report.list_age_ms / 1000.0
            self._state.freshness.confirm(confirmed_s)
            self._state.stream_origins.versions.confirm(confirmed_s)

    def _record_knowledge(self, report: PeerReport, now_s: float) -> None:
        """Remember a peer that has newer documents than this router."""
        theirs = DocumentVersions(
            report.config_version, report.list_position, report.list_digest
        )
        own = own_document_versions(self._state)
        if theirs.has_newer_config(own) or theirs.has_newer_list(own):
            self._catch_up.record_peer(report.sender.router, theirs, now_s)
            self._peer_is_ahead.set()

    async def fetch_forever(self) -> None:
        """Fetch newer documents from peers when the store does not provide them."""
        while True:
            peer = self._peer_to_query(trio.current_time())
            if peer is not None:
                self._catch_up.remove_peer(peer)
                await fetch_documents(self._state, router_address(peer))
                await trio.sleep(FETCH_PAUSE_S)
                continue
            self._peer_is_ahead = trio.Event()
            with trio.move_on_after(FETCH_PAUSE_S):
                await self._peer_is_ahead.wait()

    def _peer_to_query(self, now_s: float) -> InstanceId | None:
        """Return a peer with newer documents, or any peer while there are none here."""
        is_following_store = self._access.is_reachable and self._state.follows_store
        own = own_document_versions(self._state)
        ahead = self._catch_up.peers_to_query(own, not is_following_store, now_s)
        if ahead:
            # A random choice avoids that all routers query the first one ahead.
            return random.choice(ahead)
        if self._state.has_config_and_targets or self._access.is_reachable:
            return None
        peers = self._roster.alive_routers(now_s) or self._roster.silent_routers(now_s)
        return random.choice(peers) if peers else None

    async def register_forever(self) -> None:
        """Read the other routers' addresses from the store, and register this one."""
        value = self._state.settings.instance.data_centre.encode()
        while True:
            pause_s = SILENT_RETRY_INTERVAL_S
            routers = await self._access.read_records(Topic.ROUTERS)
            if routers is not None:
                for record in routers:
                    self._add_router(record.key)
                if any(record.key == self._own_id for record in routers):
                    pause_s = REGISTRATION_INTERVAL_S
                elif await self._access.append(Topic.ROUTERS, self._own_id, value):
                    # Read again: routers that started together are listed by now.
                    pause_s = 0.0
            await trio.sleep(pause_s)
