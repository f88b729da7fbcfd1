"""Whether callers got heads that are none by the rules of HTTP."""

from soak.callers import Observations
from soak.malformed_heads import MARK
from soak.site import SoakSite

MIN_STATUS, MAX_STATUS = 100, 599


def check_heads(site: SoakSite, observations: Observations) -> list[str]:
    """Return the answers with a defective head that were passed on to callers."""
    return [
        f"{result.request_id} ({result.kind}) of {result.gateway.name}"
        f" at {result.ended_s:.2f}: {result.answer.headers.get(MARK, '-')},"
        f" status {result.answer.status}"
        for result in observations.results
        if MARK in result.answer.headers or not _is_status(result.answer.status)
    ]


def _is_status(status: int | None) -> bool:
    """Return whether a caller got no answer, or one with a status."""
    return status is None or MIN_STATUS <= status <= MAX_STATUS
