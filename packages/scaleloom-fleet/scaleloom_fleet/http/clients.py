"""Connections to other HTTP servers, and what their errors prove."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum

import httpcore
import trio
from returns.result import Failure, Result, Success

IDLE_CONNECTION_S = 50.0
NEVER_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
)
HeaderItems = list[tuple[bytes, bytes]]


class SendState(Enum):
    """Whether a failed request may have reached the server."""

    NEVER_SENT = "never_sent"
    MAYBE_SENT = "maybe_sent"


@dataclass(frozen=True)
class RequestFailure:
    """A request that got no whole answer."""

    send_state: SendState
    detail: str


@dataclass(frozen=True)
class ClientAnswer:
    """A whole answer from a server."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """
    A pool of connections to one kind of server.

    Parameters
    ----------
    connect_timeout_s : float
        How long a connection attempt may take.
    read_timeout_s : float
        How long an answer may pause.
    keeps_connections : bool
        False opens a connection for every request, so that an idle connection
        that the server just closed never makes an outcome unknown.
    """

    def __init__(
        self,
        connect_timeout_s: float = 1.0,
        read_timeout_s: float = 60.0,
        keeps_connections: bool = True,
    ) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=None if keeps_connections else 0,
            keepalive_expiry=IDLE_CONNECTION_S,
        )
        self._timeouts = {
            "connect": connect_timeout_s,
            "read": read_timeout_s,
            "write": read_timeout_s,
            "pool": connect_timeout_s,
        }

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> AsyncIterator[httpcore.Response]:
        """
        Open a request whose answer is read as it arrives.

        Raises
        ------
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException
            `send_state_of` tells what each proves.
        """
        async with self._pool.stream(
            method,
            url,
            headers=encode_headers(headers or {}),
            content=body,
            extensions={"timeout": self._timeouts},
        ) as response:
            yield response

    async def request(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> Result[ClientAnswer, RequestFailure]:
        """Return the whole answer to a request, or what its failure proves."""
        deadline_s = float("inf") if timeout_s is None else timeout_s
        try:
            with trio.fail_after(deadline_s):
                return Success(await self._whole(method, url, headers, body))
        except (*NEVER_SENT, *BROKEN) as error:
            return Failure(RequestFailure(send_state_of(error), describe(error)))

    async def _whole(
        self, method: str, url: str, headers: dict[str, str] | None, body: bytes
    ) -> ClientAnswer:
        """Return the whole answer, or raise."""
        async with self.stream(method, url, headers, body) as response:
            content = await response.aread()
        return ClientAnswer(response.status, decode_headers(response), content)


def encode_headers(headers: dict[str, str]) -> HeaderItems:
    """Return `headers` as the client library takes them."""
    return [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()]


def decode_headers(response: httpcore.Response) -> dict[str, str]:
    """Return the headers of `response` under lower-case names."""
    return {
        k.decode("latin-1").lower(): v.decode("latin-1") for k, v in response.headers
    }


def send_state_of(error: Exception) -> SendState:
    """Return what `error` proves about the request having been sent."""
    is_unsent = isinstance(error, NEVER_SENT)
    return SendState.NEVER_SENT if is_unsent else SendState.MAYBE_SENT


def describe(error: Exception) -> str:
    """Return `error` as a short text."""
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
