"""Tests of how property tests are run."""

import time
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.internal.conjecture import providers

# As long as it took when the test that this mends failed.
READING_S = 2.47


def test_reading_the_sources_slowly_fails_no_property():
    drawn = []
    is_read = []

    def read_slowly(path):
        if not is_read:
            time.sleep(READING_S)
        is_read.append(path)
        return False

    @given(st.lists(st.integers(), min_size=40, max_size=60))
    @settings(max_examples=20, database=None)
    def property_of_lists(values):
        drawn.append(values)

    with mock.patch.multiple(
        providers,
        _sys_modules_len=None,
        _seen_modules=set(),
        is_local_module_file=read_slowly,
    ):
        property_of_lists()
    assert is_read
    assert len(drawn) >= 20
