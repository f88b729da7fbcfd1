"""
Compiles what lies under a folder, without texts that only people read.

A running gateway would keep every docstring of its libraries in memory. Checks
within the code (`assert`) stay, unlike with the interpreter's own ``-OO``.
"""

import ast
import importlib.util
import marshal
import struct
import sys
from pathlib import Path

# The command line shows these as its help and in the reference of settings.
KEPT = (
    "scaleloom_fleet/main.py",
    "scaleloom_fleet/conf/gateway_schema.py",
    "scaleloom_fleet/conf/schema.py",
    "scaleloom_fleet/conf/fields.py",
)
DOCUMENTED = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
BY_MODIFICATION_TIME = 0
UINT32_LIMIT = 1 << 32


def main(folder: Path) -> None:
    """Compile every module under `folder` that can be compiled."""
    for path in sorted(folder.rglob("*.py")):
        try:
            compile_one(path, keeps_texts=path.as_posix().endswith(KEPT))
        except SyntaxError as error:
            # Some libraries carry modules for other versions of the language.
            print(f"{path} is not compiled: {error}", file=sys.stderr)


def compile_one(path: Path, keeps_texts: bool) -> None:
    """Write the compiled form of the module at `path` to where it is looked for."""
    source = path.read_bytes()
    tree = ast.parse(source, str(path))
    if not keeps_texts:
        drop_docstrings(tree)
    code = compile(tree, str(path), "exec", dont_inherit=True)
    status = path.stat()
    stamp = int(status.st_mtime) % UINT32_LIMIT
    header = struct.pack("<3I", BY_MODIFICATION_TIME, stamp, len(source))
    target = Path(importlib.util.cache_from_source(str(path)))
    target.parent.mkdir(exist_ok=True)
    target.write_bytes(importlib.util.MAGIC_NUMBER + header + marshal.dumps(code))


def drop_docstrings(tree: ast.Module) -> None:
    """Take the docstrings out of `tree`."""
    for node in ast.walk(tree):
        if isinstance(node, DOCUMENTED) and ast.get_docstring(node, clean=False):
            text = node.body.pop(0)
            if not node.body:
                node.body.append(ast.copy_location(ast.Pass(), text))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
