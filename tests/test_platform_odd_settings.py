"""Settings files with odd contents: reading them fails only as declared."""

import json

import msgspec
import pytest
from wire_settings import FILE_DESCRIPTORS, SettingsFile, read_settings

from lentilwell.gateway import ProcessLimits

SETTINGS = {
    "node_name": "n",
    "ip": "10.0.0.1",
    "zone": "z",
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "internal_ports": [7_000, 7_001],
    "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "extra_retries": 3, "max_hold_ms": 5},
    "platform": {"address": "10.0.0.2:80"},
}
ODD_FILES = {
    "invalid UTF-8": json.dumps(SETTINGS).replace('"n"', '"n\xff"').encode("latin-1"),
    "deep nesting": b'{"more": ' + b"[" * 30_000 + b"]" * 30_000 + b"}",
    "a time beyond a float": json.dumps({**SETTINGS, "bounds": {"grace_s": 1e308}}).encode(),
    "a number beyond 64 bits": json.dumps(
        {**SETTINGS, "bounds": {"max_hold_ms": 10**400}}
    ).encode(),
    "half a file": json.dumps(SETTINGS).encode()[:80],
    "nothing": b"",
}


@pytest.mark.parametrize("contents", ODD_FILES.values(), ids=ODD_FILES)
def test_odd_settings_file_is_refused_and_the_current_settings_stay(tmp_path, contents):
    """Maintenance reads the file, and an error other than the declared ones ended the process."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    settings = SettingsFile(path)
    before = settings.current
    path.write_bytes(contents)
    with pytest.raises(msgspec.DecodeError):
        read_settings(path)
    settings._modified_ns = 0
    assert settings.read_changed() is None and settings.current == before


@pytest.mark.parametrize(
    "limits", ["null", "7", "[]", '{"memory_mb": 1e999}', '{"memory_mb": "much", "max_fds": -1}']
)
def test_odd_limits_of_the_process_leave_the_rest_of_the_settings_in_effect(tmp_path, limits):
    """A process must start, with default limits, whatever these optional fields are."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**SETTINGS, "limits": "ODD"}).replace('"ODD"', limits))
    gateway = read_settings(path).gateway
    assert gateway.limits == ProcessLimits() and gateway.instance == "n"


@pytest.mark.parametrize(("value", "enabled"), [(True, True), (False, False), ("yes", False)])
def test_admission_control_is_on_only_if_the_settings_say_so(tmp_path, value, enabled):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**SETTINGS, "admission_control": value}))
    assert read_settings(path).gateway.admission_control is enabled
    path.write_text(json.dumps(SETTINGS))
    assert not read_settings(path).gateway.admission_control


def test_limits_of_the_process_are_read(tmp_path):
    """A field that is not understood must not hide the others."""
    limits = {"memory_mb": 152, "max_fds": 1_535, "link_mbps": 7}
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**SETTINGS, "limits": limits}))
    assert read_settings(path).gateway.limits == ProcessLimits(152, 1_535 - FILE_DESCRIPTORS)
