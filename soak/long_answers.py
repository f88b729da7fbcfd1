"""Long answers of targets, each part of which names the run that it is of."""

import random
from collections.abc import Iterator
from enum import Enum

import trio

from soak.endless_answers import EndlessForm, send_endless_answer
from soak.upload_answers import send_early_answer, upload_answer
from tests.fixtures.cut_answers import EVENT_END, LAST_CHUNK, reset
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget, chunk, first_event, request_id

PART_BYTES = 1_000
PIECE_RANGE_PARTS = (20, 120)
# Behind what a gateway holds back, so that a part of the answer was sent on.
CUT_RANGE = (0.7, 0.98)
RESET_SHARE = 0.5
PIECE_PAUSE_S = 0.002
LONG_PATH = "/long-"
STREAM_PATHS = ("/long-stream", "/long-resumable")


class Framing(Enum):
    """What tells where a long answer ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class LongAnswers:
    """
    How one target of the service with long messages answers.

    Parameters
    ----------
    broken_off_ids : set of str
        Where the requests are added whose answers the target doesn't end as promised.
    endless_form : EndlessForm or None
        What the target sends without an end, if it does.
    broken_share : float
        Share of answers that are broken off.
    early_share : float
        Share of uploads that are answered at their head, without a length, and reset.
    """

    def __init__(self, rng: random.Random, broken_off_ids: set[str]) -> None:
        self._rng = rng
        self._broken_off_ids = broken_off_ids
        self._run_count = 0
        self._endless_scopes: set[trio.CancelScope] = set()
        self.endless_form: EndlessForm | None = None
        self.broken_share = 0.0
        self.early_share = 0.0

    def end_endless_answers(self) -> None:
        """Answer as usual again, and close what was sent without an end."""
        self.endless_form = None
        for scope in self._endless_scopes:
            scope.cancel()

    async def answer(self, stub: StubTarget, request: ReceivedRequest) -> bool:
        """Run the request and answer it; return whether the connection stays open."""
        stub.runs[request_id(request)] += 1
        self._run_count += 1
        length = len(request.body)
        # Long bodies of all requests would fill the memory of the soak itself.
        request.body = b""
        if self.endless_form is not None:
            return await self._answer_without_end(stub, request)
        if not request.target.startswith(LONG_PATH):
            await request.stream.send_all(upload_answer(stub, request, length))
            return True
        return await self._answer_long(stub, request)

    def is_early(self, request: ReceivedRequest) -> bool:
        """Return whether the target answers `request` at its head."""
        return request.method == "POST" and self._rng.random() < self.early_share

    async def answer_early(self, stub: StubTarget, request: ReceivedRequest) -> None:
        """Answer an upload at its head, and reset the connection."""
        stub.runs[request_id(request)] += 1
        self._broken_off_ids.add(request_id(request))
        await send_early_answer(stub, request, self._rng)

    async def _answer_without_end(
        self, stub: StubTarget, request: ReceivedRequest
    ) -> bool:
        """Send bytes that go on."""
        self._broken_off_ids.add(request_id(request))
        with trio.CancelScope() as scope:
            self._endless_scopes.add(scope)
            try:
                await send_endless_answer(stub, request, self.endless_form)
            finally:
                self._endless_scopes.discard(scope)
        return False

    async def _answer_long(self, stub: StubTarget, request: ReceivedRequest) -> bool:
        """Send an answer in pieces, whole or broken off."""
        rng = self._rng
        is_broken_off = rng.random() < self.broken_share
        framing = rng.choice(list(Framing))
        parts = self._parts(stub, request)
        await request.stream.send_all(_head(stub, request, framing, len(parts)))
        if is_broken_off:
            self._broken_off_ids.add(request_id(request))
            parts = parts[: int(len(parts) * rng.uniform(*CUT_RANGE))]
        for piece in _pieces(parts, rng):
            is_chunked = framing is Framing.CHUNKS
            await request.stream.send_all(chunk(piece) if is_chunked else piece)
            await trio.sleep(PIECE_PAUSE_S)
        if is_broken_off:
            if rng.random() < RESET_SHARE:
                reset(request.stream)
            return False
        if framing is Framing.CHUNKS:
            await request.stream.send_all(LAST_CHUNK)
        return framing is not Framing.CLOSE

    def _parts(self, stub: StubTarget, request: ReceivedRequest) -> list[bytes]:
        """Return the parts of the answer, from the first one that is asked for on."""
        asked_id, run_name = request_id(request), f"{stub.id}.{self._run_count}"
        part_count = int(request.target.rpartition("/")[2])
        numbers = range(first_event(request), part_count + 1)
        return [answer_part(asked_id, run_name, n, part_count) for n in numbers]


def answer_part(asked_id: str, run_name: str, number: int, part_count: int) -> bytes:
    """Return one part of a long answer, an event that names its request and run."""
    text = f"id: {number}\ndata: {asked_id} {run_name} {number} {part_count} "
    filler = PART_BYTES - len(text) - len(EVENT_END)
    return text.encode() + b"." * filler + EVENT_END


def _pieces(parts: list[bytes], rng: random.Random) -> Iterator[bytes]:
    """Return `parts` joined in pieces of several parts."""
    position = 0
    while position < len(parts):
        end = position + rng.randrange(*PIECE_RANGE_PARTS)
        yield b"".join(parts[position:end])
        position = end


def _head(
    stub: StubTarget, request: ReceivedRequest, framing: Framing, part_count: int
) -> bytes:
    """Return the head of a long answer."""
    fields = stub.seal(request)
    if request.target.startswith(STREAM_PATHS):
        fields["Content-Type"] = "text/event-stream"
    if framing is Framing.LENGTH:
        fields["Content-Length"] = str(part_count * PART_BYTES)
    if framing is Framing.CHUNKS:
        fields["Transfer-Encoding"] = "chunked"
    lines = [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
