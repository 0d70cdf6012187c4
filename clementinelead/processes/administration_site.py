"""TCP site of the administration API, with TLS if the settings ask for it."""

import asyncio
import pathlib
import ssl

from aiohttp import web
import loguru

from clementinelead.settings import models as settings_models

__all__ = ["AdministrationSite"]

CERTIFICATE_CHECK_INTERVAL_S = 5.0


class AdministrationSite:
    """Serves an application on a port of its own.

    A certificate and key that are replaced on disk are taken over for new
    connections, without a restart.
    """

    def __init__(self, settings: settings_models.Api, address: str):
        self._settings = settings
        self._address = address
        self._context: ssl.SSLContext | None = None
        self._runner: web.AppRunner | None = None
        self._modified = 0

    async def start(self, application: web.Application) -> None:
        """Opens the port.

        Args:
            application: What to serve.

        Raises:
            OSError: The port is taken, or certificate or key can't be read.
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
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def reload_forever(self) -> None:
        """Takes over a new certificate and key when they appear."""
        while self._context is not None:
            await asyncio.sleep(CERTIFICATE_CHECK_INTERVAL_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Takes over certificate and key if they have changed.

        Returns:
            Whether they have. Files that don't fit together are left for
            the next time, and the old ones stay in use.
        """
        try:
            if self._latest() == self._modified:
                return False
            self._load()
        except (OSError, ssl.SSLError) as error:
            loguru.logger.error("certificate or key can't be used: {}", error)
            return False
        loguru.logger.info("certificate and key were taken over")
        return True

    def _load(self) -> None:
        assert self._context is not None, "a site without TLS has no key"
        latest = self._latest()
        self._context.load_cert_chain(
            self._settings.certificate, self._settings.key or None
        )
        self._modified = latest

    def _latest(self) -> int:
        paths = (self._settings.certificate, self._settings.key)
        return max(
            pathlib.Path(path).stat().st_mtime_ns for path in paths if path
        )
