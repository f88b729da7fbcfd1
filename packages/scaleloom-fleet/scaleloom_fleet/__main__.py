"""Entry point of ``python -m scaleloom_fleet``, which runs a process of the fleet."""

from scaleloom_fleet.utils import early_signals

# A stop or a reload may be asked for while further modules are being loaded.
early_signals.record()


def _run() -> None:
    """Run the command; a plain gateway is started without loading the command line."""
    import gc
    import sys

    from scaleloom_fleet.utils import (  # noqa: F401
        lazy_modules,
        listening,
        process_info,
    )

    listening.open_missing_streams()
    listening.open_early(sys.argv[1:])
    # Loading modules makes no garbage worth collecting; `starting` turns the collector
    # on.
    gc.disable()
    path = listening.find_gateway_settings(sys.argv[1:])
    if path is None:
        from scaleloom_fleet.main import main

        main()
        return
    lazy_modules.install()
    with lazy_modules.without_thread_names():
        from scaleloom_fleet.starting import start_gateway
    start_gateway(path)


if __name__ == "__main__":
    _run()
