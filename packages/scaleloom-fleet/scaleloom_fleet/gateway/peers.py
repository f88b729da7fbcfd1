"""What routers tell each other: their load, and what the store told them."""

import logging
import socket

import msgspec
import trio

from scaleloom_core.ids import InstanceId
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_watch import (
    StoreWatch,
    apply_config_document,
    apply_target_documents,
)
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.sockets import ConnectionLost
from scaleloom_fleet.utils.addresses import Address, parse_address

REPORT_INTERVAL_S = 0.1
PEERS_PER_INTERVAL = 8
SILENT_INTERVAL_S = 1.0
ROUTERS_INTERVAL_S = 60.0
RECEIVE_LIMIT_BYTES = 65535
READ_BATCH = 64
FETCH_TIMEOUT_S = 0.6
FETCH_PAUSE_S = 0.15
SILENCE_MS = 600
_logger = logging.getLogger("scaleloom.peers")


class PeerReport(msgspec.Struct, array_like=True, frozen=True):
    """
    One router's report, sent in a datagram.

    Parameters
    ----------
    sender : str
        Its control address, as ``host:port``.
    config_version : int
        The configuration in force there; -1 if none is.
    list_position : int
        How far it has read the list of targets.
    list_digest : int
        Stands for what the list says.
    list_age_ms : int
        How old its list may be, in milliseconds.
    held : dict of int to int
        Requests that it holds, by the target's number.
    holdings : list of tuple of int
        Prompt parts that it sent to targets lately, by their numbers.
    """

    sender: str
    config_version: int
    list_position: int
    list_digest: int
    list_age_ms: int
    held: dict[int, int]
    holdings: list[tuple[int, int]] = []


class PeerDocuments(msgspec.Struct, array_like=True, frozen=True):
    """What the store told one router, for another that cannot reach it."""

    config: bytes
    list_position: int
    list_age_ms: int
    targets: dict[str, bytes]


class PeerTable:
    """
    The other routers, and when each was last heard.

    Parameters
    ----------
    own : Address
        This router's control address, which is no peer.
    """

    def __init__(self, own: Address) -> None:
        self._own = own
        self.heard_s: dict[Address, float] = {}

    def add(self, address: Address) -> None:
        """Take in a router that may be there."""
        if address != self._own:
            self.heard_s.setdefault(address, float("-inf"))

    def note_heard(self, address: Address, now_s: float) -> None:
        """Note that a router was heard."""
        if address != self._own:
            self.heard_s[address] = now_s

    def lively(self, now_s: float) -> list[Address]:
        """Return the routers that were heard a moment ago."""
        horizon_s = now_s - 3 * SILENT_INTERVAL_S
        return [peer for peer, at_s in self.heard_s.items() if at_s > horizon_s]

    def rank(self, now_s: float) -> int:
        """Return this router's place among those that are heard."""
        own = str(self._own)
        return sum(str(peer) < own for peer in self.lively(now_s))

    def silent(self, now_s: float) -> list[Address]:
        """Return the other routers."""
        lively = set(self.lively(now_s))
        return [peer for peer in self.heard_s if peer not in lively]


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
        self._ahead: dict[Address, PeerReport] = {}
        self._someone_is_ahead = trio.Event()
        self._next_asked = 0

    def bind(self) -> socket.socket:
        """Open the datagram socket and return the listener for documents."""
        self._socket.bind((self._own.host, self._own.port))
        for seed in self._state.settings.seed_hosts:
            self.table.add(Address(seed, self._own.port))
        return sockets.listen(self._own)

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
        now_s = trio.current_time()
        self.table.note_heard(address, now_s)
        self._state.load.note_report(InstanceId(report.sender), report.held, now_s)
        holders = self._state.chooser.holders
        for part, target in report.holdings:
            holders.note(part, target, now_s)
        self._note_freshness(report, now_s)
        if self._is_ahead(report):
            self._ahead[address] = report
            self._someone_is_ahead.set()
        return True

    def _note_freshness(self, report: PeerReport, now_s: float) -> None:
        """Take a peer's list that says the same as a confirmation of this one."""
        view = self._state.view
        is_same = report.list_digest == view.digest
        if is_same and report.list_position >= view.list_position >= 0:
            self._state.freshness.confirm(now_s - report.list_age_ms / 1000.0)

    def _is_ahead(self, report: PeerReport) -> bool:
        """Return whether a peer knows what this router should ask it for."""
        routing = self._state.routing
        if report.config_version > (routing.version if routing else -1):
            return True
        view = self._state.view
        is_newer = report.list_position > view.list_position
        return is_newer and report.list_digest != view.digest

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
            await trio.sleep(pause_s)

    def _report(self, peers: list[Address]) -> None:
        """Send one report to each of `peers`."""
        state = self._state
        report = PeerReport(
            str(self._own),
            state.routing.version if state.routing else -1,
            state.view.list_position,
            state.view.digest,
            self._list_age_ms(),
            state.load.own_report(),
            state.chooser.holders.take_news(),
        )
        data = msgspec.msgpack.encode(report)
        for peer in peers:
            try:
                self._socket.sendto(data, (peer.host, peer.port))
            except OSError:
                continue

    def _list_age_ms(self) -> int:
        """Return how old this router's list may be, in milliseconds."""
        return self._state.freshness.age_ms(trio.current_time())

    async def fetch_forever(self) -> None:
        """Ask a peer that is ahead for what the store told it."""
        while True:
            peer = self._peer_to_ask(trio.current_time())
            if peer is not None:
                await self._fetch(peer)
                await trio.sleep(FETCH_PAUSE_S)
                continue
            self._someone_is_ahead = trio.Event()
            with trio.move_on_after(FETCH_PAUSE_S):
                await self._someone_is_ahead.wait()

    def _peer_to_ask(self, now_s: float) -> Address | None:
        """Return a peer that is ahead, or any while nothing at all is known."""
        for peer, report in list(self._ahead.items()):
            if self._is_ahead(report):
                return peer
            del self._ahead[peer]
        if self._state.knows_enough or self._watch.is_reachable:
            return None
        peers = self.table.lively(now_s) or list(self.table.heard_s)
        if not peers:
            return None
        self._next_asked += 1
        return peers[self._next_asked % len(peers)]

    async def _fetch(self, peer: Address) -> None:
        """Take in what `peer` knows."""
        self._ahead.pop(peer, None)
        data = b""
        with trio.move_on_after(FETCH_TIMEOUT_S):
            data = await _read_all(peer)
        try:
            documents = msgspec.msgpack.decode(data, type=PeerDocuments)
        except msgspec.DecodeError:
            return
        if documents.config:
            apply_config_document(self._state, documents.config)
        confirmed_s = trio.current_time() - documents.list_age_ms / 1000.0
        apply_target_documents(
            self._state, documents.targets, documents.list_position, confirmed_s
        )
        _logger.info("documents taken from a peer", extra={"peer": str(peer)})

    async def serve_documents(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        """Give peers what the store told this router."""
        while True:
            await trio.lowlevel.wait_readable(listener)
            connection = sockets.accept_ready(listener)
            if connection is not None:
                nursery.start_soon(self._give, connection)

    async def _give(self, connection: socket.socket) -> None:
        """Send what the store told this router over one connection."""
        state = self._state
        documents = PeerDocuments(
            state.config_document,
            state.view.list_position,
            self._list_age_ms(),
            state.listed_documents,
        )
        try:
            with trio.move_on_after(FETCH_TIMEOUT_S):
                await sockets.send_all(connection, msgspec.msgpack.encode(documents))
        except ConnectionLost:
            pass
        finally:
            sockets.close(connection)

    async def introduce(self) -> None:
        """Tell the store where this router is, and learn where the others are."""
        value = self._state.settings.instance.data_centre.encode()
        await self._watch.announce(str(self._own), value)
        while True:
            routers = await self._watch.read_routers()
            for key in routers or ():
                self.table.add(parse_address(key))
            await trio.sleep(ROUTERS_INTERVAL_S if routers else SILENT_INTERVAL_S)


async def _read_all(peer: Address) -> bytes:
    """Return everything that `peer` sends over one connection."""
    connection = await sockets.connect(peer, FETCH_TIMEOUT_S, SILENCE_MS)
    if connection is None:
        return b""
    parts: list[bytes] = []
    try:
        while data := await sockets.receive(connection):
            parts.append(data)
    except ConnectionLost:
        return b""
    finally:
        sockets.close(connection)
    return b"".join(parts)
