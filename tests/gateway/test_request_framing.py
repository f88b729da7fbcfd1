"""
Tests of requests whose end two recipients may see in different places.

Guards against requests that targets receive and that the caller has not sent, by the
framing of the caller or of a proxy before the router.
"""

import trio
from nose2.tools import params

from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Site, request_bytes, running_site

SETTLE_S = 0.06
SMUGGLED = request_bytes("/once/2", "r-smuggled")
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
VERSIONS = ("HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/3.1")


def _chunked_request(path: str = "/once/1") -> bytes:
    """Return the head of a request whose body is sent in chunks."""
    return request_bytes(path, "r-1", "POST").removesuffix(b"\r\n") + CHUNKED.encode()


async def _answers(site: Site, *pieces: bytes) -> bytes:
    """Send `pieces` on one connection, and return all that is answered."""
    gateway = site.gateways[0]
    answered = b""
    stream = await trio.open_tcp_stream(gateway.host, gateway.front_port)
    async with stream:
        for piece in pieces:
            await stream.send_all(piece)
            await trio.sleep(0.002)
        with trio.move_on_after(SETTLE_S):
            while data := await stream.receive_some():
                answered += data
    return answered


@params(*VERSIONS)
@runs_on_paused_clock
async def test_a_request_of_another_version_is_refused(version):
    data = request_bytes("/once/1", method="POST", body=SMUGGLED)
    async with running_site() as site:
        odd = data.replace(b"HTTP/1.1", version.encode(), 1)
        answered = await _answers(site, odd + SMUGGLED)
        assert site.run_count("r-1") == site.run_count("r-smuggled") == 0
    assert answered.startswith(b"HTTP/1.1 505 HTTP Version Not Supported\r\n")
    assert answered.count(b"HTTP/1.1") == 1


@runs_on_paused_clock
async def test_a_request_of_version_1_0_has_no_codings():
    data = _chunked_request().replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    async with running_site() as site:
        answered = await _answers(site, data + b"0\r\n\r\n" + SMUGGLED)
        assert site.run_count("r-1") == site.run_count("r-smuggled") == 0
    assert answered.startswith(b"HTTP/1.1 400 ")


@runs_on_paused_clock
async def test_a_request_of_version_1_0_is_served():
    data = request_bytes("/once/1").replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    async with running_site() as site:
        answered = await _answers(site, data)
    assert answered.startswith(b"HTTP/1.1 200 ")


# Ends of a body in chunks that only lenient recipients take for one.
LENIENT_ENDS = (
    b"0\r\n\n",
    b"0\r\nTotal: 3\n\n",
    b"0\r\nTotal: 3\n\r\n",
    b"0\r\nTotal: 3\r\n\n",
    b"2\r\nab\r\n0\r\n\n",
)


@params(*((end, cut) for end in LENIENT_ENDS for cut in (0, 1, 2, 3)))
@runs_on_paused_clock
async def test_nothing_is_read_behind_a_body_whose_end_is_a_bare_lf(end, cut):
    # A strict proxy before the router takes what follows for trailers.
    data = _chunked_request() + end
    data, late = data[: len(data) - cut], data[len(data) - cut :]
    async with running_site() as site:
        answered = await _answers(site, data, late + SMUGGLED + b"\r\n")
        assert site.run_count("r-1") == site.run_count("r-smuggled") == 0
    assert answered.startswith(b"HTTP/1.1 400 ")
    assert answered.count(b"HTTP/1.1") == 1


@params(
    b"0\r\n\r\n",
    b"000\r\n\r\n",
    b"0;a=b\r\n\r\n",
    b"0\r\nTotal: 3\r\n\r\n",
    b"0\r\nTotal: 3\r\nNote: a\r\n\r\n",
    b"5\r\nwhole\r\n0\r\n\r\n",
)
@runs_on_paused_clock
async def test_a_request_behind_a_body_in_chunks_is_served(end):
    data = _chunked_request() + end + SMUGGLED
    async with running_site() as site:
        for cut in range(len(end) + 1):
            at = len(_chunked_request()) + cut
            await _answers(site, data[:at], data[at:])
        assert site.run_count("r-1") == site.run_count("r-smuggled") == len(end) + 1
