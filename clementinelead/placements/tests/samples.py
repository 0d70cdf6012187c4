"""Sample services for tests of placements."""

from clementinelead.configurations import models

__all__ = ["service"]


def service(name, number, **fields):
    """Returns a service whose address is derived from a number."""
    return models.Service(
        name=name,
        team="consortium",
        address=f"10.9.0.{number}",
        port=43,
        protocol="tcp",
        **fields,
    )
