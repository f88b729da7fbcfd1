"""
Tests of answers with odd heads that the own path reads through a library.

Guards against such answers that callers get, or that are stored for an idempotency key.
"""

import msgspec
from nose2.tools import params

from scaleloom_fleet.http1.answer_heads import HeadFault
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer
from tests.fixtures.odd_heads import ODD_HEADS, OddHead, sound_head
from tests.fixtures.own_path import own_path
from tests.fixtures.stub_targets import chunk

# The library joins folded lines and takes bare LF.
HIDDEN = {
    name
    for name, odd in ODD_HEADS.items()
    if odd.fault is HeadFault.FOLDED_LINE or name.startswith("bare LF")
}
SEEN = [name for name in ODD_HEADS if name not in HIDDEN]
JSON_BODY = b'{"filed": [1, 2]}'
LAST_EVENT = b"data: [DONE]\n\n"


def _raw(odd: OddHead, media_type: str, body: bytes) -> bytes:
    """Return an answer with an odd head and a sound body."""
    seal = {"Content-Type": media_type}
    head = odd.apply(sound_head(seal, odd.is_chunked, len(body)))
    return head + (chunk(body) + b"0\r\n\r\n" if odd.is_chunked else body)


def _is_failure(answer: Answer) -> bool:
    """Return whether the answer says that the target failed."""
    return answer.status == 502 and "odd" not in answer.headers


@params(*SEEN)
@runs_on_paused_clock
async def test_an_odd_answer_of_a_service_is_not_passed_on(name):
    raw = _raw(ODD_HEADS[name], "application/json", JSON_BODY)
    async with own_path("service", raw) as path:
        once = await path.call_service("GET")
        keyed = [await path.call_service("POST", "k-1") for _ in range(2)]
    for answer in (once, *keyed):
        assert _is_failure(answer), answer
        assert "x-scaleloom-replayed" not in answer.headers


@params(*SEEN)
@runs_on_paused_clock
async def test_an_odd_answer_of_an_engine_is_not_passed_on(name):
    raw = _raw(ODD_HEADS[name], "text/event-stream", LAST_EVENT)
    async with own_path("engine", raw) as path:
        answer = await path.ask_chat()
    assert _is_failure(answer), answer
    assert msgspec.json.decode(answer.body)["kind"] == "target_failed"
