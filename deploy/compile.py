"""
Compile all Python modules under a folder without their docstrings.

Otherwise a running gateway would keep the docstrings of all libraries in memory.
Unlike with the interpreter's ``-OO`` option, `assert` statements are kept.
"""

import ast
import importlib.util
import marshal
import struct
import sys
from pathlib import Path

# Their docstrings are shown in the command line's help and the settings reference.
KEEP_DOCSTRINGS = (
    "scaleloom_fleet/main.py",
    "scaleloom_fleet/conf/gateway_schema.py",
    "scaleloom_fleet/conf/schema.py",
    "scaleloom_fleet/conf/fields.py",
)
DOCUMENTED_NODES = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
MTIME_BASED_PYC = 0
UINT32_LIMIT = 1 << 32


def main(folder: Path) -> None:
    """Compile every module under `folder`, skipping those with syntax errors."""
    for path in sorted(folder.rglob("*.py")):
        try:
            compile_one(path, keep_docstrings=path.as_posix().endswith(KEEP_DOCSTRINGS))
        except SyntaxError as error:
            # Some libraries contain modules for other versions of Python.
            print(f"skipped {path}, which cannot be compiled: {error}", file=sys.stderr)


def compile_one(path: Path, keep_docstrings: bool) -> None:
    """Compile the module at `path` into its `__pycache__` file."""
    source = path.read_bytes()
    tree = ast.parse(source, str(path))
    if not keep_docstrings:
        drop_docstrings(tree)
    code = compile(tree, str(path), "exec", dont_inherit=True)
    status = path.stat()
    stamp = int(status.st_mtime) % UINT32_LIMIT
    header = struct.pack("<3I", MTIME_BASED_PYC, stamp, len(source))
    compiled_path = Path(importlib.util.cache_from_source(str(path)))
    compiled_path.parent.mkdir(exist_ok=True)
    compiled_path.write_bytes(
        importlib.util.MAGIC_NUMBER + header + marshal.dumps(code)
    )


def drop_docstrings(tree: ast.Module) -> None:
    """Remove all docstrings from `tree`."""
    for node in ast.walk(tree):
        if isinstance(node, DOCUMENTED_NODES) and ast.get_docstring(node, clean=False):
            docstring = node.body.pop(0)
            if not node.body:
                node.body.append(ast.copy_location(ast.Pass(), docstring))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
