"""Entries of the list of targets that another writer got wrong."""

import json
import random

NESTING = 200_000
DIGITS = 10_000
LONG_TEXT = "n" * 200_000
BAD_PORTS = ("65536", "99999999", "0", "-1", "٨٠٨٠", "", "8080x", "0x50")
_SOUND = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "a",
    "slots": 32,
    # Whoever takes the entry for a sound one sends it nothing.
    "state": "draining",
    "cold-left-ms": 0,
    "seq": 1,
}
_NUMBERS = ("9" * DIGITS, "-1", "1e400", "-1e400", "NaN", "Infinity", "0.5", "1" * 30)
_TEXTS = ('"\\u0000"', '"\\ud800"', "null", "{}", "[]", "7")
_DOCUMENTS = (
    b"{",
    b"null",
    b"[]",
    b"\xff\xfe",
    b"9" * DIGITS,
)
_NUMBER_FIELDS = ("slots", "cold-left-ms", "seq", "born")
_TEXT_FIELDS = ("service", "address", "zone", "state", "version")


def malformed_entries(rng: random.Random, count: int) -> dict[str, bytes]:
    """
    Return the documents of entries by their keys, each of which is wrong in one way.

    One at most is large, as a list of many of these takes long to be read.
    """
    large = (_nested_field, _nested_document, _long_text, None)
    makes = rng.choices((_other_document, _bad_port, _bad_number, _bad_text), k=count)
    makes[0] = rng.choice(large) or makes[0]
    return {f"wrong-{rng.getrandbits(32)}": make(rng) for make in makes}


def _with_field(name: str, text: str) -> bytes:
    """Return an entry whose field `name` has the JSON `text`."""
    fields = {key: json.dumps(value) for key, value in _SOUND.items()} | {name: text}
    return ("{" + ",".join(f'"{k}":{v}' for k, v in fields.items()) + "}").encode()


def _other_document(rng: random.Random) -> bytes:
    """Return what is no entry at all."""
    return rng.choice(_DOCUMENTS)


def _bad_port(rng: random.Random) -> bytes:
    """Return an entry whose port no connection can have."""
    return _with_field("address", json.dumps("127.0.0.1:" + rng.choice(BAD_PORTS)))


def _bad_number(rng: random.Random) -> bytes:
    """Return an entry with a number that none should be."""
    return _with_field(rng.choice(_NUMBER_FIELDS), rng.choice(_NUMBERS))


def _bad_text(rng: random.Random) -> bytes:
    """Return an entry with another value where there should be a text."""
    return _with_field(rng.choice(_TEXT_FIELDS), rng.choice(_TEXTS))


def _long_text(rng: random.Random) -> bytes:
    """Return an entry with a very long text."""
    return _with_field(rng.choice(_TEXT_FIELDS), json.dumps(LONG_TEXT))


def _nested_document(rng: random.Random) -> bytes:
    """Return a deeply nested document."""
    return b"[" * NESTING + b"]" * NESTING


def _nested_field(rng: random.Random) -> bytes:
    """Return an entry with a deeply nested value."""
    field = rng.choice((*_NUMBER_FIELDS, *_TEXT_FIELDS, "unknown"))
    return _with_field(field, "[" * NESTING + "]" * NESTING)
