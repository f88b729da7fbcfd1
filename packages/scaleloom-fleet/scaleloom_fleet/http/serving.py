"""The HTTP server of the router and the sidecar."""

from collections.abc import Awaitable, Callable

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from scaleloom_fleet.http.problems import Application

BACKLOG = 1024
KEEP_ALIVE_S = 75.0


async def serve_http(
    application: Application,
    host: str,
    port: int,
    wait_for_stop: Callable[[], Awaitable[None]],
    drain_limit_s: float,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """
    Serve `application` until `wait_for_stop` returns, then let requests finish.

    Parameters
    ----------
    application : callable
        The ASGI application.
    host, port : str, int
        Address to listen on.
    wait_for_stop : callable
        Returns when the server shall accept no more connections.
    drain_limit_s : float
        Maximum time for the requests in flight to finish, in seconds.
    """
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.backlog = BACKLOG
    config.graceful_timeout = drain_limit_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = None
    await serve(
        application,
        config,
        shutdown_trigger=wait_for_stop,
        mode="asgi",
        task_status=task_status,
    )
