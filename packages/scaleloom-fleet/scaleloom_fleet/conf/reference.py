"""Rendering of the reference INI file of each role."""

import msgspec

from scaleloom_fleet.conf.checks import describe
from scaleloom_fleet.conf.roles import settings_class

EXAMPLES = {
    "name": "router-1",
    "data_centre": "sala-a",
    "host": "10.0.0.1",
    "http_port": "8000",
    "control_port": "8001",
    "grpc_port": "8002",
    "fleet_secret": "change-this-secret",
    "log_address": "10.0.1.1:7000",
    "list_address": "10.0.1.2:7001",
    "address": "127.0.0.1:9000",
    "kind": "engine",
    "front": "10.0.0.1:8000",
    "ready": "10.0.0.1:8001",
    "peer_port": "8002",
    "adapter": "scaleloom_platform",
    "store": "10.0.1.1:7000",
}


def render_reference(role: str) -> str:
    """Return an INI file with every setting of `role`, its description and default."""
    lines = [f"# All settings of a {role}. Settings without '#' are required."]
    for section in msgspec.structs.fields(settings_class(role)):
        lines += ["", f"[{section.name}]", f"# {section.type.__doc__.strip()}"]
        for field in msgspec.structs.fields(section.type):
            lines += ["", f"# {describe(field.type)}", _line(field)]
    return "\n".join(lines) + "\n"


def _line(field: msgspec.structs.FieldInfo) -> str:
    """Return the line that sets a key, commented out if the key has a default."""
    if field.required:
        return f"{field.name} = {EXAMPLES[field.name]}"
    default = "" if field.default is None else field.default
    return f"# {field.name} = {default}".rstrip()
