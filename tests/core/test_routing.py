"""Tests of the routing table of plain HTTP requests."""

from nose2.tools import params

from scaleloom_core.ids import CustomerId, ServiceName
from scaleloom_core.routing import (
    Customer,
    HttpRoute,
    RequestKind,
    RoutingTable,
    ServiceShare,
)


def _route(name: str, prefix: str, **fields) -> HttpRoute:
    given = {
        "kind": RequestKind.SAFE,
        "timeout_ms": 1000,
        "objective_ms": 100,
        "shares": (ServiceShare(ServiceName("s")),),
        **fields,
    }
    return HttpRoute(name, "Host.example", prefix, **given)


TABLE = RoutingTable(
    version=3,
    routes=(_route("all", "/"), _route("a", "/a/"), _route("ab", "/a/b/")),
    services=(),
    customers=(Customer(CustomerId("desk"), ("k1", "k2"), 4),),
)


@params(
    ("/", "all"),
    ("/a", "all"),
    ("/a/", "a"),
    ("/a/b", "a"),
    ("/a/b/", "ab"),
    ("/a/b/c/d", "ab"),
    ("/a/bc/", "a"),
    ("nothing", None),
)
def test_the_longest_prefix_wins(path, name):
    route = TABLE.find_route("host.example", path)
    assert (route.name if route else None) == name


def test_other_hosts_have_no_route():
    assert TABLE.find_route("elsewhere.example", "/a/") is None


@params(("k1", "desk"), ("k2", "desk"), ("k3", None), ("", None))
def test_a_key_identifies_its_customer(key, name):
    customer = TABLE.find_customer(key)
    assert (customer.name if customer else None) == name


def test_services_are_picked_by_share_and_consistently_for_a_request():
    shares = (ServiceShare(ServiceName("x"), 90), ServiceShare(ServiceName("y"), 10))
    route = _route("split", "/", shares=shares)
    picked = [route.pick_service(f"r-{number}") for number in range(2000)]
    assert 120 < picked.count("y") < 290
    assert picked == [route.pick_service(f"r-{number}") for number in range(2000)]


@params(
    (RequestKind.SAFE, False, True),
    (RequestKind.UNSAFE, False, False),
    (RequestKind.STREAM, False, False),
    (RequestKind.STREAM, True, True),
)
def test_which_requests_are_retryable(kind, is_resumable, expected):
    route = _route("r", "/", kind=kind, is_resumable=is_resumable)
    assert route.is_retryable is expected
