"""Tests of settings: all faults are reported together, each with its section and key."""

import configparser

import pytest

from lentilwell.configuration._settings import SettingsError, parse_settings

VALID_SETTINGS = {
    "instance": {"name": "entry-1", "data_centre": "luzon-a"},
    "operators": {"token": "t"},
    "peers": {"key": "k"},
    "platform": {"url": "http://127.0.0.1:1"},
}


def parse(changes):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict({**VALID_SETTINGS, **changes})
    return parse_settings(parser)


def test_missing_keys_get_their_defaults():
    settings = parse({})
    assert (settings.callers.workers, settings.logs.level) == (32, "INFO")


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"listener": {}}, "[listener]"),
        ({"callers": {"prot": "1"}}, "[callers] prot"),
        ({"callers": {"port": "65536"}}, "[callers] port must be a whole number from 0 to 65535"),
        ({"callers": {"workers": "0"}}, "[callers] workers must be a whole number from 1"),
        ({"callers": {"workers": "-3"}}, "[callers] workers"),
        ({"callers": {"workers": "²"}}, "[callers] workers"),
        ({"operators": {}}, "[operators] token"),
        ({"operators": {"token": "  "}}, "[operators] token"),
        ({"logs": {"level": "loud"}}, "[logs] level must be one of DEBUG, INFO"),
    ],
)
def test_each_fault_is_reported(changes, named):
    with pytest.raises(SettingsError) as caught:
        parse(changes)
    assert named in str(caught.value)


def test_all_faults_are_reported_together():
    with pytest.raises(SettingsError) as caught:
        parse({"callers": {"prot": "1", "workers": "x"}, "peers": {}})
    message = str(caught.value)
    assert all(part in message for part in ("prot", "workers", "[peers] key"))
    assert caught.value.exit_code == 2
