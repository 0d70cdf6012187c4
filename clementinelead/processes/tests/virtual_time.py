"""Event loop whose clock jumps to the next timer, for tests without sockets."""

import asyncio
import selectors

__all__ = ["VirtualTimeLoop", "run"]


class _JumpingSelector(selectors.SelectSelector):
    """Waits by advancing a clock instead of blocking."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is scheduled")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, which starts at 0."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now


def run(coroutine, monkeypatch):
    """Runs a coroutine on virtual time, also for ``time.monotonic``."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        monkeypatch.setattr("time.monotonic", runner.get_loop().time)
        return runner.run(coroutine)
