"""Tests of settings that change while a gateway runs."""

import signal
import tempfile
from pathlib import Path

import trio
import trio.testing
from nose2.tools import params

from scaleloom_fleet.conf import load_gateway_settings
from scaleloom_fleet.gateway.process import make_state
from scaleloom_fleet.gateway.reloading import reload_at_signals, reload_settings
from tests.fixtures.fleets import runs_in_trio

REFERENCE = Path(__file__).parents[2] / "docs" / "reference" / "gateway.ini"
TEXT = REFERENCE.read_text(encoding="utf-8")
MULTIPLE = "# load_multiple = 2.0"
MANY_CALLERS = 10**6


def _state_and_path(directory: str):
    path = Path(directory) / "gateway.ini"
    path.write_text(TEXT, encoding="utf-8")
    return make_state(load_gateway_settings(path).unwrap()), path


def test_good_settings_are_taken():
    with tempfile.TemporaryDirectory() as directory:
        state, path = _state_and_path(directory)
        path.write_text(TEXT.replace(MULTIPLE, "load_multiple = 3.0"))
        assert reload_settings(state, path)
    assert state.chooser.bound_multiple == 3.0


@params(
    TEXT.replace(MULTIPLE, "load_multiple = 0.2"),
    TEXT[: len(TEXT) // 6],
    "",
    "[instance",
)
def test_bad_or_half_written_settings_change_nothing(text):
    with tempfile.TemporaryDirectory() as directory:
        state, path = _state_and_path(directory)
        path.write_text(text)
        assert not reload_settings(state, path)
    assert state.chooser.bound_multiple == 2.0


def test_a_limit_without_end_is_taken_and_limits_nothing():
    with tempfile.TemporaryDirectory() as directory:
        state, path = _state_and_path(directory)
        path.write_text(TEXT.replace("# memory_mb = 0.0", "memory_mb = inf"))
        assert reload_settings(state, path)
    assert state.own_limits.lacking_for_caller(MANY_CALLERS, 0) is None


@runs_in_trio
async def test_a_hang_up_signal_reads_the_settings_again():
    with tempfile.TemporaryDirectory() as directory:
        state, path = _state_and_path(directory)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reload_at_signals, state, path)
            await trio.testing.wait_all_tasks_blocked()
            path.write_text(TEXT.replace(MULTIPLE, "load_multiple = 4.0"))
            signal.raise_signal(signal.SIGHUP)
            with trio.fail_after(2.0):
                while state.chooser.bound_multiple != 4.0:
                    await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
