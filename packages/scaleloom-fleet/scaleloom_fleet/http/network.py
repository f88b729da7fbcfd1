"""Connections of the HTTP client, which keep how they were lost."""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

from scaleloom_fleet.http1.connections import Loss, SocketCall


class LossKeepingStream(httpcore.AsyncNetworkStream):
    """
    A connection whose end is no normal one if any call has met its loss.

    The system reports a reset once, and the client goes on to read after a write that
    failed. It would find what a normal close leaves.

    Parameters
    ----------
    stream : httpcore.AsyncNetworkStream
        The connection itself.
    loss : Loss or None
        How the connection was lost, once a call has met that.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self.loss: Loss | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """
        Return the next bytes, or empty bytes at a normal end.

        Parameters
        ----------
        timeout : float or None
            How long to wait, in seconds.

        Raises
        ------
        httpcore.ReadError
            If the connection was lost, behind what had arrived before.
        httpcore.ReadTimeout
            If nothing came in time.
        """
        try:
            data = await self._stream.read(max_bytes, timeout)
        except httpcore.ReadError as error:
            self._record_loss(error, SocketCall.RECEIVE)
            raise
        if not data and self.loss is not None and not self.loss.is_behind_end:
            raise httpcore.ReadError(f"connection lost: {self.loss.name}")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """
        Send all of `buffer`.

        Parameters
        ----------
        timeout : float or None
            How long to wait, in seconds.

        Raises
        ------
        httpcore.WriteError
            If the connection was lost.
        httpcore.WriteTimeout
            If the peer did not take it in time.
        """
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._record_loss(error, SocketCall.SEND)
            raise

    def _record_loss(self, error: httpcore.NetworkError, call: SocketCall) -> None:
        """Keep the first report of a loss."""
        if self.loss is None:
            self.loss = Loss.reported_by(error, call)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection under TLS."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return LossKeepingStream(stream)

    def get_extra_info(self, info: str) -> Any:
        """Return what is known of the connection under the name `info`."""
        return self._stream.get_extra_info(info)


class LossKeepingBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that keep how they were lost."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> LossKeepingStream:
        """
        Open a connection.

        Parameters
        ----------
        timeout : float or None
            How long to wait, in seconds.

        Raises
        ------
        httpcore.ConnectError, httpcore.ConnectTimeout
            If it can't be opened, or not in time.
        """
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return LossKeepingStream(stream)

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> LossKeepingStream:
        """Open a connection to a socket in the file system."""
        stream = await self._backend.connect_unix_socket(path, timeout, socket_options)
        return LossKeepingStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait for `seconds`."""
        await self._backend.sleep(seconds)
