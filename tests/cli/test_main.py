"""Tests of the commands for operators."""

import socket
import tempfile
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import trio
from click.testing import CliRunner
from nose2.tools import params

from scaleloom_cli.main import main
from scaleloom_standins.local_fleet import OPERATOR_TOKEN
from tests.fixtures.fleets import MODEL, runs_in_trio, small_fleet

READ_BYTES = 65536
BURST = f"[burst deadline]\nmodel = {MODEL}\nreplicas = 2\n"


def _run(*arguments: str):
    return CliRunner().invoke(main, list(arguments))


def test_check_reports_every_problem_of_an_intent():
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "intent.ini"
        path.write_text("[model m]\nreplicas = few\n[odd]\n", encoding="utf-8")
        result = _run("check", str(path), "--role", "intent")
        assert (result.exit_code, "2 problems" in result.output) == (78, True)
        path.write_text(BURST, encoding="utf-8")
        assert _run("check", str(path), "--role", "intent").exit_code == 0


def test_unreachable_router_is_reported():
    result = _run("--router", "http://127.0.0.1:9", "status")
    assert (result.exit_code, "cannot be reached" in result.output) == (1, True)


@contextmanager
def _answering(raw: bytes) -> Iterator[str]:
    """Yield the URL of a server that answers one request with `raw` and closes."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def answer() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(READ_BYTES)
                connection.sendall(raw)

        thread = threading.Thread(target=answer)
        thread.start()
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
        thread.join()


@params(
    b"HTTP/1.1 200 OK\r\n\r\n[{",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
)
def test_a_broken_off_answer_is_reported(raw):
    with _answering(raw) as url:
        result = _run("--router", url, "--token", OPERATOR_TOKEN, "history")
    assert (result.exit_code, "broke off" in result.output) == (1, True)


@params(
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nOdd: va\x07lue\r\n\r\n[]",
    b"HTTP/3.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
)
def test_an_answer_with_an_odd_head_is_reported(raw):
    # It was taken for the answer of a router or of the store.
    with _answering(raw) as url:
        result = _run("--router", url, "--token", OPERATOR_TOKEN, "history")
    assert (result.exit_code, "not valid" in result.output) == (1, True)
    with _answering(raw) as url:
        store = url.removeprefix("http://")
        result = _run("quarantine", "--store", store, "list")
    assert (result.exit_code, "not valid" in result.output) == (1, True)


def test_a_whole_answer_needs_no_length():
    with _answering(b"HTTP/1.1 200 OK\r\n\r\n[]") as url:
        assert (
            _run("--router", url, "--token", OPERATOR_TOKEN, "history").exit_code == 0
        )


def test_trace_sorts_lines_of_several_files_by_time():
    first = '  0.5 front-1 {"time": "2", "instance": "a", "message": "not served", '
    first += '"request": "r-1", "kind": "overloaded"}\nnoise\n{"time": "1"}\n'
    second = '{"time": "1", "instance": "b", "message": "cut", "request_id": "r-1"}\n'
    second += '{"time": "0", "instance": "b", "request": "r-2"}\n{"time": '
    with tempfile.TemporaryDirectory() as directory:
        files = [Path(directory) / name for name in ("a.log", "b.log")]
        for file, text in zip(files, (first, second), strict=True):
            file.write_text(text, encoding="utf-8")
        result = _run("trace", "r-1", *map(str, files))
        assert result.output.splitlines() == [
            "1  b  cut",
            "2  a  not served  kind=overloaded",
        ]
        assert _run("trace", "r-9", str(files[0])).exit_code == 1


@runs_in_trio
async def test_intent_is_planned_confirmed_and_shown():
    async with small_fleet(2, 0, 1) as fleet:
        await trio.to_thread.run_sync(_run_operator_commands, fleet)


def _run_operator_commands(fleet) -> None:
    router = ("--router", fleet.address("r1").url(""))
    operator = (*router, "--token", OPERATOR_TOKEN)
    intent = fleet.directory / "burst.ini"
    intent.write_text(BURST, encoding="utf-8")
    plan = str(fleet.directory / "burst.plan")
    assert _run(*router, "plan", str(intent)).exit_code == 1
    planned = _run(*operator, "plan", str(intent), "--out", plan)
    assert "Nothing has changed" in planned.output
    confirmed = _run(*operator, "confirm", plan)
    assert "by ana" in confirmed.output
    repeated = _run(*operator, "confirm", plan)
    assert (repeated.exit_code, "was changed by 'ana'" in repeated.output) == (1, True)
    assert MODEL in _run(*operator, "status").output
    explain_arguments = (
        "explain",
        "chat-1",
        "--customer",
        "appraisal",
        "--model",
        MODEL,
    )
    explained = _run(*operator, *explain_arguments)
    assert "rendezvous" in explained.output and "e1" in explained.output
    assert "accepted ana" in _run(*operator, "history").output
