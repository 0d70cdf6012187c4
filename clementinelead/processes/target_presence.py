"""Whether anything listens where the target beside a process would."""

import asyncio

__all__ = ["MAX_CHECK_S", "is_absent"]

CONNECTION_ATTEMPTS = 2
"""Attempts that must all be refused."""

ATTEMPT_INTERVAL_S = 0.05
"""Pause between two attempts, seconds."""

ATTEMPT_TIMEOUT_S = 0.25
"""Deadline of an attempt, seconds; a target that is slow is there."""

MAX_CHECK_S = CONNECTION_ATTEMPTS * ATTEMPT_TIMEOUT_S + ATTEMPT_INTERVAL_S
"""Time after which the answer is there, seconds."""


async def is_absent(address: tuple[str, int]) -> bool:
    """Tells whether connections to a target of this machine are refused.

    A target that lives listens, however slow or unhealthy it is. Nothing is
    sent, so the target has no request to work on.

    Args:
        address: IP address and TCP port of the target.
    """
    for attempt in range(CONNECTION_ATTEMPTS):
        if attempt:
            await asyncio.sleep(ATTEMPT_INTERVAL_S)
        if not await _refused(address):
            return False
    return True


async def _refused(address: tuple[str, int]) -> bool:
    try:
        async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False  # nothing is known; the target may live
    writer.transport.abort()
    return False
