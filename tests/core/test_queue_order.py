"""Tests of the order in which queued requests get free slots."""

from dataclasses import dataclass

import msgspec
from nose2.tools import params

from scaleloom_core.ids import CustomerId
from scaleloom_core.queue_order import (
    UNCACHED_EXEMPTION_PERIOD,
    QueuedRequest,
    expected_wait_s,
    queue_rank,
)

TYPICAL = QueuedRequest(
    "r-1", CustomerId("c"), priority=1, route_priority=1, deadline_s=10.0
)


@dataclass
class _CustomerLoad:
    """How many requests the customer has in flight, and the mean of all customers."""

    in_flight: int = 2
    mean_in_flight: float = 2.0


def _rank(customer_load: _CustomerLoad, **changed: object):
    """Return the sort key of a typical request that differs in `changed`."""
    queued = msgspec.structs.replace(TYPICAL, **changed)
    return queue_rank(queued, customer_load.in_flight, customer_load.mean_in_flight)


# Each change ranks a request lower than all changes before it together.
LOWER_RANKED = [
    {"deadline_s": 11.0},
    {"needs_prefill": True, "request_id": "r-2"},
    {"is_overdue": True},
    {"route_priority": 2},
    {"priority": 2},
]


@params(*range(len(LOWER_RANKED)))
def test_each_criterion_outweighs_all_that_come_after_it(number):
    lower_in_all_before: dict[str, object] = {}
    for lesser in LOWER_RANKED[:number]:
        lower_in_all_before |= lesser
    assert _rank(_CustomerLoad(), **lower_in_all_before) < _rank(
        _CustomerLoad(), **LOWER_RANKED[number]
    )


def test_a_surging_customer_is_queued_after_the_others():
    surging = _CustomerLoad(in_flight=9)
    assert _rank(_CustomerLoad(), needs_prefill=True) < _rank(surging)
    assert _rank(surging) < _rank(_CustomerLoad(), is_overdue=True)


def test_the_customer_with_the_fewest_in_flight_is_first_among_equals():
    assert _rank(_CustomerLoad(in_flight=1), deadline_s=99.0) < _rank(
        _CustomerLoad(in_flight=2)
    )


def test_some_requests_with_uncached_prompts_are_not_deferred():
    cached = _rank(_CustomerLoad())
    alike = [
        _rank(_CustomerLoad(), needs_prefill=True, request_id=f"r-{n}") == cached
        for n in range(4000)
    ]
    assert abs(sum(alike) / len(alike) - 1 / UNCACHED_EXEMPTION_PERIOD) < 0.03


@params((0, 0.0, 0.0), (0, 10.0, 0.0), (3, 10.0, 0.3), (1, 0.0, float("inf")))
def test_the_expected_wait_follows_from_the_rate_of_freed_slots(
    ahead, freed_per_s, wait_s
):
    assert expected_wait_s(ahead, freed_per_s) == wait_s
