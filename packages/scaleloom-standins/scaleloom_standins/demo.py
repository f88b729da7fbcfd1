"""Demo that runs a fleet under traffic while a target drains and a router is killed."""

import logging
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from scaleloom_fleet.utils.tracing import (
    context_headers,
    current_trace_id,
    root_span,
    set_up_tracing,
)
from scaleloom_standins.local_fleet import OPERATOR_TOKEN, LocalFleet
from scaleloom_standins.spans import read_trace
from scaleloom_standins.traffic import Balancer, Caller, Tally

ENGINES = ("runner-1", "runner-2", "runner-3", "runner-4")
TAGS = ("tags-1", "tags-2")
LEDGERS = ("ledger-1", "ledger-2")
ROUTERS = ("router-1", "router-2", "router-3")
DATA_CENTRES = ("sala-a", "sala-b", "sala-c", "sala-d")
CHATS = 40
TURNS = 6
PAUSE_S = 0.6
FIRST_INTENT = """
[customer appraisal]
key = appraisal-key
weight = 2

[customer cooperative]
key = cooperative-key

[model dossier]
version = 1
weight_bytes = 50000000
adapters = land-use
replicas = 3

[service tags]

[service ledger]

[target runner-1]
[target runner-2]
[target runner-3]
[target runner-4]

[target tags-1]
service = tags
[target tags-2]
service = tags
[target ledger-1]
service = ledger
[target ledger-2]
service = ledger
"""
BURST_INTENT = """
[burst objection-deadline]
model = dossier
replicas = 4
"""


@dataclass
class DemoReport:
    """Printed report of the demo, with the guarantees that were broken."""

    failures: list[str] = field(default_factory=list)

    def print_line(self, text: str) -> None:
        """Print one line."""
        print(text, flush=True)

    def check(self, holds: bool, guarantee: str) -> None:
        """Print whether a guarantee holds, and record it if not."""
        self.print_line(f"  {'held   ' if holds else 'BROKEN '} {guarantee}")
        if not holds:
            self.failures.append(guarantee)


async def run_demo(directory: Path) -> int:
    """Run the demo and return its exit code, 1 if a guarantee was broken."""
    report = DemoReport()
    async with LocalFleet(directory) as fleet:
        report.print_line("Starting stand-ins, sidecars and routers on loopback ...")
        await _start(fleet)
        await _configure(fleet, report)
        balancer = Balancer({name: fleet.address(name) for name in ROUTERS})
        callers = [
            Caller(fleet.client, balancer, "appraisal-key", "dossier"),
            Caller(fleet.client, balancer, "cooperative-key", "dossier"),
        ]
        await _show_trace(fleet, callers[0], report)
        await _run_chats(fleet, balancer, callers, report)
        await _check_writes(fleet, callers, report)
        await _report(fleet, callers, report)
    result = "BROKEN: " + "; ".join(report.failures) if report.failures else "held"
    report.print_line(f"\nPromises: {result}")
    return 1 if report.failures else 0


async def _start(fleet: LocalFleet) -> None:
    """Start all engines, services, sidecars and routers."""
    async with trio.open_nursery() as nursery:
        for name in ENGINES:
            nursery.start_soon(fleet.start_engine_pair, name)
        for name in TAGS:
            nursery.start_soon(fleet.start_service_pair, name, "tags")
        for name in LEDGERS:
            nursery.start_soon(fleet.start_service_pair, name, "ledger")
        for name, data_centre in zip(ROUTERS, DATA_CENTRES):
            nursery.start_soon(fleet.start_router, name, data_centre)


async def _configure(fleet: LocalFleet, report: DemoReport) -> None:
    """Plan and confirm intents with the command line and wait for their effect."""
    for title, intent in (("first", FIRST_INTENT), ("burst", BURST_INTENT)):
        path = fleet.directory / f"{title}.ini"
        path.write_text(intent, encoding="utf-8")
        plan_path = fleet.directory / f"{title}.plan"
        report.print_line(f"\n$ scaleloom plan {path.name} --out {plan_path.name}")
        shown = await _run_command(fleet, "plan", str(path), "--out", str(plan_path))
        report.print_line("\n".join(shown.splitlines()[-12:]))
        report.print_line(f"$ scaleloom confirm {plan_path.name}")
        report.print_line(await _run_command(fleet, "confirm", str(plan_path)))
        await fleet.wait_settled(ROUTERS[1], 7 if title == "first" else 8)
    for service in ("tags", "ledger"):
        await fleet.wait_slots_owned(ROUTERS[0], "appraisal-key", service)
    report.print_line("$ scaleloom status")
    report.print_line(await _run_command(fleet, "status"))


async def _run_command(fleet: LocalFleet, *arguments: str) -> str:
    """Run the command line for operators and return its output."""
    command = [
        sys.executable,
        "-m",
        "scaleloom_cli.main",
        "--router",
        fleet.address(ROUTERS[0]).url(""),
        "--token",
        OPERATOR_TOKEN,
        *arguments,
    ]
    completed = await trio.run_process(
        command, capture_stdout=True, stderr=subprocess.STDOUT
    )
    return completed.stdout.decode().rstrip()


async def _show_trace(fleet: LocalFleet, caller: Caller, report: DemoReport) -> None:
    """Send one traced request and print its spans as a tree."""
    set_up_tracing("caller")
    logger = logging.getLogger("scaleloom.trace")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.addHandler(_span_file(fleet.directory / "caller.log"))
    with root_span("caller", {}, ratio=1.0):
        trace_id = current_trace_id()
        body = msgspec.json.encode(
            {"model": "dossier", "messages": [{"role": "user", "content": "Rol 12?"}]}
        )
        headers = {**caller.headers(), **context_headers()}
        url = fleet.address(ROUTERS[0]).url("/v1/chat/completions")
        (await fleet.client.request("POST", url, headers, body)).unwrap()
    await trio.sleep(0.3)
    report.print_line("\nOne request, hop by hop:")
    tree = read_trace(fleet.directory, trace_id)
    report.print_line("\n".join("  " + line for line in tree.lines()))
    hops = {span.span for span in tree.spans}
    report.check({"caller", "router", "sidecar", "target"} <= hops, "a span per hop")


def _span_file(path: Path) -> logging.Handler:
    """Return a log handler that writes spans to `path` as JSON lines."""
    from pythonjsonlogger.json import JsonFormatter

    handler = logging.FileHandler(path)
    handler.setFormatter(
        JsonFormatter("%(message)s", static_fields={"instance": "caller"})
    )
    return handler


async def _run_chats(
    fleet: LocalFleet, balancer: Balancer, callers: list[Caller], report: DemoReport
) -> None:
    """Run chats while a sidecar drains and a router is killed."""
    report.print_line(
        f"\n{CHATS} chats of {TURNS} turns through {len(ROUTERS)} routers; "
        "runner-2 stops as planned and router-3 is killed meanwhile ..."
    )
    async with trio.open_nursery() as nursery:
        for number in range(CHATS):
            caller = callers[number % len(callers)]
            nursery.start_soon(caller.run_chat, number, TURNS, PAUSE_S)
        await trio.sleep(1.0)
        fleet.terminate("runner-2")
        await trio.sleep(1.0)
        fleet.kill("router-3")
        await trio.sleep(0.5)
        balancer.remove("router-3")
        exit_code = await fleet.wait_stopped("runner-2")
        report.check(exit_code == 0, "the planned stop ended by itself")


async def _check_writes(
    fleet: LocalFleet, callers: list[Caller], report: DemoReport
) -> None:
    """Send each write through two routers and check that it took effect once."""
    report.print_line(
        "\nA land-use tag and a Ledger write, each sent through two routers:"
    )
    for service, targets in (("tags", TAGS), ("ledger", LEDGERS)):
        key = f"demo-{service}"
        answers = []
        for router in ROUTERS[:2]:
            url = fleet.address(router).url(f"/services/{service}/rol/77")
            headers = callers[0].headers(idempotency_key=key)
            answer = await fleet.client.request("POST", url, headers, b"agricultural")
            answers.append(answer.unwrap())
        writes = [
            write
            for target in targets
            for write in await fleet.get_json(f"service-{target}", "/filings")
        ]
        are_equal = answers[0].body == answers[1].body and answers[0].status == 200
        report.check(are_equal, f"{service}: both callers got the one answer")
        report.check(len(writes) == 1, f"{service}: filed once ({len(writes)})")


async def _report(fleet: LocalFleet, callers: list[Caller], report: DemoReport) -> None:
    """Print the figures and check the guarantees."""
    tally = _sum_tallies(callers)
    report.print_line("\nFigures:")
    figures = [await fleet.get_json(f"engine-{name}", "/figures") for name in ENGINES]
    prompt = sum(item["prompt_tokens"] for item in figures)
    cached = sum(item["cached_prompt_tokens"] for item in figures)
    served = [len(item["served"]) for item in figures]
    report.print_line(
        f"  prompt tokens found cached   {cached / prompt:.1%} of {prompt}"
    )
    report.print_line(f"  answers by engine            {served}")
    report.print_line(
        f"  peak at once by engine       {[item['peak_running'] for item in figures]}"
    )
    first_parts_s = sorted(tally.first_token_s)
    report.print_line(f"  first part, median / 95 %    {_quantiles_ms(first_parts_s)}")
    for name in ROUTERS[:2]:
        status = await fleet.status(name)
        report.print_line(
            f"  control of {name}          {status['control_sent_bytes']} B sent, "
            f"{status['control_received_bytes']} B received"
        )
    report.print_line(
        f"  turns {tally.turns}, served {tally.served}, retried "
        f"{tally.retried}, shed {tally.shed}, lost {tally.lost}"
    )
    report.print_line("\nPromises under the stop and the kill:")
    report.check(tally.lost == 0, "no request was lost")
    report.check(tally.foreign == 0, "every caller got only its own answer")
    report.check(tally.truncated == 0, "no truncated answer looked complete")


def _sum_tallies(callers: list[Caller]) -> Tally:
    """Return the sum of the tallies of all callers."""
    total = Tally()
    for name in total.__dataclass_fields__:
        parts = [getattr(caller.tally, name) for caller in callers]
        setattr(total, name, sum(parts[1:], parts[0]))
    return total


def _quantiles_ms(sorted_s: list[float]) -> str:
    """Return the median and the 95th percentile in milliseconds."""
    median = sorted_s[len(sorted_s) // 2] * 1000
    high = sorted_s[int(len(sorted_s) * 0.95)] * 1000
    return f"{median:.0f} ms / {high:.0f} ms"


def main() -> None:
    """Run the demo in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="scaleloom-demo-") as directory:
        sys.exit(trio.run(run_demo, Path(directory)))


if __name__ == "__main__":
    main()
