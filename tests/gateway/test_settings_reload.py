"""Tests of reloading the settings of a running gateway."""

import signal
import tempfile
from pathlib import Path

import trio
import trio.testing
from nose2.tools import params

from scaleloom_fleet.conf import load_gateway_settings
from scaleloom_fleet.gateway.process import make_state
from scaleloom_fleet.gateway.settings_reload import reload_on_sighup, reload_settings
from tests.fixtures.fleets import runs_in_trio

REFERENCE = Path(__file__).parents[2] / "docs" / "reference" / "gateway.ini"
SETTINGS_TEXT = REFERENCE.read_text(encoding="utf-8")
MULTIPLE_LINE = "# load_multiple = 2.0"
MANY_CALLERS = 10**6


def _state_and_path(directory: str):
    path = Path(directory) / "gateway.ini"
    path.write_text(SETTINGS_TEXT, encoding="utf-8")
    return make_state(load_gateway_settings(path).unwrap()), path


def test_valid_settings_are_applied():
    with tempfile.TemporaryDirectory() as directory:
        state, path = _state_and_path(directory)
        path.write_text(SETTINGS_TEXT.replace(MULTIPLE_LINE, "load_multiple = 3.0"))
        assert reload_settings(state, path)
    assert state.chooser.bound_multiple == 3.0


@params(
    SETTINGS_TEXT.replace(MULTIPLE_LINE, "load_multiple = 0.2"),
    SETTINGS_TEXT[: len(SETTINGS_TEXT) // 6],
    "",
    "[instance",
)
def test_invalid_or_truncated_settings_are_not_applied(text):
    with tempfile.TemporaryDirectory() as directory:
        state, path = _state_and_path(directory)
        path.write_text(text)
        assert not reload_settings(state, path)
    assert state.chooser.bound_multiple == 2.0


def test_an_infinite_memory_limit_is_no_limit():
    with tempfile.TemporaryDirectory() as directory:
        state, path = _state_and_path(directory)
        path.write_text(SETTINGS_TEXT.replace("# memory_mb = 0.0", "memory_mb = inf"))
        assert reload_settings(state, path)
    assert state.process_limits.find_exhausted_for_caller(MANY_CALLERS, 0) is None


@runs_in_trio
async def test_sighup_reloads_the_settings():
    with tempfile.TemporaryDirectory() as directory:
        state, path = _state_and_path(directory)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reload_on_sighup, state, path)
            await trio.testing.wait_all_tasks_blocked()
            path.write_text(SETTINGS_TEXT.replace(MULTIPLE_LINE, "load_multiple = 4.0"))
            signal.raise_signal(signal.SIGHUP)
            with trio.fail_after(2.0):
                while state.chooser.bound_multiple != 4.0:
                    await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
