"""UDP datagrams: small questions and answers that may be lost."""

import secrets
import socket
from collections.abc import Callable
from dataclasses import dataclass

import trio
from google.protobuf.message import DecodeError

from scaleloom_fleet.utils.addresses import Address
from scaleloom_wire.control_pb2 import Datagram

RECEIVE_LIMIT_BYTES = 65535
NONCE_BITS = 63
READ_BATCH = 64
ANSWERS = ("sample_reply", "sync_reply", "chat_reply")

AnswerDatagram = Callable[[Datagram], Datagram | None]


@dataclass
class ControlTraffic:
    """Bytes of datagrams that control has cost this process."""

    sent_bytes: int = 0
    received_bytes: int = 0


class DatagramEndpoint:
    """
    A UDP socket that asks and answers.

    Addresses are IP numbers, so the socket is used without the runtime's name
    resolution, which costs more than a datagram itself. A datagram that the
    kernel does not take at once is lost, like any other.

    Parameters
    ----------
    sender : str
        This process's name in the list.
    """

    def __init__(self, sender: str) -> None:
        self._sender = sender
        self._socket: socket.socket | None = None
        self._next_nonce = secrets.randbits(NONCE_BITS - 1)
        self._waiting: dict[int, trio.MemorySendChannel[Datagram]] = {}
        self.traffic = ControlTraffic()

    def bind(self, host: str, port: int) -> None:
        """Open the socket."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    async def run(self, answer: AnswerDatagram) -> None:
        """Receive until cancelled, answering what is asked."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            for _ in range(READ_BATCH):
                received = self._receive()
                if received is None:
                    break
                self._take(*received, answer)

    async def ask(
        self, address: Address, question: Datagram, timeout_s: float
    ) -> Datagram | None:
        """Return the answer to `question`, or None if none came in time."""
        into, out_of = trio.open_memory_channel(1)
        nonce = self.tell(address, question)
        self._waiting[nonce] = into
        try:
            with trio.move_on_after(timeout_s):
                return await out_of.receive()
            return None
        finally:
            del self._waiting[nonce]

    def tell(self, address: Address, datagram: Datagram) -> int:
        """Send `datagram` and return the nonce that an answer will carry."""
        datagram.nonce = self._take_nonce()
        self._send(address, datagram)
        return datagram.nonce

    def _send(self, address: Address, datagram: Datagram) -> None:
        """Send one datagram, if the kernel takes it now."""
        datagram.sender = self._sender
        data = datagram.SerializeToString()
        self.traffic.sent_bytes += len(data)
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            return

    def _receive(self) -> tuple[bytes, Address] | None:
        """Return the next datagram and its source, if one is there."""
        try:
            data, source = self._socket.recvfrom(RECEIVE_LIMIT_BYTES)
        except BlockingIOError:
            return None
        except ConnectionError:
            return b"", Address("", 0)
        self.traffic.received_bytes += len(data)
        return data, Address(source[0], source[1])

    def _take(self, data: bytes, source: Address, answer: AnswerDatagram) -> None:
        """Deliver an answer or give one."""
        try:
            datagram = Datagram.FromString(data)
        except DecodeError:
            return
        waiting = self._waiting.get(datagram.nonce)
        if waiting is not None and _is_answer(datagram):
            _deliver(waiting, datagram)
            return
        reply = answer(datagram)
        if reply is not None:
            reply.nonce = datagram.nonce
            self._send(source, reply)

    def _take_nonce(self) -> int:
        """Return a number that no other open question has."""
        self._next_nonce = (self._next_nonce + 1) % (1 << NONCE_BITS)
        return self._next_nonce


def _is_answer(datagram: Datagram) -> bool:
    """Return whether `datagram` answers a question."""
    return datagram.WhichOneof("body") in ANSWERS


def _deliver(waiting: trio.MemorySendChannel[Datagram], datagram: Datagram) -> None:
    """Hand an answer to whoever asked; a duplicate is dropped."""
    try:
        waiting.send_nowait(datagram)
    except trio.WouldBlock:
        return
