"""Modules that a gateway does without until they are used."""

import subprocess
from types import ModuleType

from scaleloom_fleet.utils.late_modules import LAZY_MODULES, make_lazy_module
from tests.fixtures.processes import PYTHON, environment

LOADED = """
import sys
from scaleloom_fleet.utils import late_modules
late_modules.defer()
with late_modules.without_thread_names():
    import scaleloom_fleet.starting
import scaleloom_fleet.gateway.process, scaleloom_platform
{then}
"""


def test_a_gateway_loads_no_module_for_what_it_never_does():
    names = [*LAZY_MODULES, "_ssl", "_hashlib", "click", "tempfile", "_ctypes"]
    then = f"print([n for n in {names} if getattr(sys.modules.get(n), '__spec__', 0)])"
    assert _run(then) == "[]"


def test_a_late_module_is_whole_once_it_is_used():
    then = "import ssl; print(ssl.create_default_context().check_hostname)"
    assert _run(then) == "True"


def test_foreign_functions_are_whole_after_the_start():
    then = "import ctypes.util; print(ctypes.sizeof(ctypes.c_int32))"
    assert _run(then) == "4"


def test_a_late_module_is_not_there_for_names_that_it_lacks():
    late = make_lazy_module("colorsys")
    assert not hasattr(late, "no_such_function")


def test_a_late_module_leaves_to_its_server_what_that_has():
    server = ModuleType("server")
    server.__all__ = ["hls_to_rgb"]
    server.hls_to_rgb = "served"
    late = make_lazy_module("colorsys", server)
    assert late.hls_to_rgb == "served"


def test_a_late_module_asks_the_real_one_for_what_its_server_lacks():
    late = make_lazy_module("colorsys", ModuleType("server"))
    assert late.hls_to_rgb(0.0, 0.5, 0.0) == (0.5, 0.5, 0.5)


def _run(then: str) -> str:
    """Return what a process prints that loads a gateway and runs `then`."""
    command = [*PYTHON, "-c", LOADED.format(then=then)]
    printed = subprocess.check_output(command, env=environment(), text=True)
    return printed.strip()
