"""Content of a settings file for tests."""

from clementinelead.platform import settings

CONTENT = {
    "node_name": "side-a-1",
    "role": "side",
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "r",
    "internal_ports": [7720, 7735],
    "seeds": ["10.0.0.1:8166"],
    "listen": {
        "datagram_addr": "127.0.0.1:8172",
        "outbound": "127.0.0.1:8162",
        "ready": "127.0.0.1:8167",
        "control": "127.0.0.1:8166",
    },
    "bounds": {"grace_s": 6},
    "platform": {"address": "10.200.1.7:8169", "deploy_mode": "kv"},
    "app": "127.0.0.1:8165",
    "service": "whois",
}


def side(**fields: object) -> settings.NodeSettings:
    """Returns settings of a side process.

    Args:
        **fields: Fields of the file that replace those of ``CONTENT``.
    """
    return settings.convert({**CONTENT, **fields})
