"""Numbered checks of a settings file; all problems are reported together."""

import configparser
import re
from pathlib import Path
from typing import get_args, get_origin

import msgspec

from scaleloom_fleet.conf.roles import settings_of

_NUMBER_WITH_UNIT = re.compile(r"^-?[0-9.]+\s*([A-Za-z%]+)$")


class CheckMessage(msgspec.Struct, frozen=True):
    """One thing that is wrong with a settings file."""

    number: str
    section: str
    key: str
    value: str | None
    message: str
    hint: str

    def __str__(self) -> str:
        """Return the message as one readable paragraph."""
        place = f"[{self.section}] {self.key}".rstrip()
        shown = "" if self.value is None else f" = {self.value!r}"
        return f"{place}{shown}: ({self.number}) {self.message}\n    HINT: {self.hint}"


class Checked(msgspec.Struct, frozen=True):
    """Sections whose values converted, and everything that did not."""

    sections: dict[str, dict[str, object]]
    messages: list[CheckMessage]


def check_file(path: Path, role: str) -> list[CheckMessage]:
    """Return everything that is wrong with the settings of `role` at `path`."""
    return read_checked(path, role).messages


def read_checked(path: Path, role: str) -> Checked:
    """Return the converted values at `path` and everything that is wrong."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Checked({}, [_unreadable(path, error.strerror or str(error))])
    except (configparser.Error, UnicodeDecodeError) as error:
        return Checked({}, [_unreadable(path, str(error))])
    return _check(parser, settings_of(role), role)


def _unreadable(path: Path, reason: str) -> CheckMessage:
    """Return the message for a file that is not INI."""
    hint = "Give a readable INI file; docs/reference has one for each role."
    return CheckMessage("scaleloom.E001", "", str(path), None, reason, hint)


def _check(parser: configparser.ConfigParser, settings: type, role: str) -> Checked:
    """Check every section and key."""
    wanted = {field.name: field for field in msgspec.structs.fields(settings)}
    checked = Checked({}, [])
    for name in parser.sections():
        if name not in wanted:
            hint = f"Sections of a {role}: {', '.join(wanted)}."
            message = "There is no such section."
            checked.messages.append(
                CheckMessage("scaleloom.E002", name, "", None, message, hint)
            )
    for name, field in wanted.items():
        values = dict(parser[name]) if parser.has_section(name) else {}
        _check_section(name, field.type, values, checked)
    checked.messages.extend(_clashes(checked.sections))
    return checked


def _check_section(
    name: str, section: type, values: dict[str, str], checked: Checked
) -> None:
    """Check one section's keys and convert their values."""
    fields = {field.name: field for field in msgspec.structs.fields(section)}
    converted: dict[str, object] = {}
    for key, value in values.items():
        if key not in fields:
            hint = f"Keys of [{name}]: {', '.join(fields)}."
            checked.messages.append(
                CheckMessage(
                    "scaleloom.E003", name, key, value, "There is no such key.", hint
                )
            )
            continue
        problem = _convert(name, key, value, fields[key].type, converted)
        if problem is not None:
            checked.messages.append(problem)
    for key, field in fields.items():
        if field.required and key not in values:
            hint = f"{describe(field.type)} Add {key} = ... to [{name}]."
            checked.messages.append(
                CheckMessage("scaleloom.E004", name, key, None, "Value missing.", hint)
            )
    checked.sections[name] = converted


def _convert(
    section: str, key: str, value: str, kind: type, converted: dict[str, object]
) -> CheckMessage | None:
    """Convert one value, or return what is wrong with it."""
    try:
        converted[key] = msgspec.convert(value, kind, strict=False)
    except msgspec.ValidationError as error:
        unit = _NUMBER_WITH_UNIT.match(value)
        if unit and key.endswith(("_s", "_bytes", "_ratio")):
            message = f"The value carries the unit {unit.group(1)!r}."
            hint = f"Give a plain number; the name {key!r} tells its unit."
            return CheckMessage("scaleloom.E006", section, key, value, message, hint)
        message = str(error)
        return CheckMessage(
            "scaleloom.E005", section, key, value, message, describe(kind)
        )
    return None


def describe(kind: type) -> str:
    """Return what a setting of type `kind` is for."""
    for item in getattr(kind, "__metadata__", ()):
        if isinstance(item, msgspec.Meta) and item.description:
            return item.description
    if get_origin(kind) is not None:
        return " ".join(filter(None, map(describe, get_args(kind))))
    return ""


def _clashes(sections: dict[str, dict[str, object]]) -> list[CheckMessage]:
    """Return the settings that contradict each other."""
    return [
        *_port_clashes(sections.get("instance", {})),
        *_lease_clashes(sections),
        *_operator_problems(sections.get("admin", {})),
        *_service_problems(sections.get("target", {})),
    ]


def _port_clashes(instance: dict[str, object]) -> list[CheckMessage]:
    """Return a message if two TCP ports are the same."""
    http_port, grpc_port = instance.get("http_port"), instance.get("grpc_port")
    if http_port is None or http_port != grpc_port:
        return []
    return [
        CheckMessage(
            "scaleloom.E007",
            "instance",
            "grpc_port",
            str(grpc_port),
            "It is the same as http_port.",
            "Give each TCP listener a port of its own.",
        )
    ]


def _lease_clashes(sections: dict[str, dict[str, object]]) -> list[CheckMessage]:
    """Return a message if a lease ends before it can be renewed."""
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
            f"It is not longer than two readings of the log ({2 * poll_s:g} s).",
            "Lengthen lease_s or shorten [platform] log_poll_s.",
        )
    ]


def _operator_problems(admin: dict[str, object]) -> list[CheckMessage]:
    """Return a message for each operator that is not name:digest."""
    listed = str(admin.get("operators", ""))
    return [
        CheckMessage(
            "scaleloom.E009",
            "admin",
            "operators",
            part.strip(),
            "It is not a name and a SHA-256 digest joined by a colon.",
            "Write name:digest, with 64 hexadecimal digits.",
        )
        for part in listed.split(",")
        if part.strip() and not re.fullmatch(r"[\w.-]+:[0-9a-f]{64}", part.strip())
    ]


def _service_problems(target: dict[str, object]) -> list[CheckMessage]:
    """Return a message if a target's kind and service do not fit."""
    kind, service = target.get("kind"), target.get("service")
    if kind is None or (kind == "service") == (service is not None):
        return []
    return [
        CheckMessage(
            "scaleloom.E010",
            "target",
            "service",
            service,
            f"It does not fit the kind {kind!r}.",
            "Name the service of a target of kind service, and of no other.",
        )
    ]
