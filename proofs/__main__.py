"""Runs the proofs, prints their table, and exits with 1 if a promise was violated."""

import sys
import time
from collections.abc import Callable

import trio

from proofs import (
    at_most_once,
    complete_answers,
    load_bound,
    overload,
    process_answers,
    process_at_most_once,
    process_config,
    process_draining,
)
from proofs.results import ProofResult

GROUPS: dict[str, Callable[[], list[ProofResult]]] = {
    "at most once": at_most_once.prove,
    "load bound": load_bound.prove,
    "overload": overload.prove,
    "complete answers": complete_answers.prove,
    "processes: complete answers": lambda: trio.run(process_answers.prove),
    "processes: at most once": lambda: trio.run(process_at_most_once.prove),
    "processes: leaving": lambda: trio.run(process_draining.prove),
    "processes: configuration": lambda: trio.run(process_config.prove),
}


def main() -> None:
    """Run the groups named on the command line, or every group if none is named."""
    names = sys.argv[1:] or list(GROUPS)
    violations = 0
    print("| promise | fault | cases | violations | availability |")
    print("|---|---|---|---|---|")
    for name in names:
        started_s = time.monotonic()
        for result in GROUPS[name]():
            violations += len(result.violations)
            print(_table_row(result), flush=True)
            for violation in result.violations[:5]:
                print(f"    {violation}", file=sys.stderr)
        elapsed_s = time.monotonic() - started_s
        print(f"{name}: {elapsed_s:.0f} s", file=sys.stderr)
    print(f"\n{violations} violations")
    sys.exit(1 if violations else 0)


def _table_row(result: ProofResult) -> str:
    """Return `result` as a row of a Markdown table."""
    return (
        f"| {result.promise} | {result.fault} | {result.cases} | "
        f"{len(result.violations)} | {result.availability} |"
    )


if __name__ == "__main__":
    main()
