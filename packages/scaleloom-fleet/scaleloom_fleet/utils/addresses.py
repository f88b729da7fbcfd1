"""Addresses of servers."""

import msgspec


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


def parse_address(text: str) -> Address:
    """Return the address that ``host:port`` names."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
