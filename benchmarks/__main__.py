"""Run every benchmark, print a JSON line for each measure and check the bounds."""

import sys

import trio

from benchmarks.control import measure_control
from benchmarks.measures import check_bounds, print_line, read_bounds
from benchmarks.memory import measure_memory
from benchmarks.observing import measure_observing
from benchmarks.own_code import measure_own_code
from benchmarks.path import measure_path
from benchmarks.placement import measure_placement


def main() -> None:
    """Run all benchmarks and exit with 1 if a measure breaks its bound."""
    bounds = read_bounds()
    problems = []
    for measures in (
        measure_placement(),
        trio.run(measure_observing),
        trio.run(measure_own_code),
        trio.run(measure_control),
        trio.run(measure_path),
        trio.run(measure_memory),
    ):
        for measure in measures:
            print_line(measure)
            problems += check_bounds(measure, bounds)
    for problem in problems:
        print(problem, file=sys.stderr)
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
