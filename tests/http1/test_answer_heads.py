"""
Tests of what may be the head of an answer.

Guards against heads that are taken or refused by how their bytes were cut, against
valid ones that are refused, and against a look at much input in one turn.
"""

import socket

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_fleet.http1.answer_heads import (
    MAX_HEAD_BYTES,
    HeadChecker,
    HeadFault,
    HeadRefused,
    fault_counts,
    find_fault,
    find_parsed_fault,
)
from scaleloom_fleet.http1.links import Link, OutgoingRequest
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.odd_heads import ODD_HEADS, OddHead, sound_head

INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
SOUND_HEADS = (
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200\r\n\r\n",
    b"HTTP/1.1 200 \r\n\r\n",
    b"HTTP/1.1 599 \xfcber\tall\r\nA: \r\nB:\r\n\r\n",
    b"HTTP/1.1 204 None\r\nContent-Length: 3\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nA: \ttab\tin\tvalue \r\nB: \xff\x80\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-LENGTH:\t7 \r\nContent-Length: 7\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 7, 7\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 00000000000000000007\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTRANSFER-encoding:Chunked\t\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: token\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Content-Length: a\r\nX-Transfer-Encoding: a\r\n\r\n",
)
# What a parser returns; it has already refused or joined the others.
PARSED = (
    (b"HTTP/3.1", 200, b"OK", [], HeadFault.VERSION),
    (b"HTTP/1.1", 0, b"OK", [], HeadFault.STATUS),
    (b"HTTP/1.1", 99, b"OK", [], HeadFault.STATUS),
    (b"HTTP/1.1", 600, b"OK", [], HeadFault.STATUS),
    (b"HTTP/1.1", 101, b"OK", [], HeadFault.UPGRADE),
    (b"HTTP/1.1", 200, b"O\x07K", [], HeadFault.STATUS_LINE),
    (b"HTTP/1.1", 200, b"OK", [(b"a b", b"c")], HeadFault.NAME),
    (b"HTTP/1.1", 200, b"OK", [(b"a", b"\x07")], HeadFault.VALUE),
    (b"HTTP/1.1", 200, b"OK", [(b"a", b"b\r\nc: d")], HeadFault.LINE_END),
    (b"HTTP/1.1", 200, b"OK\r\nc: d", [], HeadFault.LINE_END),
    (b"HTTP/1.1", 200, b"", [(b"a", b"b"), (b"Content-Length", b"3")], None),
)
REQUEST = OutgoingRequest(b"GET", b"/a/", [(b"Host", b"x")])


def _odd_bytes(odd: OddHead) -> bytes:
    """Return the bytes of an odd head."""
    return odd.apply(sound_head({"Request-Id": "r-1"}, odd.is_chunked, 4))


def _check_in_pieces(data: bytes, cuts: list[int]) -> HeadFault | None:
    """Return the fault that a checker finds in `data`, cut into pieces."""
    checker = HeadChecker("peer")
    edges = [0, *sorted(cuts), len(data)]
    try:
        for start, end in zip(edges, edges[1:], strict=False):
            checker.check(data[start:end])
    except HeadRefused as error:
        return error.fault
    return None


@params(INTERIM_HEAD, *SOUND_HEADS)
def test_a_sound_head_has_no_fault(head):
    assert find_fault(head) is None


@params(*ODD_HEADS)
@runs_in_trio
async def test_an_odd_head_has_its_fault_in_any_pieces(name):
    odd = ODD_HEADS[name]
    data = _odd_bytes(odd)

    @given(st.lists(st.integers(0, min(len(data), 300)), max_size=6))
    def holds(cuts):
        assert _check_in_pieces(data, cuts) is odd.fault

    holds()


@runs_in_trio
async def test_sound_heads_and_bodies_have_no_fault_in_any_pieces():
    @given(
        st.integers(0, 3),
        st.lists(st.sampled_from(SOUND_HEADS), min_size=1, max_size=4),
        st.lists(st.integers(0, 200), max_size=6),
    )
    def holds(interim_count, heads, cuts):
        # Only bytes before the end of the first other head are a matter of heads.
        data = INTERIM_HEAD * interim_count + b"\r\nodd\x07\n\n".join(heads)
        inside = [cut for cut in cuts if cut <= len(data)]
        assert _check_in_pieces(data, inside) is None

    holds()


@params(*PARSED)
def test_a_parsed_head_has_the_fault_of_its_bytes(version, status, reason, headers, f):
    assert find_parsed_fault(version, status, reason, headers) is f


@params(0, 1)
@runs_in_trio
async def test_the_longest_head_ends_at_its_limit(surplus):
    start = b"HTTP/1.1 200 OK\r\nA: "
    filler = MAX_HEAD_BYTES + surplus - len(start) - len(b"\r\n\r\n")
    data = start + b"a" * filler + b"\r\n\r\n"
    expected = HeadFault.SIZE if surplus else None
    assert _check_in_pieces(data, [1000]) is expected
    assert _check_in_pieces(data, []) is expected


@runs_in_trio
async def test_a_refused_answer_stays_refused_and_is_counted_once():
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    link = Link(ours)
    link.start(REQUEST)
    theirs.sendall(b"HTTP/1.1 600 OK\r\n\r\n")
    assert link.read_head_nowait() is None
    theirs.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert link.read_head_nowait() is None
    assert not link.finish()
    assert fault_counts()[HeadFault.STATUS] == 1
    link.close()
    theirs.close()
