"""The settings class of each role; a process imports only that of its own role."""

import importlib

# Module and class name by role.
_SETTINGS_CLASSES = {
    "gateway": ("scaleloom_fleet.conf.gateway_schema", "GatewaySettings"),
    "router": ("scaleloom_fleet.conf.schema", "RouterSettings"),
    "sidecar": ("scaleloom_fleet.conf.schema", "SidecarSettings"),
}


def settings_class(role: str) -> type:
    """Return the settings class of `role`."""
    module, name = _SETTINGS_CLASSES[role]
    return getattr(importlib.import_module(module), name)
