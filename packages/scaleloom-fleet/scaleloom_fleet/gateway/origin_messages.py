"""Messages between routers about the versions that began streams."""

import struct
from collections.abc import Iterator, Sequence

import msgspec

from scaleloom_core.ids import ServiceName, StreamKey, Version
from scaleloom_core.stream_origins import OriginKnowledge

# No msgpack message begins with this byte, so that a receiver tells these messages
# from reports, and a router that does not know them ignores them.
PREFIX = b"\xc1"
KEY_BYTES = 8
# A datagram of this many keys fits into one packet of 1,500 B.
MAX_KEYS_PER_MESSAGE = 128


class AnnouncedOrigins(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """
    Streams that targets of one version have begun.

    Parameters
    ----------
    packed_keys : bytes
        Their keys, `KEY_BYTES` each, the lowest byte first.
    """

    version: Version
    packed_keys: bytes

    @property
    def keys(self) -> Sequence[StreamKey]:
        """Return the keys of the streams, without an incomplete last one."""
        count = len(self.packed_keys) // KEY_BYTES
        return struct.unpack_from(f"<{count}Q", self.packed_keys)


class OriginQuery(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A question about the version that began a stream of `service`."""

    key: StreamKey
    service: ServiceName


class OriginReply(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """
    What the queried router knows.

    Parameters
    ----------
    list_age_s : float
        Age of the list that a conclusion rests on, in seconds. A router that tells
        none may have concluded it from an old list.
    """

    key: StreamKey
    knowledge: OriginKnowledge
    list_age_s: float = float("inf")


OriginMessage = AnnouncedOrigins | OriginQuery | OriginReply
_decoder = msgspec.msgpack.Decoder(OriginMessage)


def announced_origins(
    version: Version, keys: Sequence[StreamKey]
) -> Iterator[AnnouncedOrigins]:
    """Yield the messages that announce the streams `keys`, which `version` began."""
    for start in range(0, len(keys), MAX_KEYS_PER_MESSAGE):
        part = keys[start : start + MAX_KEYS_PER_MESSAGE]
        yield AnnouncedOrigins(version, struct.pack(f"<{len(part)}Q", *part))


def encode_origin_message(message: OriginMessage) -> bytes:
    """Return `message` as it is sent in a datagram."""
    return PREFIX + msgspec.msgpack.encode(message)


def is_origin_message(data: bytes) -> bool:
    """Return whether a datagram holds an origin message."""
    return data.startswith(PREFIX)


def decode_origin_message(data: bytes) -> OriginMessage:
    """
    Return the message in a datagram.

    Raises
    ------
    msgspec.DecodeError
        If it cannot be read.
    """
    return _decoder.decode(memoryview(data)[len(PREFIX) :])
