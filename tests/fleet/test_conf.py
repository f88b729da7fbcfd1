"""Tests of settings, their checks and the reference files."""

import subprocess
import sys
import tempfile
from pathlib import Path

from nose2.tools import params

from scaleloom_fleet.conf import check_file, load_sidecar_settings
from scaleloom_fleet.conf.reference import render_reference

REFERENCE = Path(__file__).parents[2] / "docs" / "reference"
SIDECAR = (REFERENCE / "sidecar.ini").read_text(encoding="utf-8")


def _check(text: str, role: str = "sidecar"):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "settings.ini"
        path.write_text(text, encoding="utf-8")
        return check_file(path, role)


@params("gateway", "router", "sidecar")
def test_reference_file_is_up_to_date_and_valid(role):
    path = REFERENCE / f"{role}.ini"
    assert path.read_text(encoding="utf-8") == render_reference(role)
    assert check_file(path, role) == []


def test_defaults_apply():
    settings = load_sidecar_settings(REFERENCE / "sidecar.ini").unwrap()
    assert (settings.bound.multiple, settings.lease.lease_s) == (1.25, 5.0)


@params(
    ("bound", "multipel = 2", "scaleloom.E003", "multipel"),
    ("bound", "multiple = 0.5", "scaleloom.E005", "multiple"),
    ("lease", "lease_s = 5s", "scaleloom.E006", "lease_s"),
    ("lease", "lease_s = 0.7", "scaleloom.E008", "lease_s"),
)
def test_invalid_setting_is_reported(section, line, number, key):
    header = f"[{section}]\n"
    (message,) = _check(SIDECAR.replace(header, f"{header}{line}\n"))
    assert (message.number, message.section, message.key) == (number, section, key)
    assert message.hint and key in str(message)


def test_unknown_section_is_reported():
    (message,) = _check(SIDECAR + "\n[nonsense]\n")
    assert (message.number, message.section) == ("scaleloom.E002", "nonsense")


def test_all_problems_are_reported_together():
    text = "[instance]\nname = e 1\nhttp_port = 99999\n[target]\nkind = tags\n"
    messages = _check(text)
    numbers = {message.number for message in messages}
    assert {"scaleloom.E004", "scaleloom.E005"} <= numbers
    assert len(messages) > 8


def test_port_conflict_and_missing_service_name_are_reported():
    text = SIDECAR.replace("grpc_port = 8002", "grpc_port = 8000")
    text = text.replace("kind = engine", "kind = service")
    assert [item.number for item in _check(text)] == [
        "scaleloom.E007",
        "scaleloom.E010",
    ]


def test_missing_file_is_reported():
    (message,) = check_file(Path("nowhere.ini"), "router")
    assert message.number == "scaleloom.E001"


def test_gateway_imports_no_settings_of_other_roles():
    program = (
        "import sys, scaleloom_fleet.main, scaleloom_fleet.gateway.process\n"
        "from scaleloom_fleet.conf.roles import settings_class\n"
        "settings_class('gateway')\n"
        "assert 'scaleloom_fleet.conf.schema' not in sys.modules\n"
        "assert 'scaleloom_core.idempotency' not in sys.modules\n"
    )
    assert subprocess.run([sys.executable, "-c", program]).returncode == 0
