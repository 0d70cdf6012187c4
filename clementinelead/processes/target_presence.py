"""Whether anything listens where the target beside a process would."""

import asyncio

__all__ = ["BOUND_S", "is_absent"]

ATTEMPTS = 2
"""Attempts that must all be refused."""

PAUSE_S = 0.05
"""Pause between two attempts, seconds."""

TIMEOUT_S = 0.25
"""Deadline of an attempt, seconds; a target that is slow is there."""

BOUND_S = ATTEMPTS * TIMEOUT_S + PAUSE_S
"""Time after which the answer is there, seconds."""


async def is_absent(address: tuple[str, int]) -> bool:
    """Tells whether connections to a target of this machine are refused.

    A target that lives listens, however slow or unhealthy it is. Nothing is
    sent, so the target has no request to work on.

    Args:
        address: IP address and TCP port of the target.
    """
    for attempt in range(ATTEMPTS):
        if attempt:
            await asyncio.sleep(PAUSE_S)
        if not await _refused(address):
            return False
    return True


async def _refused(address: tuple[str, int]) -> bool:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False  # nothing is known; the target may live
    writer.transport.abort()
    return False
