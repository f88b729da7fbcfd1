"""Tests that names of the platform occur in the adapter only."""

import re
from pathlib import Path

import msgspec

from scaleloom_platform import ADAPTER
from scaleloom_platform.calls import TOPIC_PARTITIONS

ROOT = Path(__file__).parents[2]
# Header names of HTTP standards, which the product may use as well.
STANDARD_NAMES = {"Last-Event-Id"}
# Names of the platform that are also common English words.
COMMON_WORDS = {"Tenant", "tenant", "hold", "Resumes"}
ADAPTER_LINE_LIMIT = 400


def _platform_names() -> list[str]:
    """Return the names that may occur in the adapter only."""
    headers = msgspec.structs.asdict(ADAPTER.headers)
    reserved = headers.pop("reserved")
    names = {value.decode() for value in (*headers.values(), *reserved)}
    checked_names = names - STANDARD_NAMES - COMMON_WORDS
    return [
        *checked_names,
        ADAPTER.ready_path.decode(),
        "/scaleloom/",
        *(name for name, _ in TOPIC_PARTITIONS.values()),
    ]


def test_product_contains_no_platform_names():
    names = "|".join(map(re.escape, _platform_names()))
    check_absent(re.compile(rf"(?<![\w-])(?:{names})", re.IGNORECASE))


def test_product_contains_no_literal_of_a_common_platform_name():
    check_absent(re.compile(rf"[\"'](?:{'|'.join(COMMON_WORDS)})[\"']"))


def check_absent(pattern: re.Pattern) -> None:
    """Check that nothing in the product matches `pattern`."""
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in sorted((ROOT / "packages").rglob("*.py"))
        for match in pattern.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_adapter_is_small_and_shadows_no_standard_module():
    files = list((ROOT / "platform").rglob("*.py"))
    lines = sum(len(path.read_text(encoding="utf-8").splitlines()) for path in files)
    assert 0 < lines <= ADAPTER_LINE_LIMIT
    assert not (ROOT / "platform" / "__init__.py").exists()
