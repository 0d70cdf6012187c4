"""TCP site of the administration API, with TLS if a certificate is set."""

import asyncio
import pathlib
import ssl

from aiohttp import web
import loguru

from clementinelead.settings import models as settings_models

__all__ = ["AdministrationSite"]

CERTIFICATE_CHECK_INTERVAL_S = 5.0
"""Interval at which certificate and key are checked for changes, seconds."""


class AdministrationSite:
    """Serves an application on a separate port.

    A certificate and key that are replaced on disk are loaded for new
    connections without a restart.
    """

    def __init__(self, settings: settings_models.Api, address: str):
        self._settings = settings
        self._address = address
        self._context: ssl.SSLContext | None = None
        self._runner: web.AppRunner | None = None
        self._loaded_mtime_ns = 0

    async def start(self, application: web.Application) -> None:
        """Loads certificate and key if there are any, and opens the port.

        Args:
            application: Application to serve.

        Raises:
            OSError: The port is in use, or certificate or key can't be read.
        """
        if self._settings.certificate:
            self._context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            self._load()
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._address,
            self._settings.port,
            ssl_context=self._context,
        )
        await site.start()

    async def stop(self) -> None:
        """Closes the port and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def reload_forever(self) -> None:
        """Reloads certificate and key when they change; returns without TLS."""
        while self._context is not None:
            await asyncio.sleep(CERTIFICATE_CHECK_INTERVAL_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Reloads certificate and key if a file has changed.

        Returns:
            Whether they were reloaded. If they can't be read or don't match,
            the old ones stay in use until the next check.
        """
        try:
            if self._latest_mtime_ns() == self._loaded_mtime_ns:
                return False
            self._load()
        except (OSError, ssl.SSLError) as error:
            loguru.logger.error("certificate or key can't be used: {}", error)
            return False
        loguru.logger.info("certificate and key were taken over")
        return True

    def _load(self) -> None:
        assert self._context is not None, "a site without TLS has no key"
        latest = self._latest_mtime_ns()
        self._context.load_cert_chain(
            self._settings.certificate, self._settings.key or None
        )
        self._loaded_mtime_ns = latest

    def _latest_mtime_ns(self) -> int:
        paths = (self._settings.certificate, self._settings.key)
        return max(
            pathlib.Path(path).stat().st_mtime_ns for path in paths if path
        )
