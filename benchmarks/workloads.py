"""Simulated chat workloads of two deployments: turns return after pauses."""

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
    Rate, length and pauses of the chats of a deployment.

    Parameters
    ----------
    name : str
        Name of the deployment.
    engines : int
        Number of engines in the pool.
    chats_per_s : float
        New chats per second.
    turns : float
        Mean number of turns of a chat.
    first_tokens, more_tokens : int
        Mean prompt tokens of the first turn, and mean tokens that each turn adds.
    output_tokens : int
        Mean tokens of an answer.
    short_pause_s, long_pause_s : float
        Mean pauses between turns; one pause in eight is a long one.
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


APPRAISAL_DESK = Workload("appraisal desk", 10, 2.6, 6, 900, 250, 120, 15.0, 180.0)
COOPERATIVE = Workload(
    "cooperative", 10, 1.2, 8, 3500, 700, 150, 20.0, 240.0, 1_200_000
)


@dataclass(frozen=True)
class Surge:
    """
    A period with a higher rate of new chats.

    Parameters
    ----------
    from_s, until_s : float
        Start and end of the period.
    factor : float
        Factor by which the rate of new chats grows.
    one_customer_share : float
        Share of the new chats that belong to one customer.
    """

    from_s: float
    until_s: float
    factor: float
    one_customer_share: float = 0.0


class LoadGenerator:
    """
    Generates the requests of a workload for a pool.

    Parameters
    ----------
    pool : Pool
        Pool to which the turns are submitted.
    workload : Workload
        Workload to generate.
    seed : int
        Seed of all random choices.
    until_s : float
        Time after which no new chat begins.
    surge : Surge or None
        Period with more new chats, if any.
    deadline_s : float or None
        Time that each caller waits for a complete answer.
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
        self._chat_numbers = itertools.count()
        weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, CUSTOMER_COUNT + 1)]
        self._customer_weights = weights
        self._schedule_arrival()

    def _rate_per_s(self) -> float:
        """Return the current rate of new chats per second."""
        rate = self._workload.chats_per_s
        return rate * self._surge.factor if self._is_surging() else rate

    def _is_surging(self) -> bool:
        """Return whether the surge is in progress."""
        if self._surge is None:
            return False
        return self._surge.from_s <= self._pool.now_s < self._surge.until_s

    def _schedule_arrival(self) -> None:
        """Schedule the next new chat."""
        delay_s = self._random.expovariate(self._rate_per_s())
        self._pool.schedule(delay_s, self._arrive)

    def _arrive(self) -> None:
        """Begin a chat; its random choices depend only on the seed and its number."""
        if self._pool.now_s < self._until_s:
            self._schedule_arrival()
        number = next(self._chat_numbers)
        rng = random.Random(self._seed * 1_000_003 + number)
        ranks = range(CUSTOMER_COUNT)
        customer = rng.choices(ranks, self._customer_weights)[0]
        if self._is_surging() and rng.random() < self._surge.one_customer_share:
            customer = SURGING_CUSTOMER
        turns = max(1, round(rng.expovariate(1 / self._workload.turns)))
        turn = Turn(
            CustomerId(f"customer-{customer}"),
            ChatId(f"chat-{number}"),
            0,
            _draw_length(rng, self._workload.first_tokens),
            _draw_length(rng, self._workload.output_tokens),
            self._deadline_s,
        )
        self._submit(turn, turns, rng)

    def _submit(
        self, turn: Turn, turns_left: int, rng: random.Random, retries: int = 0
    ) -> None:
        """Submit one turn, with up to `SHED_RETRY_LIMIT` retries if it is shed."""

        def on_end(is_served: bool) -> None:
            if retries:
                self._pool.outcome.retried += 1
                self._pool.outcome.retried_served += is_served
            if not is_served and retries < SHED_RETRY_LIMIT:
                self._pool.schedule(
                    self._retry_delay_s(),
                    lambda: self._submit(turn, turns_left, rng, retries + 1),
                )
            elif is_served and turns_left > 1:
                pause_s = self._pause_s(rng)
                next_turn = self._next_turn(turn, rng)
                self._pool.schedule(
                    pause_s, lambda: self._submit(next_turn, turns_left - 1, rng)
                )

        if self._pool.now_s < self._until_s:
            self._pool.submit(turn, on_end)

    def _retry_delay_s(self) -> float:
        """Return the delay before the retry of a shed turn, in seconds."""
        retry_after_s = self._pool.retry_after_s
        return SHED_RETRY_S if retry_after_s is None else retry_after_s

    def _next_turn(self, turn: Turn, rng: random.Random) -> Turn:
        """Return the next turn of a chat."""
        prefix_tokens = turn.prompt_tokens + turn.output_tokens
        return Turn(
            turn.customer,
            turn.chat,
            turn.number + 1,
            prefix_tokens + _draw_length(rng, self._workload.more_tokens),
            _draw_length(rng, self._workload.output_tokens),
            self._deadline_s,
        )

    def _pause_s(self, rng: random.Random) -> float:
        """Return the pause before the next turn, in seconds."""
        is_long = rng.random() < 1 / 8
        mean_s = (
            self._workload.long_pause_s if is_long else self._workload.short_pause_s
        )
        return rng.expovariate(1 / mean_s)


def _draw_length(rng: random.Random, mean: int) -> int:
    """Return a random number of tokens, from half to 1.5 times `mean`."""
    return max(8, int(mean * rng.uniform(0.5, 1.5)))
