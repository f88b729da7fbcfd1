"""The HTTP headers of a request from a router to a sidecar, and of the reply."""

import msgspec

from scaleloom_core.admission import RequestOffer
from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.ids import AttemptId, ChatId, CustomerId
from scaleloom_core.placement import CandidateRole

SECRET_HEADER = "x-scaleloom-secret"
HOP_HEADER = "x-scaleloom-hop"
ATTEMPT_HEADER = "x-scaleloom-attempt"
REFUSAL_HEADER = "x-scaleloom-refusal"
ALTERNATIVE_HEADER = "x-scaleloom-alternative"
OUTCOME_HEADER = "x-scaleloom-outcome"
RETRY_AFTER_HEADER = "x-scaleloom-retry-after-s"
LEAVING_HEADER = "x-scaleloom-leaving"


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
    standing: CandidateRole = CandidateRole.HOME
    time_left_s: float | None = None
    received_wall_s: float = 0.0

    @property
    def offer(self) -> RequestOffer:
        """Return the offer to the admission controller of the sidecar."""
        return RequestOffer(
            customer=self.customer,
            chat=self.chat,
            customer_weight=self.customer_weight,
            is_returning=self.is_returning,
            is_final=self.is_final,
            role=self.standing,
            time_left_s=self.time_left_s,
        )


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Hop)


def hop_headers(hop: Hop, secret: str) -> dict[str, str]:
    """Return the headers that carry `hop`."""
    return {SECRET_HEADER: secret, HOP_HEADER: _encoder.encode(hop).decode("ascii")}


def read_hop(headers: dict[str, str]) -> Hop:
    """
    Return the hop that `headers` carry.

    Raises
    ------
    KeyError, msgspec.DecodeError
        If the header is missing or malformed.
    """
    return _decoder.decode(headers[HOP_HEADER])


def refusal_headers(error: FleetError) -> dict[str, str]:
    """Return the headers that report a refusal to the router."""
    headers = {
        REFUSAL_HEADER: error.kind.value,
        OUTCOME_HEADER: error.known_outcome.value,
    }
    if error.alternative is not None:
        headers[ALTERNATIVE_HEADER] = error.alternative
    if error.retry_after_s is not None:
        headers[RETRY_AFTER_HEADER] = f"{error.retry_after_s:.3f}"
    return headers


def read_refusal(headers: dict[str, str], detail: str) -> FleetError | None:
    """Return the refusal that the `headers` of a reply report, or None."""
    kind = headers.get(REFUSAL_HEADER)
    if kind is None:
        return None
    retry_after = headers.get(RETRY_AFTER_HEADER)
    return FleetError(
        kind=ErrorKind(kind),
        detail=detail,
        retry_after_s=None if retry_after is None else float(retry_after),
        alternative=headers.get(ALTERNATIVE_HEADER),
        outcome=Outcome(headers[OUTCOME_HEADER]),
    )
