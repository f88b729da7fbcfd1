"""Socket addresses of servers and their parsing."""

import re

import msgspec

MAX_PORT = 65535
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IPV4_PREFIX = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:")


class Address(msgspec.Struct, frozen=True):
    """The host and port at which a server listens."""

    host: str
    port: int

    def url(self, path: str) -> str:
        """Return the HTTP URL of `path` at this address."""
        return f"http://{self.host}:{self.port}{path}"

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"


def parse_ip_address(text: str) -> Address:
    """
    Return the address written as ``n.n.n.n:port`` in plain decimal numbers.

    Raises
    ------
    ValueError
        If `text` has another form or the port is not within 1 to 65535.
    """
    host = _IPV4_PREFIX.match(text)
    port = text[host.end() :] if host else ""
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an IPv4 address and port")
    return Address(text[: host.end() - 1], int(port))


def parse_address(text: str) -> Address:
    """Return the address written as ``host:port``, without validation."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
