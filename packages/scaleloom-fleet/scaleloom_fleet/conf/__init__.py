"""Settings of the processes, read from INI files and validated before a start."""

from scaleloom_fleet.conf.checks import CheckMessage, check_file
from scaleloom_fleet.conf.loading import (
    load_gateway_settings,
    load_router_settings,
    load_sidecar_settings,
)

__all__ = [
    "CheckMessage",
    "check_file",
    "load_gateway_settings",
    "load_router_settings",
    "load_sidecar_settings",
]
