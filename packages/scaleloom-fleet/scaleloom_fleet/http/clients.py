"""An HTTP client whose errors show whether a request may have been sent."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum

import httpcore
import trio
from returns.result import Failure, Result, Success

from scaleloom_fleet.http.answer_ends import Proof, is_labelled_json, read_complete
from scaleloom_fleet.http.network import LossKeepingBackend
from scaleloom_fleet.http.received_heads import check_head

IDLE_CONNECTION_TIMEOUT_S = 50.0
NEVER_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
)
HeaderItems = list[tuple[bytes, bytes]]


class SendState(Enum):
    """Whether a failed request may have been sent to the server."""

    NEVER_SENT = "never_sent"
    MAYBE_SENT = "maybe_sent"


@dataclass(frozen=True)
class RequestFailure:
    """The failure of a request that got no complete answer."""

    send_state: SendState
    detail: str


@dataclass(frozen=True)
class ClientAnswer:
    """A complete answer of a server."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """
    A pool of connections to one kind of server.

    Parameters
    ----------
    connect_timeout_s : float
        Maximum time to open a connection or to wait for a pooled one, in seconds.
    read_timeout_s : float
        Maximum pause while a request is sent or an answer is read, in seconds.
    reuses_connections : bool
        If False, every request opens a new connection. The outcome of a request on an
        idle connection that the server has just closed would be unknown.
    """

    def __init__(
        self,
        connect_timeout_s: float = 1.0,
        read_timeout_s: float = 60.0,
        reuses_connections: bool = True,
    ) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=None if reuses_connections else 0,
            keepalive_expiry=IDLE_CONNECTION_TIMEOUT_S,
            network_backend=LossKeepingBackend(),
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
        Send a request and return its answer, whose body is read as it arrives.

        Raises
        ------
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException
            `get_send_state` returns for each whether the request may have been sent.
        """
        async with self._pool.stream(
            method,
            url,
            headers=encode_headers(headers or {}),
            content=body,
            extensions={"timeout": self._timeouts},
        ) as response:
            check_head(response)
            yield response

    async def request(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float | None = None,
        proves_complete: Proof = is_labelled_json,
    ) -> Result[ClientAnswer, RequestFailure]:
        """
        Send a request; return its complete answer or its failure.

        Parameters
        ----------
        proves_complete : callable
            Returns whether the content proves that an answer is complete if it has
            neither a length nor chunks.
        """
        deadline_s = float("inf") if timeout_s is None else timeout_s
        try:
            with trio.fail_after(deadline_s):
                return Success(
                    await self._read_answer(method, url, headers, body, proves_complete)
                )
        except (*NEVER_SENT_ERRORS, *TRANSPORT_ERRORS) as error:
            return Failure(RequestFailure(get_send_state(error), describe_error(error)))

    async def _read_answer(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None,
        body: bytes,
        proves_complete: Proof,
    ) -> ClientAnswer:
        """Send a request and return its complete answer."""
        async with self.stream(method, url, headers, body) as response:
            content = await read_complete(response, method, proves_complete)
        return ClientAnswer(response.status, decode_headers(response), content)


def encode_headers(headers: dict[str, str]) -> HeaderItems:
    """Return `headers` in the form that httpcore expects."""
    return [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()]


def decode_headers(response: httpcore.Response) -> dict[str, str]:
    """Return the headers of `response` by lower-case name."""
    return {
        k.decode("latin-1").lower(): v.decode("latin-1") for k, v in response.headers
    }


def get_send_state(error: Exception) -> SendState:
    """Return whether a request that failed with `error` may have been sent."""
    is_unsent = isinstance(error, NEVER_SENT_ERRORS)
    return SendState.NEVER_SENT if is_unsent else SendState.MAYBE_SENT


def describe_error(error: Exception) -> str:
    """Return a short description of `error`."""
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
