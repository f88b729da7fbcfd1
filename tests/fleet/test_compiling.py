"""Tests of `deploy/compile.py`."""

import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from nose2.tools import params

COMPILER = Path(__file__).parents[2] / "deploy" / "compile.py"
MODULE = '''"""A text."""

from __future__ import annotations


class Kept(Exception):
    """Another."""


def check(number: int) -> None:
    """A third."""
    assert number, "kept"
'''


@contextmanager
def _compiled(*paths: str) -> Iterator[Path]:
    """Yield a folder with a compiled module at each of `paths`."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for path in paths:
            (folder / path).parent.mkdir(parents=True, exist_ok=True)
            (folder / path).write_text(MODULE, encoding="utf-8")
        subprocess.run([sys.executable, COMPILER, folder], check=True)
        yield folder


def _print(folder: Path, expression: str, module: str = "plain") -> str:
    """Return the value of `expression` in a process that uses the compiled module."""
    program = f"import {module} as m; print({expression})"
    completed = subprocess.run(
        [sys.executable, "-S", "-v", "-c", program],
        cwd=folder,
        env={},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded_from_cache = [
        line for line in completed.stderr.splitlines() if "code object from" in line
    ]
    assert any(
        f"{module.rpartition('.')[2]}.cpython" in line for line in loaded_from_cache
    )
    return completed.stdout.strip()


def test_docstrings_are_removed():
    with _compiled("plain.py") as folder:
        texts = "(m.__doc__, m.Kept.__doc__, m.check.__doc__)"
        assert _print(folder, texts) == "(None, None, None)"


def test_assert_statements_are_kept():
    with _compiled("plain.py") as folder:
        constants = "'kept' in m.check.__code__.co_consts"
        assert _print(folder, constants) == "True"


@params("scaleloom_fleet.main", "scaleloom_fleet.conf.gateway_schema")
def test_docstrings_of_the_command_line_are_kept(module):
    with _compiled(f"{module.replace('.', '/')}.py") as folder:
        assert _print(folder, "m.check.__doc__", module) == "A third."
