"""Tests of splitting a stream into complete events."""

import re
import time
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_fleet.gateway import event_splitter
from scaleloom_fleet.gateway.event_splitter import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata: c\n\n"
ID_LINES = 12_000
# Some milliseconds are needed, and far more if each line is searched to the end.
SPLIT_LIMIT_S = 0.5

PIECE_BYTES = 64


class CountingPattern:
    """A pattern that counts the bytes that it searches."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self._pattern = pattern
        self.searched_bytes = 0

    def finditer(self, data: bytes, start: int = 0):
        """Return the matches from `start` on."""
        self.searched_bytes += len(data) - start
        return self._pattern.finditer(data, start)


def test_an_event_in_many_pieces_is_searched_once():
    counting = CountingPattern(event_splitter._EVENT_END)
    splitter = EventSplitter()
    with mock.patch.object(event_splitter, "_EVENT_END", counting):
        for _ in range(1000):
            splitter.feed(b"a" * PIECE_BYTES)
    assert splitter.partial_bytes == 1000 * PIECE_BYTES
    assert counting.searched_bytes < 1.1 * splitter.partial_bytes


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_cutting_gives_the_same_bytes_and_the_last_id(cuts):
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(STREAM)]
    pieces = [STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert b"".join(splitter.feed(piece) for piece in pieces) == STREAM
    assert splitter.last_id == b"3"
    assert not splitter.has_partial


def test_a_partial_event_is_held_back_and_can_be_dropped():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\n\nid: 2\nda") == b"id: 1\n\n"
    assert (splitter.last_id, splitter.has_partial) == (b"1", True)
    splitter.drop_partial()
    assert splitter.feed(b"id: 2\n\n") == b"id: 2\n\n"


@params(
    (b"id: 1\ndata: a\n\n", True),
    (b"id: 1\ndata: a\n\ndata: b\n\n", False),
    (b"data: a\n\nid: 1\ndata: b\n\n", True),
    (b"data: a\nid: 1\n\n", True),
    (b"id: 1\r\ndata: a\r\n\r\n: comment\r\n\r\n", True),
    (b"data: a\n\n", False),
    (b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", True),
    (b"id: 2\ndata: a\n\nid: 1\ndata: b\n\n", False),
    (b"id: 1\ndata: a\n\nid: 1\ndata: b\n\n", False),
    (b"id: 2\ndata: a\n\nid: 1\ndata: b\n\nid: 3\ndata: c\n\n", False),
    (b"id: 9\ndata: a\n\nid: 10\ndata: b\n\n", True),
    (b"id: x\ndata: a\n\n", False),
    (b"id: x\ndata: a\n\nid: 1\ndata: b\n\n", False),
)
def test_a_stream_that_may_go_on_ends_with_a_numbered_event(stream, ends_with_id):
    splitter = EventSplitter()
    splitter.feed(stream)
    assert splitter.ends_with_id is ends_with_id


def test_an_event_of_many_ids_is_split_in_time_linear_in_its_length():
    splitter = EventSplitter()
    stream = b"id: 1\n" * ID_LINES + b"id: 2\ndata: a\n\n"
    begun_s = time.process_time()
    assert splitter.feed(stream) == stream
    assert time.process_time() - begun_s < SPLIT_LIMIT_S
    assert (splitter.last_id, splitter.ends_with_id) == (b"2", True)
