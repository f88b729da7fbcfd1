"""What routers tell each other: their load, and how much of the store they know."""

import random
import socket

import msgspec
import trio

from scaleloom_core.catching_up import CatchUp, Knowledge
from scaleloom_core.ids import InstanceId
from scaleloom_fleet.gateway.interfaces import Topic
from scaleloom_fleet.gateway.peer_documents import (
    DocumentServer,
    fetch_documents,
    own_knowledge,
)
from scaleloom_fleet.gateway.peer_messages import PeerReport
from scaleloom_fleet.gateway.peer_table import SILENT_INTERVAL_S, PeerTable
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_watch import StoreWatch
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.utils.addresses import Address, parse_address

REPORT_INTERVAL_S = 0.1
PEERS_PER_INTERVAL = 8
ROUTERS_INTERVAL_S = 60.0
RECEIVE_LIMIT_BYTES = 65535
READ_BATCH = 64
FETCH_PAUSE_S = 0.15


class PeerExchange:
    """
    The datagrams and documents that go between routers.

    Parameters
    ----------
    watch : StoreWatch
        Tells whether the store can be reached from here.
    """

    def __init__(self, state: GatewayState, watch: StoreWatch) -> None:
        self._state = state
        self._watch = watch
        self._own = state.settings.peer_address
        self.table = PeerTable(self._own)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._decoder = msgspec.msgpack.Decoder(PeerReport)
        self._catch_up = CatchUp()
        self._documents = DocumentServer(state)
        self._someone_is_ahead = trio.Event()

    def bind(self) -> socket.socket:
        """Open the datagram socket and return the listener for documents."""
        self._socket.bind((self._own.host, self._own.port))
        for seed in self._state.settings.seed_hosts:
            self.table.add(Address(seed, self._own.port))
        return sockets.listen(self._own)

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
            address = parse_address(report.sender)
        except (msgspec.DecodeError, ValueError):
            return True
        self._apply(report, address)
        return True

    def _apply(self, report: PeerReport, address: Address) -> None:
        """Take in what a peer reports."""
        now_s = trio.current_time()
        self.table.note_heard(address, now_s, report.follows_store)
        self._state.load.note_report(InstanceId(report.sender), report.held, now_s)
        holders = self._state.chooser.holders
        for part, target in report.holdings:
            holders.note(part, target, now_s)
        self._note_freshness(report, now_s)
        self._note_knowledge(report, now_s)

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
            self._catch_up.note(InstanceId(report.sender), told, now_s)
            self._someone_is_ahead.set()

    async def report_forever(self) -> None:
        """Tell peers what this router holds, the silent ones less often."""
        next_silent_s = 0.0
        while True:
            now_s = trio.current_time()
            peers = self.table.lively(now_s)
            pause_s = REPORT_INTERVAL_S * max(1.0, len(peers) / PEERS_PER_INTERVAL)
            if now_s >= next_silent_s:
                peers = peers + self.table.silent(now_s)
                next_silent_s = now_s + SILENT_INTERVAL_S
            self._report(peers)
            self._state.load.forget_silent(now_s)
            self._state.router_count = 1 + len(self.table.heard_s)
            self._state.rank = self.table.rank(now_s)
            self._state.followed_peers = self.table.followed_peers(now_s)
            await trio.sleep(pause_s)

    def _report(self, peers: list[Address]) -> None:
        """Send one report to each of `peers`."""
        state = self._state
        own = own_knowledge(state)
        report = PeerReport(
            str(self._own),
            own.config_version,
            own.list_position,
            own.list_digest,
            state.freshness.age_ms(trio.current_time()),
            state.load.own_report(),
            state.chooser.holders.take_news(),
            state.follows_store,
        )
        data = msgspec.msgpack.encode(report)
        for peer in peers:
            try:
                self._socket.sendto(data, (peer.host, peer.port))
            except OSError:
                continue

    async def fetch_forever(self) -> None:
        """Ask a peer that is ahead for what the store did not tell in time."""
        while True:
            peer = self._peer_to_ask(trio.current_time())
            if peer is not None:
                self._catch_up.forget(InstanceId(str(peer)))
                await fetch_documents(self._state, peer)
                await trio.sleep(FETCH_PAUSE_S)
                continue
            self._someone_is_ahead = trio.Event()
            with trio.move_on_after(FETCH_PAUSE_S):
                await self._someone_is_ahead.wait()

    def _peer_to_ask(self, now_s: float) -> Address | None:
        """Return a peer that is ahead, or any while nothing at all is known."""
        is_away = not self._watch.is_reachable or self._state.follows_peers
        own = own_knowledge(self._state)
        ahead = self._catch_up.peers_to_ask(own, is_away, now_s)
        if ahead:
            # Whoever is first ahead must not be asked by everybody.
            return parse_address(random.choice(ahead))
        if self._state.knows_enough or not is_away:
            return None
        peers = self.table.lively(now_s) or list(self.table.heard_s)
        return random.choice(peers) if peers else None

    async def introduce(self) -> None:
        """Learn from the store where the others are, and tell it the own place."""
        value = self._state.settings.instance.data_centre.encode()
        while True:
            pause_s = SILENT_INTERVAL_S
            routers = await self._watch.read_records(Topic.ROUTERS)
            if routers is not None:
                for record in routers:
                    self.table.add(parse_address(record.key))
                if any(record.key == str(self._own) for record in routers):
                    pause_s = ROUTERS_INTERVAL_S
                elif await self._watch.append(Topic.ROUTERS, str(self._own), value):
                    # Whoever started in the same moment is there by now.
                    pause_s = 0.0
            await trio.sleep(pause_s)
