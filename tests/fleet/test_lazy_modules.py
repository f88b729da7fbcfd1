"""Tests of modules that are loaded at their first use."""

import subprocess
from types import ModuleType

from scaleloom_fleet.utils.lazy_modules import LAZY_MODULES, make_lazy_module
from tests.fixtures.processes import PYTHON, environment

PROGRAM = """
import sys
from scaleloom_fleet.utils import lazy_modules
lazy_modules.install()
with lazy_modules.without_thread_names():
    import scaleloom_fleet.starting
import scaleloom_fleet.gateway.process, scaleloom_platform
{statement}
"""


def test_gateway_loads_no_unused_modules():
    names = [*LAZY_MODULES, "_ssl", "_hashlib", "click", "tempfile", "_ctypes"]
    statement = (
        f"print([n for n in {names} if getattr(sys.modules.get(n), '__spec__', 0)])"
    )
    assert _run(statement) == "[]"


def test_lazy_module_is_complete_once_used():
    statement = "import ssl; print(ssl.create_default_context().check_hostname)"
    assert _run(statement) == "True"


def test_ctypes_is_complete_after_the_start():
    statement = "import ctypes.util; print(ctypes.sizeof(ctypes.c_int32))"
    assert _run(statement) == "4"


def test_lazy_module_has_no_unknown_attributes():
    lazy = make_lazy_module("colorsys")
    assert not hasattr(lazy, "no_such_function")


def test_attribute_is_read_from_the_provider():
    provider = ModuleType("provider")
    provider.__all__ = ["hls_to_rgb"]
    provider.hls_to_rgb = "served"
    lazy = make_lazy_module("colorsys", provider)
    assert lazy.hls_to_rgb == "served"


def test_attribute_that_the_provider_lacks_is_read_from_the_module():
    lazy = make_lazy_module("colorsys", ModuleType("provider"))
    assert lazy.hls_to_rgb(0.0, 0.5, 0.0) == (0.5, 0.5, 0.5)


def _run(statement: str) -> str:
    """Return the output of a process that loads a gateway and runs `statement`."""
    command = [*PYTHON, "-c", PROGRAM.format(statement=statement)]
    printed = subprocess.check_output(command, env=environment(), text=True)
    return printed.strip()
