"""Check whether a process listens at the address of the target."""

import asyncio

__all__ = ["MAX_CHECK_S", "is_absent"]

CONNECTION_ATTEMPTS = 2
"""Connection attempts, which must all be refused."""

ATTEMPT_INTERVAL_S = 0.05
"""Delay between two attempts, seconds."""

ATTEMPT_TIMEOUT_S = 0.25
"""Timeout of an attempt, seconds; a target that times out counts as present."""

MAX_CHECK_S = CONNECTION_ATTEMPTS * ATTEMPT_TIMEOUT_S + ATTEMPT_INTERVAL_S
"""Longest duration of the check, seconds."""


async def is_absent(address: tuple[str, int]) -> bool:
    """Returns whether connections to the target on this instance are refused.

    A running target listens even if it is slow or unhealthy. No data is sent,
    so the target has no request to process.

    Args:
        address: IP address and TCP port of the target.

    Returns:
        True if all attempts are refused; False if one succeeds or fails
        otherwise, as the target may be running.
    """
    for attempt in range(CONNECTION_ATTEMPTS):
        if attempt:
            await asyncio.sleep(ATTEMPT_INTERVAL_S)
        if not await _is_refused(address):
            return False
    return True


async def _is_refused(address: tuple[str, int]) -> bool:
    try:
        async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False  # inconclusive: the target may be running
    writer.transport.abort()
    return False
