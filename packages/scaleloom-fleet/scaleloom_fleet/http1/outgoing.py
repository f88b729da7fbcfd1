"""Requests to servers."""

import msgspec

from scaleloom_fleet.http1.answers import HeaderList


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request to a server, with its whole body."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""
