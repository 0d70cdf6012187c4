"""Reads the target's own load report; a hint, not the truth."""

import asyncio
import time

import aiohttp
import loguru
import pydantic

from clementinelead.flows import loads

__all__ = ["LoadReport", "LoadReports"]

INTERVAL_S = 0.5
TIMEOUT_S = 0.4


class LoadReport(pydantic.BaseModel):
    """What a target says of itself.

    Attributes:
        shedding: Whether it turns new work away.
        retry_after_ms: When it would take work again, milliseconds.
    """

    shedding: bool = False
    retry_after_ms: float = 0.0


class LoadReports:
    """Asks the target at intervals and passes on what it says."""

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
        """Asks until cancelled; a target that does not answer says nothing."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
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
            await asyncio.sleep(INTERVAL_S)
