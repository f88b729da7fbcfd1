"""Streams of a service whose targets run several versions, and what they hold."""

import random
import re

from tests.fixtures.cut_answers import PlannedAnswer, draw_answer
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import first_event

MIXED = "mixed"
VERSIONS = ("v1", "v2", "v3")
EVENT_COUNT = 12
EVENT_PAUSE_RANGE_S = (0.01, 0.07)
_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\S+)\n\n")


def mixed_event(number: int, version: str) -> bytes:
    """Return one event of a stream, which a target of `version` writes."""
    return f"id: {number}\ndata: piece {number} of {version}\n\n".encode()


def whole_events(body: bytes) -> list[tuple[int, str]]:
    """Return number and version of each whole event in `body`."""
    return [(int(number), version.decode()) for number, version in _EVENT.findall(body)]


def plan_mixed_answer(
    request: ReceivedRequest, version: str, broken_share: float, rng: random.Random
) -> PlannedAnswer:
    """Return the answer of a target of `version`, broken off with `broken_share`."""
    numbers = range(first_event(request), EVENT_COUNT + 1)
    pieces = [mixed_event(number, version) for number in numbers]
    return draw_answer(pieces, broken_share, rng)


def find_order_problem(body: bytes, first: int) -> str | None:
    """Return how the events of `body` depart from those from `first` on, or None."""
    events = whole_events(body)
    numbers = [number for number, _ in events]
    if numbers != list(range(first, first + len(numbers))):
        return f"events {numbers} where {first} is next"
    joined = b"".join(mixed_event(number, version) for number, version in events)
    if not body.startswith(joined) or b"\n\n" in body[len(joined) :]:
        return "bytes that belong to no event"
    return None
