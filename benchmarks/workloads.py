"""Chats that return after pauses, for the two deployments of the brief."""

import itertools
import random
from dataclasses import dataclass

from benchmarks.fake_engine import Turn
from benchmarks.pool_model import Pool
from scaleloom_core.ids import ChatId, CustomerId

CUSTOMER_COUNT = 10
ZIPF_EXPONENT = 1.1
SHED_RETRY_S = 4.0
SHED_RETRY_LIMIT = 3
SURGING_CUSTOMER = 9


@dataclass(frozen=True)
class Workload:
    """
    How chats come, grow and return.

    Parameters
    ----------
    name : str
        The deployment.
    engines : int
        Engines of the pool.
    chats_per_s : float
        New chats a second.
    turns : float
        Mean number of turns of a chat.
    first_tokens, more_tokens : int
        Mean prompt of the first turn, and what each turn adds.
    output_tokens : int
        Mean answer.
    short_pause_s, long_pause_s : float
        Mean pauses between turns; one in eight is long.
    """

    name: str
    engines: int
    chats_per_s: float
    turns: float
    first_tokens: int
    more_tokens: int
    output_tokens: int
    short_pause_s: float
    long_pause_s: float
    cache_tokens: int = 400_000


DESK = Workload("appraisal desk", 10, 2.6, 6, 900, 250, 120, 15.0, 180.0)
COOPERATIVE = Workload(
    "cooperative", 10, 1.2, 8, 3500, 700, 150, 20.0, 240.0, 1_200_000
)


@dataclass(frozen=True)
class Surge:
    """
    A while in which many more chats begin.

    Parameters
    ----------
    from_s, until_s : float
        When it is on.
    factor : float
        By how much new chats multiply.
    one_customer_share : float
        Share of them that one customer begins.
    """

    from_s: float
    until_s: float
    factor: float
    one_customer_share: float = 0.0


class Callers:
    """
    Drives a pool with a workload.

    Parameters
    ----------
    pool : Pool
        Where turns go.
    workload : Workload
        How they come.
    seed : int
        Fixes every random choice.
    until_s : float
        When no new chat begins any more.
    surge : Surge or None
        When new chats surge, and whose.
    deadline_s : float or None
        How long each caller waits for its whole answer.
    """

    def __init__(
        self,
        pool: Pool,
        workload: Workload,
        seed: int,
        until_s: float,
        surge: Surge | None = None,
        deadline_s: float | None = None,
    ) -> None:
        self._pool = pool
        self._workload = workload
        self._seed = seed
        self._deadline_s = deadline_s
        self._random = random.Random(seed + 1000)
        self._until_s = until_s
        self._surge = surge
        self._numbers = itertools.count()
        weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, CUSTOMER_COUNT + 1)]
        self._customer_weights = weights
        self._next_arrival()

    def _rate_per_s(self) -> float:
        """Return how many chats begin a second now."""
        rate = self._workload.chats_per_s
        return rate * self._surge.factor if self._is_surging() else rate

    def _is_surging(self) -> bool:
        """Return whether the surge is on."""
        if self._surge is None:
            return False
        return self._surge.from_s <= self._pool.now_s < self._surge.until_s

    def _next_arrival(self) -> None:
        """Wait for the next new chat."""
        delay_s = self._random.expovariate(self._rate_per_s())
        self._pool.at(delay_s, self._arrive)

    def _arrive(self) -> None:
        """Begin a chat, whose course depends on nothing but its number."""
        if self._pool.now_s < self._until_s:
            self._next_arrival()
        number = next(self._numbers)
        course = random.Random(self._seed * 1_000_003 + number)
        ranks = range(CUSTOMER_COUNT)
        customer = course.choices(ranks, self._customer_weights)[0]
        if self._is_surging() and course.random() < self._surge.one_customer_share:
            customer = SURGING_CUSTOMER
        turns = max(1, round(course.expovariate(1 / self._workload.turns)))
        turn = Turn(
            CustomerId(f"customer-{customer}"),
            ChatId(f"chat-{number}"),
            0,
            _spread(course, self._workload.first_tokens),
            _spread(course, self._workload.output_tokens),
            self._deadline_s,
        )
        self._ask(turn, turns, course)

    def _ask(
        self, turn: Turn, turns_left: int, course: random.Random, tries: int = 0
    ) -> None:
        """Ask one turn, a few times more if it was shed."""

        def on_end(is_served: bool) -> None:
            if tries:
                self._pool.outcome.came_back += 1
                self._pool.outcome.came_back_served += is_served
            if not is_served and tries < SHED_RETRY_LIMIT:
                self._pool.at(
                    self._told_wait_s(),
                    lambda: self._ask(turn, turns_left, course, tries + 1),
                )
            elif is_served and turns_left > 1:
                pause_s = self._pause_s(course)
                following = self._following(turn, course)
                self._pool.at(
                    pause_s, lambda: self._ask(following, turns_left - 1, course)
                )

        if self._pool.now_s < self._until_s:
            self._pool.submit(turn, on_end)

    def _told_wait_s(self) -> float:
        """Return when a shed caller was told to come back, if it was."""
        told_s = self._pool.told_wait_s
        return SHED_RETRY_S if told_s is None else told_s

    def _following(self, turn: Turn, course: random.Random) -> Turn:
        """Return the next turn of a chat."""
        grown = turn.prompt_tokens + turn.output_tokens
        return Turn(
            turn.customer,
            turn.chat,
            turn.number + 1,
            grown + _spread(course, self._workload.more_tokens),
            _spread(course, self._workload.output_tokens),
            self._deadline_s,
        )

    def _pause_s(self, course: random.Random) -> float:
        """Return how long a caller thinks before the next turn."""
        is_long = course.random() < 1 / 8
        mean_s = (
            self._workload.long_pause_s if is_long else self._workload.short_pause_s
        )
        return course.expovariate(1 / mean_s)


def _spread(course: random.Random, mean: int) -> int:
    """Return a length around `mean`."""
    return max(8, int(mean * course.uniform(0.5, 1.5)))
