"""TLS of the administration API and reloads of certificate and key."""

import asyncio
import os
import ssl

import aiohttp
from aiohttp import web
import pytest
import trustme

from bench import ports
from clementinelead.processes import administration_site
from clementinelead.settings import models

ADDRESS = "127.0.0.1"


def write_certificate(folder, authority):
    """Writes a certificate and a key that an authority issues."""
    issued = authority.issue_cert(ADDRESS)
    issued.private_key_pem.write_to_path(folder / "key.pem")
    issued.cert_chain_pems[0].write_to_path(folder / "certificate.pem")


def api_settings(folder):
    """Returns settings with a free port and the files of a folder."""
    return models.Api(
        port=ports.Ports().pick(ADDRESS),
        certificate=str(folder / "certificate.pem"),
        key=str(folder / "key.pem"),
    )


async def fetch(port, authority):
    """Returns the response to a caller that trusts only one authority."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    authority.configure_trust(context)
    connector = aiohttp.TCPConnector(ssl=context)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with session.get(f"https://{ADDRESS}:{port}/") as response:
            return await response.text()


async def hello(_):
    return web.Response(text="hello")


def test_replaced_certificate_is_used_for_new_connections(tmp_path):
    async def scenario():
        old, new = trustme.CA(), trustme.CA()
        write_certificate(tmp_path, old)
        settings = api_settings(tmp_path)
        site = administration_site.AdministrationSite(settings, ADDRESS)
        application = web.Application()
        application.router.add_get("/", hello)
        await site.start(application)
        try:
            assert await fetch(settings.port, old) == "hello"
            assert not site.reload_if_changed()
            write_certificate(tmp_path, new)
            os.utime(tmp_path / "key.pem", ns=(2**62, 2**62))
            assert site.reload_if_changed()
            assert await fetch(settings.port, new) == "hello"
            with pytest.raises(aiohttp.ClientError):
                await fetch(settings.port, old)
        finally:
            await site.stop()

    asyncio.run(scenario())


def test_invalid_new_key_leaves_the_old_one_in_use(tmp_path):
    async def scenario():
        authority = trustme.CA()
        write_certificate(tmp_path, authority)
        settings = api_settings(tmp_path)
        site = administration_site.AdministrationSite(settings, ADDRESS)
        application = web.Application()
        application.router.add_get("/", hello)
        await site.start(application)
        try:
            (tmp_path / "key.pem").write_text("not a key")
            os.utime(tmp_path / "key.pem", ns=(2**62, 2**62))
            assert not site.reload_if_changed()
            assert await fetch(settings.port, authority) == "hello"
        finally:
            await site.stop()

    asyncio.run(scenario())
