"""Addresses of servers."""

import re

import msgspec

MOST_PORT = 65535
_NUMBER = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_HOST = re.compile(rf"{_NUMBER}(?:\.{_NUMBER}){{3}}:")


class Address(msgspec.Struct, frozen=True):
    """Where a server listens."""

    host: str
    port: int

    def url(self, path: str) -> str:
        """Return the URL of `path` there."""
        return f"http://{self.host}:{self.port}{path}"

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"


def parse_ip_address(text: str) -> Address:
    """
    Return the address that ``n.n.n.n:port`` names, in plain decimal numbers.

    Raises
    ------
    ValueError
        If it is written otherwise, or names a port that there can't be.
    """
    found = _HOST.match(text)
    port = text[found.end() :] if found else ""
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MOST_PORT))
    if not is_number or not 0 < int(port) <= MOST_PORT:
        raise ValueError(f"{text!r} is no address")
    return Address(text[: found.end() - 1], int(port))


def parse_address(text: str) -> Address:
    """Return the address that ``host:port`` names."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
