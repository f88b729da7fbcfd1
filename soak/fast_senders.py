"""Bytes that a thread sends as fast as their receiver takes them."""

import os
import select
import socket
import threading

import trio

POLL_S = 0.1


async def send_fast(receiver: trio.socket.SocketType, unit: bytes) -> None:
    """
    Send `unit` again and again until the connection ends or this is cancelled.

    A task of the soak sends less than a gateway can take, beside all the others.
    """
    is_over = threading.Event()
    # The thread has a descriptor of its own, which no other connection can get.
    own = socket.socket(fileno=os.dup(receiver.fileno()))
    try:
        await trio.to_thread.run_sync(
            _send_on, own, unit, is_over, abandon_on_cancel=True
        )
    finally:
        is_over.set()


def _send_on(own: socket.socket, unit: bytes, is_over: threading.Event) -> None:
    """Send `unit` again and again, whole ones only, until the connection ends."""
    rest = memoryview(unit)
    with own:
        while not is_over.is_set():
            try:
                _, writable, _ = select.select([], [own], [], POLL_S)
                if writable:
                    rest = rest[own.send(rest) :] or memoryview(unit)
            except BlockingIOError:
                continue
            except OSError:
                return
