"""Bearer tokens of teams and the rights that they grant."""

import dataclasses
import enum
import hashlib
import hmac
import re

__all__ = ["ALL_TEAMS", "Grant", "Right", "matching_grants", "parse_grant"]

ALL_TEAMS = "*"
_GRANT_PATTERN = re.compile(
    r"^(?P<team>\*|[a-z0-9][a-z0-9.-]{0,62}):(?P<right>read|change):"
    r"(?P<digest>[0-9a-f]{64})$"
)


class Right(enum.IntEnum):
    """Permission of a token; a higher value includes the lower ones."""

    READ = 1
    CHANGE = 2


@dataclasses.dataclass(frozen=True)
class Grant:
    """Permission that a token grants on the services of a team.

    Attributes:
        team: Team whose services the grant covers, ``*`` for all teams.
        right: Permission on these services.
        digest: SHA-256 of the token, in hexadecimal; the token itself is not
            stored.
    """

    team: str
    right: Right
    digest: str

    def covers_team(self, team: str) -> bool:
        """Returns whether the grant covers the services of a team."""
        return self.team in (team, ALL_TEAMS)


def parse_grant(text: str) -> Grant:
    """Parses a grant in the form ``team:right:digest``.

    Raises:
        ValueError: The text does not have this form.

    Examples:
        >>> parse_grant("*:read:" + 64 * "0").team
        '*'
    """
    match = _GRANT_PATTERN.match(text)
    if match is None:
        raise ValueError("must be team:read|change:sha256 in hexadecimal")
    right = Right[match["right"].upper()]
    return Grant(match["team"], right, match["digest"])


def matching_grants(token: str, grants: tuple[Grant, ...]) -> tuple[Grant, ...]:
    """Returns the grants of a token.

    Digests are compared in constant time, against timing attacks.

    Args:
        token: Token of the request.
        grants: All grants.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    return tuple(
        grant for grant in grants if hmac.compare_digest(grant.digest, digest)
    )
