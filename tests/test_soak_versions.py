"""Tests that the soak strikes gateways while versions change, and judges streams."""

import tempfile
from pathlib import Path

import trio
from nose2.tools import params

from soak.faults import change_versions
from soak.seed_run import SoakResult, run_seed
from soak.version_faults import VERSION_FAULTS

LENGTH_S = 12.0


def _run(seed: int, disabled_mechanism: str | None = None) -> SoakResult:
    """Return the result of one seed whose gateways are struck as versions join."""
    with tempfile.TemporaryDirectory() as directory:
        kinds = (change_versions, *VERSION_FAULTS)
        arguments = (LENGTH_S, Path(directory), 3, disabled_mechanism, kinds)
        return trio.run(run_seed, seed, *arguments)


@params(7801)
def test_streams_keep_their_version_while_gateways_are_struck(seed):
    result = _run(seed)
    assert not result.broken, result.describe()


def test_streams_that_go_on_at_any_version_are_detected_while_versions_join():
    result = _run(7801, "stream-version")
    promise = "a stream holds events of one version"
    assert promise in result.broken, result.describe()
