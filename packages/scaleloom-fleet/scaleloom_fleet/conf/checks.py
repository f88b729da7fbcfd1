"""Numbered checks of a settings file, which report all problems at once."""

import configparser
import re
from pathlib import Path
from typing import get_args, get_origin

import msgspec

from scaleloom_fleet.conf.roles import settings_class

_NUMBER_WITH_UNIT = re.compile(r"^-?[0-9.]+\s*([A-Za-z%]+)$")


class CheckMessage(msgspec.Struct, frozen=True):
    """A problem found in a settings file."""

    number: str
    section: str
    key: str
    value: str | None
    message: str
    hint: str

    def __str__(self) -> str:
        """Return the message with its location, number and hint."""
        location = f"[{self.section}] {self.key}".rstrip()
        value = "" if self.value is None else f" = {self.value!r}"
        return (
            f"{location}{value}: ({self.number}) {self.message}\n    HINT: {self.hint}"
        )


class CheckedSettings(msgspec.Struct, frozen=True):
    """The converted values by section and key, and the problems found."""

    sections: dict[str, dict[str, object]]
    messages: list[CheckMessage]


def check_file(path: Path, role: str) -> list[CheckMessage]:
    """Return all problems in the settings of `role` at `path`."""
    return read_and_check(path, role).messages


def read_and_check(path: Path, role: str) -> CheckedSettings:
    """Return the converted values at `path` and all problems found."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except OSError as error:
        return CheckedSettings({}, [_unreadable(path, error.strerror or str(error))])
    except (configparser.Error, UnicodeDecodeError) as error:
        return CheckedSettings({}, [_unreadable(path, str(error))])
    return _check(parser, settings_class(role), role)


def _unreadable(path: Path, reason: str) -> CheckMessage:
    """Return the message for a file that cannot be read or parsed."""
    hint = "Provide a readable INI file; docs/reference has an example for each role."
    return CheckMessage("scaleloom.E001", "", str(path), None, reason, hint)


def _check(
    parser: configparser.ConfigParser, settings: type, role: str
) -> CheckedSettings:
    """Check all sections and convert their values to the types in `settings`."""
    sections = {field.name: field for field in msgspec.structs.fields(settings)}
    checked = CheckedSettings({}, [])
    for name in parser.sections():
        if name not in sections:
            hint = f"Valid sections for a {role}: {', '.join(sections)}."
            message = "Unknown section."
            checked.messages.append(
                CheckMessage("scaleloom.E002", name, "", None, message, hint)
            )
    for name, field in sections.items():
        values = dict(parser[name]) if parser.has_section(name) else {}
        _check_section(name, field.type, values, checked)
    checked.messages.extend(_conflicts(checked.sections))
    return checked


def _check_section(
    name: str, section: type, values: dict[str, str], checked: CheckedSettings
) -> None:
    """Check the keys of a section and convert their values."""
    fields = {field.name: field for field in msgspec.structs.fields(section)}
    converted: dict[str, object] = {}
    for key, value in values.items():
        if key not in fields:
            hint = f"Valid keys of [{name}]: {', '.join(fields)}."
            checked.messages.append(
                CheckMessage("scaleloom.E003", name, key, value, "Unknown key.", hint)
            )
            continue
        problem = _convert(name, key, value, fields[key].type, converted)
        if problem is not None:
            checked.messages.append(problem)
    for key, field in fields.items():
        if field.required and key not in values:
            hint = f"{describe(field.type)} Add {key} = ... to [{name}]."
            checked.messages.append(
                CheckMessage(
                    "scaleloom.E004", name, key, None, "Required value missing.", hint
                )
            )
    checked.sections[name] = converted


def _convert(
    section: str, key: str, value: str, kind: type, converted: dict[str, object]
) -> CheckMessage | None:
    """Convert a value into `converted`, or return the problem with it."""
    try:
        converted[key] = msgspec.convert(value, kind, strict=False)
    except msgspec.ValidationError as error:
        unit = _NUMBER_WITH_UNIT.match(value)
        if unit and key.endswith(("_s", "_bytes", "_ratio")):
            message = f"The value has the unit {unit.group(1)!r}."
            hint = f"Give a plain number; the unit is part of the name {key!r}."
            return CheckMessage("scaleloom.E006", section, key, value, message, hint)
        message = str(error)
        return CheckMessage(
            "scaleloom.E005", section, key, value, message, describe(kind)
        )
    return None


def describe(kind: type) -> str:
    """Return the description of a setting with the annotated type `kind`."""
    for item in getattr(kind, "__metadata__", ()):
        if isinstance(item, msgspec.Meta) and item.description:
            return item.description
    if get_origin(kind) is not None:
        return " ".join(filter(None, map(describe, get_args(kind))))
    return ""


def _conflicts(sections: dict[str, dict[str, object]]) -> list[CheckMessage]:
    """Return the problems that involve several settings or the parts of a value."""
    return [
        *_port_conflicts(sections.get("instance", {})),
        *_lease_conflicts(sections),
        *_operator_problems(sections.get("admin", {})),
        *_service_problems(sections.get("target", {})),
    ]


def _port_conflicts(instance: dict[str, object]) -> list[CheckMessage]:
    """Return a message if the HTTP and gRPC ports are equal."""
    http_port, grpc_port = instance.get("http_port"), instance.get("grpc_port")
    if http_port is None or http_port != grpc_port:
        return []
    return [
        CheckMessage(
            "scaleloom.E007",
            "instance",
            "grpc_port",
            str(grpc_port),
            "The port is the same as http_port.",
            "Use a separate port for each TCP listener.",
        )
    ]


def _lease_conflicts(sections: dict[str, dict[str, object]]) -> list[CheckMessage]:
    """Return a message if a lease can expire before it is renewed."""
    lease_s = sections.get("lease", {}).get("lease_s")
    poll_s = sections.get("platform", {}).get("log_poll_s", 0.5)
    if lease_s is None or lease_s > 2 * poll_s:
        return []
    return [
        CheckMessage(
            "scaleloom.E008",
            "lease",
            "lease_s",
            str(lease_s),
            f"The lease does not exceed two log polling intervals ({2 * poll_s:g} s).",
            "Increase lease_s or decrease [platform] log_poll_s.",
        )
    ]


def _operator_problems(admin: dict[str, object]) -> list[CheckMessage]:
    """Return a message for each operator that is not written as name:digest."""
    listed = str(admin.get("operators", ""))
    return [
        CheckMessage(
            "scaleloom.E009",
            "admin",
            "operators",
            part.strip(),
            "The entry is not a name and a SHA-256 digest joined by a colon.",
            "Write name:digest, with 64 hexadecimal digits.",
        )
        for part in listed.split(",")
        if part.strip() and not re.fullmatch(r"[\w.-]+:[0-9a-f]{64}", part.strip())
    ]


def _service_problems(target: dict[str, object]) -> list[CheckMessage]:
    """Return a message if a target's kind and service contradict each other."""
    kind, service = target.get("kind"), target.get("service")
    if kind is None or (kind == "service") == (service is not None):
        return []
    return [
        CheckMessage(
            "scaleloom.E010",
            "target",
            "service",
            service,
            f"The setting does not match the kind {kind!r}.",
            "Set service for a target of kind service, and only for it.",
        )
    ]
