"""The HTTP headers of a request from a router to a sidecar, and of the reply."""

import msgspec

from scaleloom_core.admission import WorkOffer
from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.ids import AttemptId, ChatId, CustomerId
from scaleloom_core.placement import Standing

SECRET = "x-scaleloom-secret"
HOP = "x-scaleloom-hop"
ATTEMPT = "x-scaleloom-attempt"
REFUSAL = "x-scaleloom-refusal"
ALTERNATIVE = "x-scaleloom-alternative"
OUTCOME = "x-scaleloom-outcome"
RETRY_AFTER_S = "x-scaleloom-retry-after-s"
LEAVING = "x-scaleloom-leaving"


class Hop(msgspec.Struct, frozen=True, omit_defaults=True):
    """The facts about a request that a router sends to a sidecar in one header."""

    attempt: AttemptId
    customer: CustomerId
    chat: ChatId
    customer_weight: float = 1.0
    priority: int = 0
    model: str = ""
    is_returning: bool = False
    is_final: bool = False
    standing: Standing = Standing.HOME
    time_left_s: float | None = None
    received_wall_s: float = 0.0

    @property
    def offer(self) -> WorkOffer:
        """Return the offer to the admission controller of the sidecar."""
        return WorkOffer(
            customer=self.customer,
            chat=self.chat,
            customer_weight=self.customer_weight,
            is_returning=self.is_returning,
            is_final=self.is_final,
            standing=self.standing,
            time_left_s=self.time_left_s,
        )


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Hop)


def hop_headers(hop: Hop, secret: str) -> dict[str, str]:
    """Return the headers that carry `hop`."""
    return {SECRET: secret, HOP: _encoder.encode(hop).decode("ascii")}


def read_hop(headers: dict[str, str]) -> Hop:
    """
    Return the hop that `headers` carry.

    Raises
    ------
    KeyError, msgspec.DecodeError
        If the header is missing or malformed.
    """
    return _decoder.decode(headers[HOP])


def refusal_headers(error: FleetError) -> dict[str, str]:
    """Return the headers that report a refusal to the router."""
    headers = {
        REFUSAL: error.kind.value,
        OUTCOME: error.known_outcome.value,
    }
    if error.alternative is not None:
        headers[ALTERNATIVE] = error.alternative
    if error.retry_after_s is not None:
        headers[RETRY_AFTER_S] = f"{error.retry_after_s:.3f}"
    return headers


def read_refusal(headers: dict[str, str], detail: str) -> FleetError | None:
    """Return the refusal that the `headers` of a reply report, or None."""
    kind = headers.get(REFUSAL)
    if kind is None:
        return None
    retry_after = headers.get(RETRY_AFTER_S)
    return FleetError(
        kind=ErrorKind(kind),
        detail=detail,
        retry_after_s=None if retry_after is None else float(retry_after),
        alternative=headers.get(ALTERNATIVE),
        outcome=Outcome(headers[OUTCOME]),
    )
