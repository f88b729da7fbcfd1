"""Print the parts of the resident memory of a gateway."""

import trio

from benchmarks.measures import Measure, print_line
from benchmarks.memory import measure_site, run_program
from tests.fixtures.gateways import config, route

# Modules in the order in which a gateway imports them; each includes its imports.
PARTS = (
    "trio",
    "msgspec",
    "returns.result",
    "pythonjsonlogger.json",
    "statsd",
    "h11",
    "xxhash",
    "scaleloom_fleet.gateway.process",
    "scaleloom_platform",
)
PROGRAM = f"""
import gc, importlib
gc.disable()

def resident_kb():
    with open("/proc/self/status") as status:
        return int(status.read().split("RssAnon:")[1].split()[0])

print("interpreter", resident_kb())
from scaleloom_fleet.utils import lazy_modules, listening
lazy_modules.install()
before_kb = resident_kb()
for name in {PARTS}:
    with lazy_modules.without_thread_names():
        importlib.import_module(name)
    after_kb = resident_kb()
    print(name, after_kb - before_kb)
    before_kb = after_kb
"""
SIZES = ((0, 1), (2000, 1), (0, 500), (2000, 500))


def main() -> None:
    """Print the memory of each imported module, and of a site by its size."""
    for row in run_program(PROGRAM).splitlines():
        name, size_kb = row.split()
        print_line(Measure(f"memory.loading.{name}", int(size_kb), "kB"))
    for route_count, target_count in SIZES:
        extra_routes = [route(f"r{number}", "safe") for number in range(route_count)]
        document = config(1, *extra_routes)
        resident, _ = trio.run(measure_site, document, target_count)
        name = f"memory.site.{route_count}_routes.{target_count}_targets"
        print_line(Measure(name, resident / 1e6, "MB"))


if __name__ == "__main__":
    main()
