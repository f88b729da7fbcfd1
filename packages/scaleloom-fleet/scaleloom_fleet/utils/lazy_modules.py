"""
Lazy loading of modules that a gateway's libraries import and rarely or never use.

Such modules, among them the one for TLS, take half of the memory that an idle
gateway would need on a small machine. This module imports the standard library
only, since it runs before everything else.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module
from types import ModuleType

# Imported by trio, idna, attrs and pathlib at load time and never used by a gateway:
# TLS, host names, IPv6 addresses, child processes.
LAZY_MODULES = ("ssl", "hmac", "idna", "ipaddress", "subprocess")
# The first module backports names that the second one has already.
PROVIDED_BY = {"typing_extensions": "typing"}


def install() -> None:
    """Replace modules that are not loaded yet by lazy ones in `sys.modules`."""
    for name in (*LAZY_MODULES, *PROVIDED_BY):
        if name not in sys.modules:
            provider = PROVIDED_BY.get(name)
            sys.modules[name] = make_lazy_module(
                name, provider and import_module(provider)
            )


def make_lazy_module(name: str, provider: ModuleType | None = None) -> ModuleType:
    """
    Return a module that loads the module `name` when an attribute is first read.

    Parameters
    ----------
    provider : module or None
        Attributes listed in its ``__all__`` are read from it, without loading `name`.
    """
    lazy = ModuleType(name)

    def load(attribute: str) -> object:
        # The import system reads dunder attributes of modules in `sys.modules`; these
        # reads are no use of the module.
        if attribute.startswith("__") and attribute != "__all__":
            raise AttributeError(attribute)
        if attribute in getattr(provider, "__all__", ()):
            return getattr(provider, attribute)
        if sys.modules.get(name) is lazy:
            del sys.modules[name]
        module = import_module(name)
        lazy.__dict__.update(module.__dict__)
        return getattr(module, attribute)

    lazy.__getattr__ = load
    return lazy


@contextmanager
def without_thread_names() -> Iterator[None]:
    """
    Let trio be imported without the C function that names threads.

    To find that function, trio runs a child process and loads `ctypes`. A gateway
    starts no threads. Without the function, as with some C libraries, trio does not
    name threads. A later import of `ctypes` gets the real module.
    """
    if "ctypes" in sys.modules:
        yield
        return
    ctypes_stub, util_stub = ModuleType("ctypes"), ModuleType("ctypes.util")
    ctypes_stub.util, ctypes_stub.CDLL = util_stub, _refuse_library
    util_stub.find_library = _find_no_library
    sys.modules.update({"ctypes": ctypes_stub, "ctypes.util": util_stub})
    try:
        yield
    finally:
        del sys.modules["ctypes"], sys.modules["ctypes.util"]


def _find_no_library(name: str) -> None:
    """Report that there is no library called `name`, as `ctypes.util` does."""
    return None


def _refuse_library(name: str) -> None:
    """
    Refuse to load a library, as `ctypes.CDLL` does for a missing one.

    Raises
    ------
    OSError
        Always.
    """
    raise OSError(f"cannot load library {name}: ctypes is disabled during start-up")
