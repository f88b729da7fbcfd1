"""Whether an answer is complete, which a closed connection alone does not prove."""

from collections.abc import Callable

import httpcore
import msgspec

NO_BODY_METHOD = "HEAD"
NO_BODY_STATUSES = frozenset({204, 304})
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Other types, such as application/x-ndjson, contain several values in a row.
SINGLE_VALUE_TYPES = frozenset({b"application/json", b"application/problem+json"})
# A truncated value that begins with one of these cannot be decoded, unlike a
# truncated number.
_CLOSED_VALUE_STARTS = (b"{", b"[", b'"')

Proof = Callable[[httpcore.Response, bytes], bool]


class AnswerEndUnknown(httpcore.RemoteProtocolError):
    """Raised if an answer ended with its connection and may be truncated."""


def is_end_known(response: httpcore.Response, method: str) -> bool:
    """Return whether a length or chunks mark the end of an answer to `method`."""
    if method == NO_BODY_METHOD or response.status in NO_BODY_STATUSES:
        return True
    return any(name.lower() in FRAMING_HEADERS for name, _ in response.headers)


def is_labelled_json(response: httpcore.Response, body: bytes) -> bool:
    """Return whether an answer declares JSON, and `body` is a complete JSON value."""
    for name, value in response.headers:
        if name.lower() == b"content-type":
            media_type = value.partition(b";")[0].strip().lower()
            return media_type in SINGLE_VALUE_TYPES and _is_closed_json(body)
    return False


def is_json(response: httpcore.Response, body: bytes) -> bool:
    """Return whether `body`, which must be JSON, is a complete value."""
    return _is_closed_json(body)


def is_status_sufficient(response: httpcore.Response, body: bytes) -> bool:
    """Return True, for calls whose outcome is the status alone."""
    return True


def _is_closed_json(body: bytes) -> bool:
    """Return whether `body` is a JSON value that truncation would make invalid."""
    if not body.lstrip().startswith(_CLOSED_VALUE_STARTS):
        return False
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.DecodeError:
        return False
    return True


async def read_complete(
    response: httpcore.Response, method: str, proves_complete: Proof = is_labelled_json
) -> bytes:
    """
    Return the body of an answer, if it is known to be complete.

    Parameters
    ----------
    method : str
        The method of the request.
    proves_complete : callable
        Returns whether the content proves that a body is complete if neither a length
        nor chunks mark its end.

    Raises
    ------
    AnswerEndUnknown
        If the answer has neither a length nor chunks, and its content proves nothing.
    httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException
        If the answer broke off.
    """
    body = await response.aread()
    if is_end_known(response, method) or proves_complete(response, body):
        return body
    raise AnswerEndUnknown("the answer ended with its connection")
