"""Streamed answers of the engine and their current readers."""

from dataclasses import dataclass, field

import trio

from scaleloom_core.admission import Ticket
from scaleloom_core.ids import AttemptId


@dataclass
class OpenStream:
    """
    One streamed answer of the engine.

    A router that lost its connection may resume the stream over a new connection and
    so replace the reader. Only the latest reader releases or cancels the stream.
    """

    attempt: AttemptId
    ticket: Ticket
    reader_number: int = 0
    is_ended: bool = False
    is_complete: bool = False
    is_slot_released: bool = False
    reader_changed: trio.Event = field(default_factory=trio.Event)

    def take_over(self) -> int:
        """Start a new reader, which replaces the previous one; return its number."""
        self.reader_number += 1
        self.reader_changed.set()
        self.reader_changed = trio.Event()
        return self.reader_number

    def mark_ended(self, is_complete: bool) -> None:
        """Record the end of the engine's answer, and whether the answer is complete."""
        self.is_ended = True
        self.is_complete = is_complete
