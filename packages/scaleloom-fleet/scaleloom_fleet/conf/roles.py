"""The settings of each role; a process loads only those of its own."""

import importlib

# The module and the class of each role's settings.
_PLACES = {
    "gateway": ("scaleloom_fleet.conf.gateway_schema", "GatewaySettings"),
    "router": ("scaleloom_fleet.conf.schema", "RouterSettings"),
    "sidecar": ("scaleloom_fleet.conf.schema", "SidecarSettings"),
}


def settings_of(role: str) -> type:
    """Return the class of the settings of `role`."""
    module, name = _PLACES[role]
    return getattr(importlib.import_module(module), name)
