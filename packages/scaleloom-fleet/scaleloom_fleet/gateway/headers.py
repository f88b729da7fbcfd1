"""Headers of requests and answers as they are forwarded."""

from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.gateway.interfaces import HeaderNames
from scaleloom_fleet.gateway.matching import Match
from scaleloom_fleet.http1.callers import CallerRequest
from scaleloom_fleet.http1.links import AnswerHead, HeaderList, OutgoingRequest

MAX_URGENCY = 9
HOP_BY_HOP = frozenset(
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
# Servers accept heads of 8 kB at least; the store's keys have 255 bytes at most.
MAX_NAME_CHARACTERS = 255
_NOT_FORWARDED = HOP_BY_HOP | {
    b"authorization",
    b"content-length",
    b"expect",
}


def is_header_value(name: str) -> bool:
    """Return whether a name from a document may be sent as the value of a header."""
    is_trimmed = bool(name) and name == name.strip()
    return is_trimmed and name.isprintable() and len(name) <= MAX_NAME_CHARACTERS


def _connection_options(value: bytes) -> set[bytes]:
    """Return the header names that a Connection header lists."""
    return {name.strip().lower() for name in value.split(b",")}


def outgoing_request(
    target: ListedTarget,
    match: Match,
    request: CallerRequest,
    names: HeaderNames,
    last_event_id: bytes | None,
    cache_source: ListedTarget | None,
    now_s: float,
) -> OutgoingRequest:
    """Return `request` as it is sent to `target` at `now_s`."""
    dropped = set(_NOT_FORWARDED | names.reserved)
    dropped |= _connection_options(request.values.get(b"connection", b""))
    dropped -= {names.request_id.lower(), b"host"}
    if not match.route.is_resumable:
        dropped.add(names.last_event_id.lower())
    added: HeaderList = [
        (names.deadline, str(match.left_ms(now_s)).encode()),
        (names.expected_target, target.key.encode()),
    ]
    if match.policy.is_engine:
        urgency = min(MAX_URGENCY, max(0, match.priority))
        added.append((names.priority, str(urgency).encode()))
    if match.customer is not None and is_header_value(match.customer):
        added.append((names.customer, match.customer.encode()))
    if cache_source is not None:
        source = f"{cache_source.host}:{cache_source.port}"
        added.append((names.cache_source, source.encode()))
    if last_event_id is not None:
        added.append((names.last_event_id, last_event_id))
    dropped |= {name.lower() for name, _ in added}
    headers = [item for item in request.headers if _normalized(item[0]) not in dropped]
    return OutgoingRequest(
        request.method, request.target, headers + added, request.body
    )


def _normalized(name: bytes) -> bytes:
    """Return `name` as servers read it that treat ``_`` like ``-``."""
    return name.lower().replace(b"_", b"-")


def answer_headers(head: AnswerHead, keeps_length: bool) -> HeaderList:
    """Return the headers of a target's answer as the caller receives them."""
    dropped = set(HOP_BY_HOP)
    dropped |= _connection_options(head.find(b"connection") or b"")
    if not keeps_length:
        dropped.add(b"content-length")
    return [item for item in head.headers if item[0].lower() not in dropped]
