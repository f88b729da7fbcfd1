"""Headers of requests and answers as they are passed on."""

from scaleloom_core.listed import ListedTarget
from scaleloom_fleet.gateway.interfaces import HeaderNames
from scaleloom_fleet.gateway.matching import Match
from scaleloom_fleet.http1.callers import CallerRequest
from scaleloom_fleet.http1.links import AnswerHead, HeaderList, OutgoingRequest

HIGHEST_URGENCY_NUMBER = 9
ONE_CONNECTION_ONLY = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_NOT_FOR_TARGETS = ONE_CONNECTION_ONLY | {
    b"authorization",
    b"content-length",
    b"expect",
}


def _named_by_connection(value: bytes) -> set[bytes]:
    """Return the headers that a Connection header names."""
    return {name.strip().lower() for name in value.split(b",")}


def request_for(
    target: ListedTarget,
    match: Match,
    request: CallerRequest,
    names: HeaderNames,
    last_event_id: bytes | None,
    cache_source: ListedTarget | None,
    now_s: float,
) -> OutgoingRequest:
    """Return `request` as `target` gets it at `now_s`."""
    dropped = set(_NOT_FOR_TARGETS | names.reserved)
    dropped |= _named_by_connection(request.values.get(b"connection", b""))
    dropped -= {names.request_id.lower(), b"host"}
    if not match.route.is_resumable:
        dropped.add(names.last_event_id.lower())
    ours: HeaderList = [
        (names.deadline, str(match.left_ms(now_s)).encode()),
        (names.expected_target, target.key.encode()),
    ]
    if match.policy.is_engine:
        urgency = min(HIGHEST_URGENCY_NUMBER, max(0, match.priority))
        ours.append((names.priority, str(urgency).encode()))
    if match.customer is not None:
        ours.append((names.customer, match.customer.encode()))
    if cache_source is not None:
        source = f"{cache_source.host}:{cache_source.port}"
        ours.append((names.cache_source, source.encode()))
    if last_event_id is not None:
        ours.append((names.last_event_id, last_event_id))
    dropped |= {name.lower() for name, _ in ours}
    headers = [item for item in request.headers if _folded(item[0]) not in dropped]
    return OutgoingRequest(request.method, request.target, headers + ours, request.body)


def _folded(name: bytes) -> bytes:
    """Return `name` as servers that take ``_`` for ``-`` would read it."""
    return name.lower().replace(b"_", b"-")


def answer_headers(head: AnswerHead, keeps_length: bool) -> HeaderList:
    """Return the headers of a target's answer as the caller gets them."""
    dropped = set(ONE_CONNECTION_ONLY)
    dropped |= _named_by_connection(head.find(b"connection") or b"")
    if not keeps_length:
        dropped.add(b"content-length")
    return [item for item in head.headers if item[0].lower() not in dropped]
