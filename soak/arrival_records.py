"""What a target records of a request that reached it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Arrival:
    """
    One request that reached a target.

    Parameters
    ----------
    gateway : str
        Name of the gateway that sent the request; empty if it named none.
    arrived_s, ended_s : float
        When the request arrived and when the target was done with it, on trio's clock.
    has_run : bool
        Whether the target ran the request.
    prompt : str
        The parts of its prompt, as listed in its header.
    closed_s : float
        When the gateway closed the connection before the target was done.
    outcome : str
        What the target did, by the name of the function that did it.
    """

    request_id: str
    gateway: str
    target: str
    service: str
    arrived_s: float
    ended_s: float
    has_run: bool
    body: bytes = b""
    prompt: str = ""
    closed_s: float = float("inf")
    outcome: str = ""

    @property
    def was_closed(self) -> bool:
        """Return whether the gateway closed the connection before the answer's end."""
        return self.closed_s < float("inf")
