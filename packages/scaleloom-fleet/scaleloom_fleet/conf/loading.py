"""Loading of a checked settings file."""

from pathlib import Path
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_fleet.conf.checks import CheckMessage, read_checked
from scaleloom_fleet.conf.schema import (
    GatewaySettings,
    RouterSettings,
    SidecarSettings,
)
from scaleloom_fleet.utils.addresses import Address, parse_address

Settings = TypeVar("Settings")


def load_gateway_settings(path: Path) -> Result[GatewaySettings, list[CheckMessage]]:
    """Return the gateway settings at `path`, or everything wrong with them."""
    return _load(path, "gateway", GatewaySettings)


def load_router_settings(path: Path) -> Result[RouterSettings, list[CheckMessage]]:
    """Return the router settings at `path`, or everything wrong with them."""
    return _load(path, "router", RouterSettings)


def load_sidecar_settings(path: Path) -> Result[SidecarSettings, list[CheckMessage]]:
    """Return the sidecar settings at `path`, or everything wrong with them."""
    return _load(path, "sidecar", SidecarSettings)


def _load(
    path: Path, role: str, kind: type[Settings]
) -> Result[Settings, list[CheckMessage]]:
    """Return the settings of `role` at `path`."""
    checked = read_checked(path, role)
    if checked.messages:
        return Failure(checked.messages)
    return Success(msgspec.convert(checked.sections, kind))


def parse_optional_address(text: str | None) -> Address | None:
    """Return the address that a setting names, if it names one."""
    return None if text is None else parse_address(text)


def parse_operators(text: str) -> dict[str, str]:
    """Return the operators' names by the digest of their token."""
    pairs = [part.strip() for part in text.split(",") if part.strip()]
    return {digest: name for name, _, digest in (pair.partition(":") for pair in pairs)}
