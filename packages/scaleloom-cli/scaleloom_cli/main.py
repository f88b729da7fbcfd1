"""The command line for operators: state an intent, see a plan, confirm it."""

import sys
import uuid
from pathlib import Path
from urllib.parse import urlencode

import click
import msgspec
from returns.result import Failure, Result

from scaleloom_cli.api import AdminApi
from scaleloom_cli.reports import describe_explanation, describe_plan, describe_status
from scaleloom_cli.stories import story_of
from scaleloom_core.intents import parse_intent
from scaleloom_core.planning import Plan
from scaleloom_fleet.conf import check_file

EXIT_REFUSED = 1
EXIT_BAD_FILE = 78
FILE_ARGUMENT = click.Path(path_type=Path, dir_okay=False)


@click.group()
@click.option(
    "--router",
    envvar="SCALELOOM_ROUTER",
    default="http://127.0.0.1:8000",
    show_default=True,
    help="A router's URL.",
)
@click.option(
    "--token", envvar="SCALELOOM_TOKEN", default="", help="The operator's token."
)
@click.pass_context
def main(context: click.Context, router: str, token: str) -> None:
    """State intents, see what they would change, and confirm them.

    Exit codes: 0 done, 1 refused or unreachable, 2 wrong usage, 78 a file
    with problems.
    """
    context.obj = AdminApi(router, token)


@main.command()
@click.argument("request")
@click.argument("files", nargs=-1, required=True, type=FILE_ARGUMENT)
def trace(request: str, files: tuple[Path, ...]) -> None:
    """Tell the story of REQUEST from the log FILES of several processes."""
    lines = story_of(request, files)
    for line in lines:
        click.echo(line)
    if not lines:
        click.echo(f"No line names {request}.", err=True)
        sys.exit(EXIT_REFUSED)


@main.command()
@click.argument("file", type=FILE_ARGUMENT)
@click.option(
    "--role",
    type=click.Choice(["gateway", "router", "sidecar", "intent"]),
    required=True,
    help="What the file is for.",
)
def check(file: Path, role: str) -> None:
    """Check settings or an intent without starting or sending anything."""
    problems = _intent_problems(file) if role == "intent" else check_file(file, role)
    for problem in problems:
        click.echo(str(problem), err=True)
    if problems:
        click.echo(f"{len(problems)} problems found.", err=True)
        sys.exit(EXIT_BAD_FILE)
    click.echo(f"{file}: no problems found.")


def _intent_problems(file: Path) -> list[str]:
    """Return everything that is wrong with an intent."""
    parsed = parse_intent(_read(file))
    if not isinstance(parsed, Failure):
        return []
    return [
        f"[{problem.section}]: {problem.message}\n    HINT: {problem.hint}"
        for problem in parsed.failure()
    ]


def _read(file: Path) -> str:
    """Return the text of a file, or exit."""
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(EXIT_BAD_FILE)


@main.command()
@click.argument("intent", type=FILE_ARGUMENT)
@click.option(
    "--out", type=FILE_ARGUMENT, help="Where to write the plan for `confirm`."
)
@click.pass_obj
def plan(api: AdminApi, intent: Path, out: Path | None) -> None:
    """Show what INTENT would change, target by target, and at what cost."""
    answer = _or_exit(api.post("/admin/plan", _read(intent).encode()))
    click.echo(describe_plan(msgspec.json.decode(answer, type=Plan)))
    if out is not None:
        out.write_bytes(answer)


@main.command()
@click.argument("plan_file", metavar="PLAN", type=FILE_ARGUMENT)
@click.option("--record", help="The record id of an earlier, unanswered try.")
@click.pass_obj
def confirm(api: AdminApi, plan_file: Path, record: str | None) -> None:
    """Put PLAN into force, unless what it rests on has changed."""
    record_id = record or str(uuid.uuid4())
    click.echo(f"Record {record_id}")
    headers = {"idempotency-key": record_id}
    body = _read(plan_file).encode()
    answer = msgspec.json.decode(_or_exit(api.post("/admin/confirm", body, headers)))
    click.echo(f"In force as version {answer['version']}, by {answer['author']}")


@main.command()
@click.pass_obj
def status(api: AdminApi) -> None:
    """Show the version in force and how far each target has come."""
    answer = msgspec.json.decode(_or_exit(api.get("/admin/status")))
    click.echo(describe_status(answer))


@main.command()
@click.argument("chat")
@click.option("--customer", required=True, help="Whose chat it is.")
@click.option("--model", required=True, help="The model that the chat asks for.")
@click.pass_obj
def explain(api: AdminApi, chat: str, customer: str, model: str) -> None:
    """Tell why the chat that its customer calls CHAT lands where it does."""
    query = urlencode({"chat": chat, "customer": customer, "model": model})
    answer = msgspec.json.decode(_or_exit(api.get(f"/admin/explain?{query}")))
    click.echo(describe_explanation(answer))


@main.command()
@click.option("--record", help="Only this record.")
@click.pass_obj
def history(api: AdminApi, record: str | None) -> None:
    """Show what became of recent records, and who confirmed them."""
    query = f"?{urlencode({'record': record})}" if record else ""
    for item in msgspec.json.decode(_or_exit(api.get(f"/admin/history{query}"))):
        verdict = "accepted" if item["is_accepted"] else "rejected"
        click.echo(
            f"{item['version']} {verdict} {item['author'] or '-'} "
            f"{item['record_id']} {item['reason']}".rstrip()
        )


def _or_exit(answer: Result[bytes, str]) -> bytes:
    """Return a good answer, or print what went wrong and exit."""
    if isinstance(answer, Failure):
        click.echo(answer.failure(), err=True)
        sys.exit(EXIT_REFUSED)
    return answer.unwrap()


if __name__ == "__main__":
    main()
