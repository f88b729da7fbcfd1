"""Command line that runs one stand-in per process."""

import click
import trio

from scaleloom_fleet.http.asgi import Route
from scaleloom_fleet.http.problems import make_application
from scaleloom_fleet.http.serving import serve_http
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.logs import set_up_logs
from scaleloom_fleet.utils.stop_signals import wait_for_stop_signal
from scaleloom_fleet.utils.tracing import set_up_tracing
from scaleloom_standins.engine import EngineCosts, EngineSimulator
from scaleloom_standins.engine_pages import engine_routes
from scaleloom_standins.faults import FaultInjector
from scaleloom_standins.instance_list import InstanceStore, list_routes
from scaleloom_standins.log_service import (
    DEFAULT_APPENDS_PER_S,
    DEFAULT_RETENTION_S,
    LogStore,
    log_routes,
)
from scaleloom_standins.plain_service import WriteLedger, service_routes
from scaleloom_standins.weight_store import weight_routes

LOOPBACK = "127.0.0.1"
DRAIN_TIMEOUT_S = 2.0
PORT_OPTION = click.option("--port", type=int, required=True)


@click.group()
def main() -> None:
    """Run a stand-in that listens on loopback."""
    set_up_logs("INFO", "stand-in")
    set_up_tracing("stand-in")


def _run(routes: list[Route], port: int) -> None:
    """Serve `routes` until a stop signal arrives."""
    trio.run(_serve, routes, port)


async def _serve(routes: list[Route], port: int) -> None:
    """Serve `routes`; runs inside trio."""
    application = make_application(routes)
    await serve_http(application, LOOPBACK, port, wait_for_stop_signal, DRAIN_TIMEOUT_S)


@main.command()
@PORT_OPTION
@click.option("--retention-s", type=float, default=DEFAULT_RETENTION_S)
@click.option("--appends-per-s", type=float, default=DEFAULT_APPENDS_PER_S)
def log(port: int, retention_s: float, appends_per_s: float) -> None:
    """Run the append-only log of the platform."""
    _run(log_routes(LogStore(retention_s, appends_per_s), FaultInjector()), port)


@main.command("list")
@PORT_OPTION
def instance_list(port: int) -> None:
    """Run the instance list of the platform."""
    _run(list_routes(InstanceStore(), FaultInjector()), port)


@main.command()
@PORT_OPTION
@click.option("--bytes-per-s", type=float, default=1e9)
def weights(port: int, bytes_per_s: float) -> None:
    """Run the rate-limited weight store of the platform."""
    trio.run(_serve_weights, port, bytes_per_s)


async def _serve_weights(port: int, bytes_per_s: float) -> None:
    """Serve the weight store; runs inside trio."""
    await _serve(weight_routes(bytes_per_s, FaultInjector()), port)


@main.command()
@PORT_OPTION
@click.option("--checks-fencing/--ignores-fencing", default=False)
@click.option("--work-s", type=float, default=0.0)
def service(port: int, checks_fencing: bool, work_s: float) -> None:
    """Run a service that records its writes."""
    _run(service_routes(WriteLedger(checks_fencing), FaultInjector(), work_s), port)


@main.command()
@PORT_OPTION
@click.option("--batch", type=int, default=8)
@click.option("--decode-s-per-token", type=float, default=0.002)
@click.option("--cache-tokens", type=int, default=200_000)
@click.option("--load-s", type=float, default=0.2)
@click.option("--weights-port", type=int, help="Port of the weight store.")
def engine(
    port: int,
    batch: int,
    decode_s_per_token: float,
    cache_tokens: int,
    load_s: float,
    weights_port: int | None,
) -> None:
    """Run a model engine."""
    costs = EngineCosts(
        batch=batch,
        decode_s_per_token=decode_s_per_token,
        cache_tokens=cache_tokens,
        load_s=load_s,
    )
    store = Address(LOOPBACK, weights_port) if weights_port else None
    trio.run(_serve_engine, port, costs, store)


async def _serve_engine(port: int, costs: EngineCosts, store: Address | None) -> None:
    """Serve an engine; runs inside trio."""
    async with trio.open_nursery() as nursery:
        simulator = EngineSimulator(costs, FaultInjector(), nursery, store)
        await _serve(engine_routes(simulator), port)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    main()
