"""Tests of the settings of property tests."""

import time
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.internal.conjecture import providers

# Guards against failures of property tests by a slow first draw, at which Hypothesis
# reads all source files of the project. With a deadline it allows 1 s for all
# drawing; a scan of 2.47 s has exceeded that.
SCAN_S = 2.47


def test_a_slow_scan_of_the_sources_fails_no_property_test():
    drawn = []
    scanned = []

    def scan_slowly(path):
        if not scanned:
            time.sleep(SCAN_S)
        scanned.append(path)
        return False

    @given(st.lists(st.integers(), min_size=40, max_size=60))
    @settings(max_examples=20, database=None)
    def property_of_lists(values):
        drawn.append(values)

    with mock.patch.multiple(
        providers,
        _sys_modules_len=None,
        _seen_modules=set(),
        is_local_module_file=scan_slowly,
    ):
        property_of_lists()
    assert scanned
    assert len(drawn) >= 20
