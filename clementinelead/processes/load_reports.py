"""Polls the target's own load report, which is only a hint."""

import asyncio
import time

import aiohttp
import loguru
import pydantic

from clementinelead.flows import loads

__all__ = ["LoadReport", "LoadReportPoller"]

POLL_INTERVAL_S = 0.5
"""Delay between the end of one poll and the next, seconds."""

POLL_TIMEOUT_S = 0.4
"""Timeout of one poll, seconds."""


class LoadReport(pydantic.BaseModel):
    """Load that a target reports of itself.

    Attributes:
        shedding: Whether the target rejects new work.
        retry_after_ms: Time after which it accepts work again, milliseconds.
    """

    shedding: bool = False
    retry_after_ms: float = 0.0


class LoadReportPoller:
    """Polls the target's load report and updates the load estimate."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        load: loads.LoadEstimate,
    ):
        self._session = session
        self._url = url
        self._load = load

    async def run(self) -> None:
        """Polls until cancelled; a failed poll leaves the estimate as it is."""
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        while True:
            try:
                async with self._session.get(
                    self._url, timeout=timeout
                ) as response:
                    report = LoadReport.model_validate(await response.json())
                self._load.apply_load_report(
                    report.shedding,
                    report.retry_after_ms / 1000,
                    time.monotonic(),
                )
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                loguru.logger.debug("the target's load report is not usable")
            await asyncio.sleep(POLL_INTERVAL_S)
