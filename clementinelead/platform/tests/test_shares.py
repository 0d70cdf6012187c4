"""Shares that operators set by environment variables."""

import pytest

from clementinelead.platform import settings

VARIABLE = settings.FURTHER_QUERIES_SHARE_VARIABLE


@pytest.mark.parametrize(
    ("text", "share"), [("", 0.0), ("0", 0.0), ("0.05", 0.05), ("1", 1.0)]
)
def test_shares_from_0_to_1_are_read(text, share):
    assert settings.read_share({VARIABLE: text}, VARIABLE) == share


def test_a_share_that_is_not_set_is_0():
    assert settings.read_share({}, VARIABLE) == 0.0


# Guards against a limit that is misread as another one, or as none.
@pytest.mark.parametrize("text", ["-0.1", "1.01", "nan", "inf", "5%", "all"])
def test_other_shares_are_rejected_with_name_value_and_range(text):
    with pytest.raises(ValueError, match=f"{VARIABLE}.*{text}.*0 to 1"):
        settings.read_share({VARIABLE: text}, VARIABLE)
