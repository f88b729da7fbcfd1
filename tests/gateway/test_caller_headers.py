"""Tests of the headers that callers may set, and of those forwarded to targets."""

from nose2.tools import params

from scaleloom_core.ids import ServiceName
from scaleloom_core.routing import HttpRoute, RequestKind, RoutingTable, ServiceShare
from scaleloom_fleet.gateway.matching import match_request
from scaleloom_fleet.http1.callers import CallerRequest
from scaleloom_platform import ADAPTER
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    HOST,
    KEY,
    ask_raw,
    request_bytes,
    running_site,
)
from tests.fixtures.stub_targets import EVENT_COUNT, event

LONG_NUMBER = "9" * 3000
DIGITS_BEYOND_PYTHON_LIMIT = b"9" * 5000
SHARE = ServiceShare(ServiceName("plain"))
RESERVED = sorted(name.decode() for name in ADAPTER.headers.reserved)
SPELLINGS = [str.lower, str.title, str.upper, lambda name: name.replace("-", "_")]


def request_with_lines(path: str, *lines: str) -> bytes:
    """Return the bytes of a request with `lines` as headers besides its key."""
    head = [f"GET {path} HTTP/1.1", f"Host: {HOST}", f"Authorization: Bearer {KEY}"]
    return "\r\n".join([*head, *lines, "", ""]).encode()


@params(*RESERVED)
@runs_on_paused_clock
async def test_a_callers_own_value_of_a_reserved_header_reaches_no_target(name):
    forged = [f"{spell(name)}: forged" for spell in SPELLINGS]
    async with running_site() as site:
        data = request_with_lines("/safe/1", "Request-Id: r-1", *forged)
        answer = await ask_raw(site.gateways[0].front_port, data)
        (received,) = [
            received for target in site.runners for received in target.received
        ]
    assert answer.status == 200
    folded = {key.replace("_", "-"): value for key, value in received.headers.items()}
    assert "forged" not in folded.values()


@runs_on_paused_clock
async def test_a_reserved_header_in_a_trailer_reaches_no_target():
    head = request_with_lines(
        "/safe/1", "Request-Id: r-1", "Transfer-Encoding: chunked", "Trailer: Hold"
    )
    async with running_site() as site:
        data = head.replace(b"GET", b"POST") + b"2\r\nhi\r\n0\r\nHold: forged\r\n\r\n"
        answer = await ask_raw(site.gateways[0].front_port, data, "POST")
        (received,) = [
            received for target in site.runners for received in target.received
        ]
    assert (answer.status, received.body) == (200, b"hi")
    assert "forged" not in received.headers.values()


@params(
    ("/stream-once/1", 0),
    ("/stream/1", 2),
)
@runs_on_paused_clock
async def test_a_caller_resumes_only_where_the_route_allows_it(path, skipped):
    async with running_site() as site:
        answer = await site.ask(path, Last_Event_Id="2")
    due = [event(number) for number in range(1 + skipped, EVENT_COUNT + 1)]
    assert answer.body == b"".join(due)


@params("-1", "+5", "1.5", "soon", "", LONG_NUMBER, "99999999999")
@runs_on_paused_clock
async def test_an_odd_deadline_leaves_the_routes_own(deadline):
    async with running_site() as site:
        data = request_with_lines(
            "/safe/1", "Request-Id: r-1", f"Deadline-Ms: {deadline}"
        )
        answer = await ask_raw(site.gateways[0].front_port, data)
        (received,) = [
            received for target in site.runners for received in target.received
        ]
    assert answer.status == 200
    assert 0 < int(received.headers["deadline-ms"]) <= 2000


def test_a_deadline_of_thousands_of_digits_leaves_the_routes_own():
    route = HttpRoute("r", HOST, "/r/", RequestKind.SAFE, 2000, 400, (SHARE,))
    values = {
        b"host": HOST.encode(),
        b"request-id": b"r-1",
        b"deadline-ms": DIGITS_BEYOND_PYTHON_LIMIT,
    }
    request = CallerRequest(b"GET", b"/r/1", list(values.items()), values, b"", 1.0)
    table = RoutingTable(1, (route,), ())
    match = match_request(table, request, ADAPTER.headers).unwrap()
    assert match.deadline_s == 3.0


@runs_on_paused_clock
async def test_a_deadline_that_has_passed_is_refused_as_not_run():
    async with running_site() as site:
        data = request_with_lines("/once/1", "Request-Id: r-1", "Deadline-Ms: 0")
        answer = await ask_raw(site.gateways[0].front_port, data)
        assert site.run_count() == 0
    assert answer.status == 503
    assert "response-seal" not in answer.headers


@params(
    ((), 400),
    (("Request-Id:",), 400),
    (("Request-Id: r-1", "Request-Id: r-2"), 400),
    (("Request-Id: r-1", "request-id: r-1"), 400),
    (("REQUEST-ID: r-1",), 200),
)
@runs_on_paused_clock
async def test_a_request_needs_exactly_one_id(lines, status):
    async with running_site() as site:
        data = request_with_lines("/once/1", *lines)
        answer = await ask_raw(site.gateways[0].front_port, data)
        ran = sum(len(target.received) for target in site.runners)
    assert (answer.status, ran) == (status, int(status == 200))


@params(
    ":",
    ",,,",
    "abc",
    "abc:1,abc:-5,abc:x",
    LONG_NUMBER,
)
@runs_on_paused_clock
async def test_odd_prompt_parts_pass_unchanged(parts):
    async with running_site() as site:
        data = request_with_lines(
            "/safe/1", "Request-Id: r-1", f"Prompt-Prefix: {parts}", "Token-Count: -1,x"
        )
        answer = await ask_raw(site.gateways[0].front_port, data)
        (received,) = [
            received for target in site.runners for received in target.received
        ]
    assert answer.status == 200
    assert received.headers["prompt-prefix"] == parts
    assert received.headers["token-count"] == "-1,x"


@runs_on_paused_clock
async def test_a_forged_customer_is_replaced_by_the_keys_own():
    async with running_site() as site:
        await site.ask("/once/1", Tenant="someone-else", TENANT="another")
        (received,) = [
            received for target in site.runners for received in target.received
        ]
    assert received.headers["tenant"] == "desk"


@runs_on_paused_clock
async def test_a_connection_header_names_nothing_that_the_gateway_sets():
    async with running_site() as site:
        await site.ask("/once/1", Connection="Request-Id, Tenant, Expect-Instance")
        (received,) = [
            received for target in site.runners for received in target.received
        ]
    assert received.headers["request-id"] == "r-1"
    assert received.headers["tenant"] == "desk"
    assert "expect-instance" in received.headers


def test_what_a_proper_request_carries_is_not_reserved():
    sent = request_bytes("/safe/1").decode().lower().split("\r\n")
    carried = {line.partition(":")[0] for line in sent}
    assert not carried & set(RESERVED)
