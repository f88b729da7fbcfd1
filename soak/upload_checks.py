"""Whether the answers to uploads are whole, as their callers got them."""

from scaleloom_fleet.http1.links import BodyDelimiter
from soak.callers import CallerResult
from soak.disturbances import is_undisturbed
from soak.endless_answers import FILLER
from soak.long_routes import LONG
from soak.site import SoakSite
from soak.upload_answers import whole_upload_body

SHOWN_BYTES = 100


def find_upload_problem(
    site: SoakSite, result: CallerResult, length: int
) -> str | None:
    """
    Return what is wrong with the answer to an upload of `length` bytes, or None.

    No target ends such an answer normally unless it is whole, so one that only its
    connection delimits must not end so either.
    """
    answer = result.answer
    if answer.status != 200 or not answer.is_complete:
        return None
    if answer.body in (
        whole_upload_body(result.kind, result.request_id, length),
        FILLER,
    ):
        return None
    if answer.delimiter is BodyDelimiter.CONNECTION and _was_cut(site, result):
        return None
    return (
        f"{answer.body[:SHOWN_BYTES]!r}, ended as complete by"
        f" {answer.delimiter.value}, where {length} bytes were sent"
    )


def _was_cut(site: SoakSite, result: CallerResult) -> bool:
    """Return whether the soak closed connections on the way of a request."""
    from_s, to_s = result.started_s, result.ended_s
    times_s = [result.gateway.disturbances_s]
    times_s += [
        target.path_disturbances_s
        for target in site.all_targets()
        if target.service == LONG
    ]
    return not all(is_undisturbed(each_s, from_s, to_s) for each_s in times_s)
