"""Commands for operators: check files, plan and confirm changes, inspect a fleet."""

import sys
import uuid
from pathlib import Path
from typing import TypeVar
from urllib.parse import urlencode

import click
import msgspec
from returns.result import Failure, Result

from scaleloom_cli.api import AdminApi
from scaleloom_cli.crash_log import CrashLogClient, LoggedCause
from scaleloom_cli.reports import describe_explanation, describe_plan, describe_status
from scaleloom_cli.request_log import collect_request_lines
from scaleloom_core.intents import parse_intent
from scaleloom_core.planning import Plan
from scaleloom_fleet.conf import check_file
from scaleloom_fleet.gateway.interfaces import load_adapter

_Value = TypeVar("_Value")
EXIT_REFUSED = 1
EXIT_BAD_FILE = 78
FILE_ARGUMENT = click.Path(path_type=Path, dir_okay=False)


@click.group()
@click.option(
    "--router",
    envvar="SCALELOOM_ROUTER",
    default="http://127.0.0.1:8000",
    show_default=True,
    help="URL of a router.",
)
@click.option(
    "--token",
    envvar="SCALELOOM_TOKEN",
    default="",
    help="Bearer token of the operator.",
)
@click.pass_context
def main(context: click.Context, router: str, token: str) -> None:
    """Administer a fleet: plan changes, confirm them and inspect the result.

    Exit codes: 0 success, 1 request refused or router unreachable, 2 wrong
    usage, 78 invalid file.
    """
    context.obj = AdminApi(router, token)


@main.command()
@click.argument("request")
@click.argument("files", nargs=-1, required=True, type=FILE_ARGUMENT)
def trace(request: str, files: tuple[Path, ...]) -> None:
    """Print the lines about REQUEST in the log FILES, ordered by time."""
    lines = collect_request_lines(request, files)
    for line in lines:
        click.echo(line)
    if not lines:
        click.echo(f"No log line refers to request {request}.", err=True)
        sys.exit(EXIT_REFUSED)


@main.command()
@click.argument("file", type=FILE_ARGUMENT)
@click.option(
    "--role",
    type=click.Choice(["gateway", "router", "sidecar", "intent"]),
    required=True,
    help="Kind of the file.",
)
def check(file: Path, role: str) -> None:
    """Validate a settings or intent file; nothing is started or sent."""
    problems = _intent_problems(file) if role == "intent" else check_file(file, role)
    for problem in problems:
        click.echo(str(problem), err=True)
    if problems:
        click.echo(f"{len(problems)} problems found.", err=True)
        sys.exit(EXIT_BAD_FILE)
    click.echo(f"{file}: no problems found.")


def _intent_problems(file: Path) -> list[str]:
    """Return a message for each problem in an intent file."""
    parsed = parse_intent(_read_or_exit(file))
    if not isinstance(parsed, Failure):
        return []
    return [
        f"[{problem.section}]: {problem.message}\n    HINT: {problem.hint}"
        for problem in parsed.failure()
    ]


def _read_or_exit(file: Path) -> str:
    """Return the text of `file`; exit with code 78 if it cannot be read."""
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(EXIT_BAD_FILE)


@main.command()
@click.argument("intent", type=FILE_ARGUMENT)
@click.option(
    "--out", type=FILE_ARGUMENT, help="File to write the plan to, for `confirm`."
)
@click.pass_obj
def plan(api: AdminApi, intent: Path, out: Path | None) -> None:
    """Show the changes that INTENT requires for each target, and their cost."""
    answer = _unwrap_or_exit(api.post("/admin/plan", _read_or_exit(intent).encode()))
    click.echo(describe_plan(msgspec.json.decode(answer, type=Plan)))
    if out is not None:
        out.write_bytes(answer)


@main.command()
@click.argument("plan_file", metavar="PLAN", type=FILE_ARGUMENT)
@click.option(
    "--record", help="Record id of an earlier attempt whose result is unknown."
)
@click.pass_obj
def confirm(api: AdminApi, plan_file: Path, record: str | None) -> None:
    """Apply PLAN, unless the state that it was computed from has changed."""
    record_id = record or str(uuid.uuid4())
    click.echo(f"Record {record_id}")
    headers = {"idempotency-key": record_id}
    body = _read_or_exit(plan_file).encode()
    answer = msgspec.json.decode(
        _unwrap_or_exit(api.post("/admin/confirm", body, headers))
    )
    click.echo(f"In force as version {answer['version']}, by {answer['author']}")


@main.command()
@click.pass_obj
def status(api: AdminApi) -> None:
    """Show the current version and the state of each target."""
    answer = msgspec.json.decode(_unwrap_or_exit(api.get("/admin/status")))
    click.echo(describe_status(answer))


@main.command()
@click.argument("chat")
@click.option("--customer", required=True, help="Customer that the chat belongs to.")
@click.option("--model", required=True, help="Model that the chat requests.")
@click.pass_obj
def explain(api: AdminApi, chat: str, customer: str, model: str) -> None:
    """Explain how a target is chosen for CHAT, the customer's id of a chat."""
    query = urlencode({"chat": chat, "customer": customer, "model": model})
    answer = msgspec.json.decode(_unwrap_or_exit(api.get(f"/admin/explain?{query}")))
    click.echo(describe_explanation(answer))


@main.command()
@click.option("--record", help="Show only the record with this id.")
@click.pass_obj
def history(api: AdminApi, record: str | None) -> None:
    """Show whether recent records were accepted, and who confirmed them."""
    query = f"?{urlencode({'record': record})}" if record else ""
    for item in msgspec.json.decode(_unwrap_or_exit(api.get(f"/admin/history{query}"))):
        result = "accepted" if item["is_accepted"] else "rejected"
        click.echo(
            f"{item['version']} {result} {item['author'] or '-'} "
            f"{item['record_id']} {item['reason']}".rstrip()
        )


@main.group()
@click.option(
    "--store",
    envvar="SCALELOOM_STORE",
    required=True,
    help="Address of the platform's store, as HOST:PORT.",
)
@click.option(
    "--adapter",
    envvar="SCALELOOM_ADAPTER",
    default="scaleloom_platform",
    show_default=True,
    help="Module that adapts to the platform.",
)
@click.pass_context
def quarantine(context: click.Context, store: str, adapter: str) -> None:
    """Show and release requests and prompt parts that crash targets."""
    context.obj = CrashLogClient(store, load_adapter(adapter))


@quarantine.command(name="list")
@click.pass_obj
def list_causes(log: CrashLogClient) -> None:
    """Show the suspected requests and prompt parts, and their trials."""
    for cause in _unwrap_or_exit(log.read()):
        click.echo(cause.describe())


@quarantine.command()
@click.argument("cause")
@click.pass_obj
def release(log: CrashLogClient, cause: str) -> None:
    """Release CAUSE, a digest of `quarantine list` or the id of a prompt part."""
    causes: list[LoggedCause] = _unwrap_or_exit(log.read())
    found = [c for c in causes if cause in (f"{c.digest:016x}", c.name)]
    if not found:
        click.echo(f"The crash log does not hold {cause}.", err=True)
        sys.exit(EXIT_REFUSED)
    _unwrap_or_exit(log.delete(found))
    for each in found:
        click.echo(f"Released {each.describe()}")


def _unwrap_or_exit(answer: Result[_Value, str]) -> _Value:
    """Return the value of `answer`; on a failure, print its message and exit."""
    if isinstance(answer, Failure):
        click.echo(answer.failure(), err=True)
        sys.exit(EXIT_REFUSED)
    return answer.unwrap()


if __name__ == "__main__":
    main()
