"""Parser of operators' intents: INI text with one section for each object."""

import configparser
import hashlib
import re

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.records import (
    Burst,
    ConfigObject,
    Customer,
    DataCentre,
    Model,
    Service,
    Target,
    tag_of,
)

REMOVE_OPTION = "remove"
SECRET_OPTION = "key"
SECRET_DIGEST_OPTION = "key_sha256"

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_KINDS = {
    "customer": Customer,
    "model": Model,
    "service": Service,
    "target": Target,
    "burst": Burst,
    "data_centre": DataCentre,
}


class Intent(msgspec.Struct, frozen=True):
    """Objects that an operator wants to put and keys to remove."""

    puts: tuple[ConfigObject, ...] = ()
    removals: tuple[str, ...] = ()


class IntentProblem(msgspec.Struct, frozen=True):
    """Error in an intent, with a hint how to correct it."""

    section: str
    message: str
    hint: str


def parse_intent(text: str) -> Result[Intent, list[IntentProblem]]:
    """
    Return the intent in `text`.

    Parameters
    ----------
    text : str
        INI text with sections such as ``[model dossier]``.

    Returns
    -------
    Result of Intent or list of IntentProblem
        The intent, or all problems of the text.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        hint = "Write [kind name] sections of option = value lines."
        return Failure([IntentProblem("", str(error), hint)])
    puts, removals, problems = [], [], []
    for section in parser.sections():
        _read_section(parser[section], puts, removals, problems)
    if problems:
        return Failure(problems)
    return Success(Intent(tuple(puts), tuple(removals)))


def _read_section(
    section: configparser.SectionProxy,
    puts: list[ConfigObject],
    removals: list[str],
    problems: list[IntentProblem],
) -> None:
    """Parse one section and add its object, its removal or its problem."""
    kind_name, _, name = section.name.partition(" ")
    kind = _KINDS.get(kind_name)
    if kind is None or not name.strip():
        message = f"{section.name!r} does not consist of a kind and a name."
        hint = f"Write one of {', '.join(_KINDS)}, followed by a name."
        problems.append(IntentProblem(section.name, message, hint))
        return
    if not _NAME.fullmatch(name.strip()):
        message = f"{name!r} is not a valid name."
        hint = "Use letters, digits, dots, dashes and underscores only."
        problems.append(IntentProblem(section.name, message, hint))
        return
    if section.get(REMOVE_OPTION, "") == "yes":
        removals.append(f"{kind_name}/{name.strip()}")
        return
    fields = _read_fields(section, kind)
    try:
        puts.append(_build(kind, name.strip(), fields))
    except msgspec.ValidationError as error:
        hint = f"Options of a {kind_name}: {', '.join(kind.__struct_fields__)}."
        problems.append(IntentProblem(section.name, str(error), hint))


def _read_fields(section: configparser.SectionProxy, kind: type) -> dict[str, object]:
    """Return the options of `section` as fields of the type `kind`."""
    fields: dict[str, object] = {}
    for option, value in section.items():
        if kind is Customer and option == SECRET_OPTION:
            fields[SECRET_DIGEST_OPTION] = [digest_secret(value)]
        elif _is_list(kind, option):
            fields[option] = [part.strip() for part in value.split(",") if part.strip()]
        elif kind.__annotations__.get(option) is bool:
            fields[option] = section.parser.BOOLEAN_STATES.get(value.lower(), value)
        else:
            fields[option] = value
    return fields


def _is_list(kind: type, option: str) -> bool:
    """Return whether `option` of `kind` takes a list of values."""
    return "tuple" in str(kind.__annotations__.get(option, ""))


def _build(kind: type, name: str, fields: dict[str, object]) -> ConfigObject:
    """
    Return the object of the type `kind` with the given fields.

    Raises
    ------
    msgspec.ValidationError
        If an option is unknown, missing or of the wrong type.
    """
    unknown = set(fields) - set(kind.__struct_fields__)
    if unknown:
        raise msgspec.ValidationError(f"Unknown options {sorted(unknown)}.")
    values = {**fields, "name": name, "type": tag_of(kind)}
    return msgspec.convert(values, kind, strict=False)


def digest_secret(secret: str) -> str:
    """Return the digest that is stored instead of a customer's key."""
    return hashlib.sha256(secret.encode()).hexdigest()
