"""Tokens of teams: who may read and change what."""

import dataclasses
import enum
import hashlib
import hmac
import re

__all__ = ["ALL_TEAMS", "Grant", "Right", "matching_grants", "parse_grant"]

ALL_TEAMS = "*"
_FORM = re.compile(
    r"^(?P<team>\*|[a-z0-9][a-z0-9.-]{0,62}):(?P<right>read|change):"
    r"(?P<digest>[0-9a-f]{64})$"
)


class Right(enum.IntEnum):
    """What a token allows; a higher one includes the lower ones."""

    READ = 1
    CHANGE = 2


@dataclasses.dataclass(frozen=True)
class Grant:
    """What the bearer of a token may do.

    Attributes:
        team: Team whose services it concerns, ``*`` for all.
        right: What is allowed.
        digest: SHA-256 of the token, in hexadecimal; the token itself is
            nowhere stored.
    """

    team: str
    right: Right
    digest: str

    def covers_team(self, team: str) -> bool:
        """Tells whether a team's services are meant."""
        return self.team in (team, ALL_TEAMS)


def parse_grant(text: str) -> Grant:
    """Returns the grant of a ``team:right:digest`` text.

    Raises:
        ValueError: The text is not of that form.

    Examples:
        >>> parse_grant("*:read:" + 64 * "0").team
        '*'
    """
    match = _FORM.match(text)
    if match is None:
        raise ValueError("must be team:read|change:sha256 in hexadecimal")
    right = Right[match["right"].upper()]
    return Grant(match["team"], right, match["digest"])


def matching_grants(token: str, grants: tuple[Grant, ...]) -> tuple[Grant, ...]:
    """Returns the grants of a token, comparing in constant time.

    Args:
        token: Token as the caller sent it.
        grants: All grants.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    return tuple(
        grant for grant in grants if hmac.compare_digest(grant.digest, digest)
    )
