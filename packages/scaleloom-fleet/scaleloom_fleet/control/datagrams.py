"""UDP datagrams for small control requests and replies, which may be lost."""

import secrets
import socket
from collections.abc import Callable
from dataclasses import dataclass

import trio
from google.protobuf.message import DecodeError

from scaleloom_fleet.utils.addresses import Address
from scaleloom_wire.control_pb2 import Datagram

MAX_DATAGRAM_BYTES = 65535
NONCE_BITS = 63
MAX_READS_PER_WAKEUP = 64
REPLY_KINDS = ("sample_reply", "sync_reply", "chat_reply")

DatagramHandler = Callable[[Datagram], Datagram | None]


@dataclass
class ControlTraffic:
    """Datagram bytes that this process has sent and received."""

    sent_bytes: int = 0
    received_bytes: int = 0


class DatagramEndpoint:
    """
    A UDP socket that sends requests and replies to those of other processes.

    Addresses are numeric IP addresses, so the plain socket is used rather than
    trio's, whose name resolution costs more than the datagram itself. A datagram
    that the kernel does not accept immediately is dropped.

    Parameters
    ----------
    sender : str
        Name of this process in the instance list.
    """

    def __init__(self, sender: str) -> None:
        self._sender = sender
        self._socket: socket.socket | None = None
        self._next_nonce = secrets.randbits(NONCE_BITS - 1)
        self._pending_requests: dict[int, trio.MemorySendChannel[Datagram]] = {}
        self.traffic = ControlTraffic()

    def bind(self, host: str, port: int) -> None:
        """Open the socket and bind it to `host` and `port`."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    async def run(self, handler: DatagramHandler) -> None:
        """
        Receive datagrams until cancelled.

        Parameters
        ----------
        handler : callable
            Handles a datagram that is not the reply to a pending request and
            returns the datagram to send back, or None.
        """
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            for _ in range(MAX_READS_PER_WAKEUP):
                received = self._receive_datagram()
                if received is None:
                    break
                self._dispatch(*received, handler)

    async def request(
        self, address: Address, datagram: Datagram, timeout_s: float
    ) -> Datagram | None:
        """Send `datagram` and return the reply, or None after `timeout_s` seconds."""
        reply_sender, reply_receiver = trio.open_memory_channel(1)
        nonce = self.send(address, datagram)
        self._pending_requests[nonce] = reply_sender
        try:
            with trio.move_on_after(timeout_s):
                return await reply_receiver.receive()
            return None
        finally:
            del self._pending_requests[nonce]

    def send(self, address: Address, datagram: Datagram) -> int:
        """Send `datagram` and return the nonce that a reply will carry."""
        datagram.nonce = self._make_nonce()
        self._send_datagram(address, datagram)
        return datagram.nonce

    def _send_datagram(self, address: Address, datagram: Datagram) -> None:
        """Send one datagram; it is dropped if the kernel does not accept it."""
        datagram.sender = self._sender
        data = datagram.SerializeToString()
        self.traffic.sent_bytes += len(data)
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            return

    def _receive_datagram(self) -> tuple[bytes, Address] | None:
        """Return the next datagram and its source, or None if none is waiting."""
        try:
            data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return None
        except ConnectionError:
            return b"", Address("", 0)
        self.traffic.received_bytes += len(data)
        return data, Address(source[0], source[1])

    def _dispatch(self, data: bytes, source: Address, handler: DatagramHandler) -> None:
        """Deliver a reply to its request, or pass a datagram to `handler`."""
        try:
            datagram = Datagram.FromString(data)
        except DecodeError:
            return
        pending = self._pending_requests.get(datagram.nonce)
        if pending is not None and _is_reply(datagram):
            _deliver_reply(pending, datagram)
            return
        reply = handler(datagram)
        if reply is not None:
            reply.nonce = datagram.nonce
            self._send_datagram(source, reply)

    def _make_nonce(self) -> int:
        """Return a nonce that no other pending request has."""
        self._next_nonce = (self._next_nonce + 1) % (1 << NONCE_BITS)
        return self._next_nonce


def _is_reply(datagram: Datagram) -> bool:
    """Return whether `datagram` is the reply to a request."""
    return datagram.WhichOneof("body") in REPLY_KINDS


def _deliver_reply(
    pending: trio.MemorySendChannel[Datagram], datagram: Datagram
) -> None:
    """Deliver a reply to the waiting request; a duplicate reply is dropped."""
    try:
        pending.send_nowait(datagram)
    except trio.WouldBlock:
        return
