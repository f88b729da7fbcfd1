"""Tests of the HTTP server code and the relay, on the mock clock of trio."""

import trio
from trio.testing import MockClock

from scaleloom_core.errors import ErrorKind
from scaleloom_fleet.http.asgi import Request, Route, json_reply
from scaleloom_fleet.http.disconnects import DisconnectWatch
from scaleloom_fleet.http.problems import make_application
from scaleloom_fleet.http.relay import relay_body


def _run(function, *arguments):
    return trio.run(function, *arguments, clock=MockClock(autojump_threshold=0))


async def _parts(pauses_s: list[float]):
    for number, pause_s in enumerate(pauses_s):
        await trio.sleep(pause_s)
        yield f"{number};".encode()


def test_parts_that_are_ready_together_are_written_together():
    written = []

    async def write(part: bytes) -> None:
        written.append(part)

    async def ready_together():
        for number in range(100):
            yield f"{number};".encode()

    _run(relay_body, ready_together(), write)
    assert len(written) == 1 and written[0].count(b";") == 100


def test_parts_are_written_without_waiting_for_later_parts():
    written_at_s = []

    async def write(part: bytes) -> None:
        written_at_s.append(trio.current_time())

    _run(relay_body, _parts([1.0, 1.0, 1.0]), write)
    assert [round(b - a) for a, b in zip(written_at_s, written_at_s[1:])] == [1, 1]


def test_parts_before_an_error_are_written():
    written = []

    async def write(part: bytes) -> None:
        written.append(part)

    async def fail_after_one_part():
        yield b"before"
        raise OSError("cut")

    try:
        _run(relay_body, fail_after_one_part(), write)
    except OSError:
        assert written == [b"before"]
    else:
        raise AssertionError("relay_body did not raise the exception of its source")


def _request(messages: list[dict], headers: dict | None = None) -> Request:
    async def receive() -> dict:
        if messages:
            delay_s, message = messages.pop(0)
            await trio.sleep(delay_s)
            return message
        await trio.sleep_forever()

    async def send(message: dict) -> None:
        raise AssertionError(message)

    return Request("POST", "/", {}, headers or {}, receive, send)


def _body(data: bytes, more: bool = False) -> dict:
    return {"type": "http.request", "body": data, "more_body": more}


def test_a_slow_sender_is_refused():
    request = _request([(1.0, _body(b"a", True)), (60.0, _body(b"b"))])
    result = _run(request.read_body, 1000, 20.0)
    assert result.failure().kind is ErrorKind.SENDER_TIMEOUT


def test_a_long_body_is_refused_before_it_is_complete():
    with_content_length = _request([], {"content-length": "2000"})
    assert (
        _run(with_content_length.read_body, 1000, 20.0).failure().kind
        is ErrorKind.BODY_TOO_LARGE
    )
    without_content_length = _request([(0.0, _body(b"x" * 600, True))] * 2)
    result = _run(without_content_length.read_body, 1000, 20.0)
    assert result.failure().kind is ErrorKind.BODY_TOO_LARGE


def _serve_watched(request: Request, work_s: float) -> float:
    """Return how long the handler of a watched request ran, in seconds."""
    ended_at_s = []

    async def work() -> None:
        try:
            await trio.sleep(work_s)
        finally:
            ended_at_s.append(trio.current_time())

    async def serve() -> float:
        watch = DisconnectWatch()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            started_at_s = trio.current_time()
            assert await watch.serve(request, work) is None
            nursery.cancel_scope.cancel()
        return ended_at_s[0] - started_at_s

    return _run(serve)


def test_a_handler_is_cancelled_when_its_caller_disconnects():
    request = _request([(5.0, {"type": "http.disconnect"})])
    assert 5.0 <= _serve_watched(request, 100.0) <= 5.6


def test_a_handler_runs_on_while_its_caller_is_connected():
    assert _serve_watched(_request([]), 100.0) == 100.0


def test_a_short_request_is_not_watched():
    assert _serve_watched(_request([(0.0, {"type": "http.disconnect"})]), 0.2) == 0.2


def test_an_exception_in_a_handler_is_answered_with_status_500():
    sent = []

    async def fail(request: Request) -> None:
        raise ZeroDivisionError

    async def send(message: dict) -> None:
        sent.append(message)

    async def ask() -> None:
        application = make_application([Route("GET", "/x", fail)])
        scope = {"type": "http", "method": "GET", "path": "/x"}
        await application({**scope, "query_string": b"", "headers": []}, None, send)

    _run(ask)
    assert sent[0]["status"] == 500 and b'"internal"' in sent[1]["body"]


def test_routes_match_parameters_and_the_rest_of_a_path():
    async def handler(request: Request):
        return json_reply({})

    route = Route("GET", "/services/{service}/{path*}", handler)
    assert route.match(["services", "tags", "rol", "7"]) == {
        "service": "tags",
        "path": "rol/7",
    }
    assert Route("GET", "/v1/{a}", handler).match(["v1", "b", "c"]) is None
