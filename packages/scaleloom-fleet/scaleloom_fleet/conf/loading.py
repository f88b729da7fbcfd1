"""Loading of settings files, and parsing of composite values."""

from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_fleet.conf.checks import CheckMessage, read_and_check
from scaleloom_fleet.conf.roles import settings_class
from scaleloom_fleet.utils.addresses import Address, parse_address

if TYPE_CHECKING:
    from scaleloom_fleet.conf.gateway_schema import GatewaySettings
    from scaleloom_fleet.conf.schema import RouterSettings, SidecarSettings


def load_gateway_settings(path: Path) -> Result["GatewaySettings", list[CheckMessage]]:
    """Return the gateway settings at `path`, or all problems found in them."""
    return _load(path, "gateway")


def load_router_settings(path: Path) -> Result["RouterSettings", list[CheckMessage]]:
    """Return the router settings at `path`, or all problems found in them."""
    return _load(path, "router")


def load_sidecar_settings(path: Path) -> Result["SidecarSettings", list[CheckMessage]]:
    """Return the sidecar settings at `path`, or all problems found in them."""
    return _load(path, "sidecar")


def _load(path: Path, role: str) -> Result[Any, list[CheckMessage]]:
    """Return the settings of `role` at `path`, or all problems found in them."""
    checked = read_and_check(path, role)
    if checked.messages:
        return Failure(checked.messages)
    return Success(msgspec.convert(checked.sections, settings_class(role)))


def parse_optional_address(text: str | None) -> Address | None:
    """Return the address in an optional setting, or None."""
    return None if text is None else parse_address(text)


def parse_operators(text: str) -> dict[str, str]:
    """Return the operators' names by the SHA-256 digest of their token."""
    pairs = [part.strip() for part in text.split(",") if part.strip()]
    return {digest: name for name, _, digest in (pair.partition(":") for pair in pairs)}
