"""Requests to servers, and their wire format."""

import h11
import msgspec

from scaleloom_fleet.http1.answers import HeaderList

# A longer body is sent by a write of its own, which costs less than a copy.
MAX_COPIED_BYTES = 16_384


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request to a server, with its whole body."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""


def serialise(protocol: h11.Connection, request: OutgoingRequest) -> list[memoryview]:
    """
    Return the parts of `request` in its wire format; a long body is not copied.

    Parameters
    ----------
    protocol : h11.Connection
        Its state becomes that of a connection which has sent the whole request.
    """
    body, headers = request.body, request.headers
    if body:
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    data = protocol.send(head)
    if body:
        protocol.send_with_data_passthrough(h11.Data(data=body))
    protocol.send(h11.EndOfMessage())
    if len(body) <= MAX_COPIED_BYTES:
        return [memoryview(data + body)]
    return [memoryview(data), memoryview(body)]
