"""Tests that the platform's spellings stand in the adapter alone."""

import re
from pathlib import Path

import msgspec

from scaleloom_platform import ADAPTER
from scaleloom_platform.calls import TOPIC_PARTITIONS

ROOT = Path(__file__).parents[2]
# Names of HTTP itself, which the product has of its own right.
STANDARD_NAMES = {"Last-Event-Id"}
# Single words of the platform's that are also ordinary ones.
ORDINARY_WORDS = {"Tenant", "tenant", "hold"}
ADAPTER_LINE_LIMIT = 400


def _spellings() -> list[str]:
    """Return what may stand in the adapter only."""
    headers = msgspec.structs.asdict(ADAPTER.headers)
    reserved = headers.pop("reserved")
    names = {value.decode() for value in (*headers.values(), *reserved)}
    kept = names - STANDARD_NAMES - ORDINARY_WORDS
    return [
        *kept,
        ADAPTER.ready_path.decode(),
        "/scaleloom/",
        *(name for name, _ in TOPIC_PARTITIONS.values()),
    ]


def test_no_spelling_of_the_platform_stands_in_the_product():
    names = "|".join(map(re.escape, _spellings()))
    pattern = re.compile(rf"(?<![\w-])(?:{names})", re.IGNORECASE)
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in sorted((ROOT / "packages").rglob("*.py"))
        for match in pattern.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_the_adapter_stays_small_and_hides_no_standard_module():
    files = list((ROOT / "platform").rglob("*.py"))
    lines = sum(len(path.read_text(encoding="utf-8").splitlines()) for path in files)
    assert 0 < lines <= ADAPTER_LINE_LIMIT
    assert not (ROOT / "platform" / "__init__.py").exists()
