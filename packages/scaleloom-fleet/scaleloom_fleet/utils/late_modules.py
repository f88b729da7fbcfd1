"""
Modules that are loaded at their first use, if ever.

The libraries of a gateway load parts of the standard library that it never
uses, such as the one for encrypted connections. These are half of what a
machine with little memory would give to a gateway that has nothing to do yet.
Only the standard library is used here.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module
from types import ModuleType

# What trio, idna, attrs and pathlib name at their start and a gateway never uses:
# encrypted connections, host names, addresses in brackets, child processes.
LATE = ("ssl", "hmac", "idna", "ipaddress", "subprocess")
# What the first takes over from newer versions of the second is there already.
SERVED_BY = {"typing_extensions": "typing"}


def defer() -> None:
    """Let modules that are not loaded yet be loaded at their first use."""
    for name in (*LATE, *SERVED_BY):
        if name not in sys.modules:
            server = SERVED_BY.get(name)
            sys.modules[name] = late_module(name, server and import_module(server))


def late_module(name: str, server: ModuleType | None = None) -> ModuleType:
    """
    Return a module that becomes the one called `name` once it is used.

    Parameters
    ----------
    server : module or None
        Gives what it has without the other being loaded.
    """
    late = ModuleType(name)

    def load(attribute: str) -> object:
        # The loader asks for these of modules that are there; they tell nothing.
        if attribute.startswith("__") and attribute != "__all__":
            raise AttributeError(attribute)
        if attribute in getattr(server, "__all__", ()):
            return getattr(server, attribute)
        if sys.modules.get(name) is late:
            del sys.modules[name]
        loaded = import_module(name)
        late.__dict__.update(loaded.__dict__)
        return getattr(loaded, attribute)

    late.__getattr__ = load
    return late


@contextmanager
def without_thread_names() -> Iterator[None]:
    """
    Let trio be loaded without the C function that names threads.

    To find it trio runs a child process and loads a foreign function library.
    A gateway starts no threads. Where the function is missing, as with other C
    libraries, trio does without; whoever imports `ctypes` later gets it whole.
    """
    if "ctypes" in sys.modules:
        yield
        return
    absent, finder = ModuleType("ctypes"), ModuleType("ctypes.util")
    absent.util, absent.CDLL = finder, _refuse_library
    finder.find_library = _find_no_library
    sys.modules.update({"ctypes": absent, "ctypes.util": finder})
    try:
        yield
    finally:
        del sys.modules["ctypes"], sys.modules["ctypes.util"]


def _find_no_library(name: str) -> None:
    """Tell that there is no library called `name`."""
    return None


def _refuse_library(name: str) -> None:
    """
    Refuse to load a library.

    Raises
    ------
    OSError
        Always.
    """
    raise OSError(f"{name} is not loaded here")
