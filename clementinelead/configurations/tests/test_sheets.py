"""Tests the reading of sheets and the findings on invalid ones."""

import pytest

from clementinelead import exceptions
from clementinelead.configurations import sheets

HEADER = "name,team,address,port,protocol\n"


def read_findings(tmp_path, data, **options):
    """Returns the findings on an invalid sheet, without its path."""
    path = tmp_path / "sheet.csv"
    path.write_bytes(data if isinstance(data, bytes) else data.encode())
    with pytest.raises(exceptions.FindingsError) as caught:
        sheets.read(path, **options)
    return [
        str(finding).replace(f"{path}:", "")
        for finding in caught.value.findings
    ]


def test_all_findings_are_reported_together(tmp_path):
    findings = read_findings(
        tmp_path,
        HEADER
        + "a,consortium,10.9.0.1,43,tcp\n"
        + "a,consortium,10.9.0.2,43,tcp\n"
        + "b,consortium,10.9.0.1,43,tcp\n"
        + "c,strangers,10.9.0.3,43,tcp\n"
        + "d,consortium,10.9.0.4,many,sctp\n"
        + "e,consortium,10.9.0.5\n",
        teams=frozenset({"consortium"}),
    )
    text = "\n".join(findings)
    for place in (
        "3:name",
        "4:address",
        "5:team",
        "6:port",
        "6:protocol",
        "7:",
    ):
        assert place in text


@pytest.mark.parametrize(
    ("data", "problem"),
    [
        (b"", "is empty"),
        (b"name,team,address,port\n", "1:protocol: column is missing"),
        (HEADER.strip().encode() + b",colour\n", "column is unknown"),
        (HEADER.encode() + b"a,\xff,1,2,tcp\n", "2: byte 0xff is not UTF-8"),
        (HEADER.encode() + b'"a', "unexpected end of data"),
    ],
)
def test_finding_on_unreadable_sheet_names_the_place(tmp_path, data, problem):
    assert problem in "\n".join(read_findings(tmp_path, data))


def test_byte_order_mark_blank_lines_and_spaces_are_accepted(tmp_path):
    path = tmp_path / "sheet.csv"
    text = "\ufeff" + HEADER + "\n a , consortium,10.9.0.1 ,43,tcp\n,,,,\n"
    path.write_text(text, "utf-8")
    rows = sheets.read(path)
    assert rows["a"].service.address == "10.9.0.1"
    assert rows["a"].number == 3


def test_sheet_with_18_000_rows_is_read(tmp_path):
    path = tmp_path / "sheet.csv"
    lines = [
        f"s{number},consortium,10.{number >> 8}.{number & 255}.1,80,tcp"
        for number in range(18_000)
    ]
    path.write_text(HEADER + "\n".join(lines), "utf-8")
    assert len(sheets.read(path)) == 18_000


def test_more_addresses_are_read_and_duplicates_are_findings(tmp_path):
    header = "name,team,address,port,protocol,more_addresses\n"
    path = tmp_path / "sheet.csv"
    first = "a,consortium,10.9.0.1,43,tcp,10.9.1.1:43 10.9.1.2:43\n"
    path.write_text(header + first)
    row = sheets.read(path)["a"]
    assert row.service.more_addresses == ("10.9.1.1:43", "10.9.1.2:43")
    findings = read_findings(
        tmp_path, header + first + "b,consortium,10.9.1.2,43,tcp,\n"
    )
    assert findings == ["3:address: tcp 10.9.1.2:43 is also in row 2"]
