"""Idempotency keys: scope, key slot and date."""

import uuid
from dataclasses import dataclass

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import CustomerId, ServiceName, SlotNumber
from scaleloom_core.records import KEY_SLOT_COUNT

MAX_KEY_LENGTH = 255
UUID7_VERSION = 7
_UUID7_DATE_SHIFT_BITS = 80
_MILLISECONDS_PER_S = 1000.0


@dataclass(frozen=True)
class IdempotencyKey:
    """Idempotency key, which is unique within its customer and service."""

    customer: CustomerId
    service: ServiceName
    text: str

    @property
    def key_slot(self) -> SlotNumber:
        """Return the key slot whose owner decides about this key."""
        digest = hash_text(self.customer, self.service, self.text)
        return SlotNumber(digest % KEY_SLOT_COUNT)

    @property
    def date_s(self) -> float | None:
        """Return the date in the key, in Unix seconds, or None if it has none."""
        return parse_date_s(self.text)


def parse_date_s(text: str) -> float | None:
    """
    Return the date of a UUIDv7 in Unix seconds, or None for any other key.

    Source: RFC 9562, section 5.7.
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != UUID7_VERSION:
        return None
    return (value.int >> _UUID7_DATE_SHIFT_BITS) / _MILLISECONDS_PER_S


def make_dated_key(date_s: float, random_bits: int) -> str:
    """
    Return a key with a date, as the text of a UUIDv7.

    Parameters
    ----------
    date_s : float
        Date of the key, in Unix seconds.
    random_bits : int
        At least 74 random bits.
    """
    milliseconds = int(date_s * _MILLISECONDS_PER_S) & ((1 << 48) - 1)
    random_a = random_bits & 0xFFF
    random_b = (random_bits >> 12) & ((1 << 62) - 1)
    value = milliseconds << 80 | UUID7_VERSION << 76 | random_a << 64
    return str(uuid.UUID(int=value | 0b10 << 62 | random_b))
