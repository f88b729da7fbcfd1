"""Tests of who is placed first of those that wait."""

from dataclasses import dataclass

import msgspec
from nose2.tools import params

from scaleloom_core.ids import CustomerId
from scaleloom_core.waiting_order import UNKEPT_TURN, Claim, expected_wait_s, rank

USUAL = Claim("r-1", CustomerId("c"), priority=1, route_priority=1, deadline_s=10.0)


@dataclass
class _Holding:
    """How many places a request's customer holds, and the others on average."""

    held: int = 2
    mean_held: float = 2.0


def _rank(holding: _Holding, **changed: object):
    """Return the rank of a usual request that differs in `changed`."""
    claim = msgspec.structs.replace(USUAL, **changed)
    return rank(claim, holding.held, holding.mean_held)


# Each later one says less for a request than those before it.
WEAKER = [
    {"deadline_s": 11.0},
    {"reads_prompt": True, "request_id": "r-2"},
    {"is_overdue": True},
    {"route_priority": 2},
    {"priority": 2},
]


@params(*range(len(WEAKER)))
def test_each_reason_outweighs_all_that_come_after_it(number):
    weak_in_all_below: dict[str, object] = {}
    for lesser in WEAKER[:number]:
        weak_in_all_below |= lesser
    assert _rank(_Holding(), **weak_in_all_below) < _rank(_Holding(), **WEAKER[number])


def test_a_customer_that_surges_stands_behind_the_others():
    surging = _Holding(held=9)
    assert _rank(_Holding(), reads_prompt=True) < _rank(surging)
    assert _rank(surging) < _rank(_Holding(), is_overdue=True)


def test_who_holds_least_goes_first_among_those_alike():
    assert _rank(_Holding(held=1), deadline_s=99.0) < _rank(_Holding(held=2))


def test_some_requests_whose_prompt_nobody_keeps_are_not_put_behind():
    kept = _rank(_Holding())
    alike = [
        _rank(_Holding(), reads_prompt=True, request_id=f"r-{n}") == kept
        for n in range(4000)
    ]
    assert abs(sum(alike) / len(alike) - 1 / UNKEPT_TURN) < 0.03


@params((0, 0.0, 0.0), (0, 10.0, 0.0), (3, 10.0, 0.3), (1, 0.0, float("inf")))
def test_the_expected_wait_follows_from_the_places_that_become_free(
    ahead, freed_per_s, wait_s
):
    assert expected_wait_s(ahead, freed_per_s) == wait_s
