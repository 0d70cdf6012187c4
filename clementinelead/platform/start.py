"""First step of a program, before anything large is loaded."""

import gc
import importlib
import signal

__all__ = ["start"]


def start(module: str) -> int:
    """Holds reload signals back until the program handles them, and runs it.

    Without a handler SIGHUP would end a process that is still loading. Garbage
    collection is off until the program is loaded: nearly all that is created
    meanwhile is kept, and the collections take a tenth of the start.

    Args:
        module: Name of the module of the program.

    Returns:
        The exit code of the program.
    """
    gc.disable()
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    launch = importlib.import_module("clementinelead.platform.launch")
    return int(launch.launch(module))
