"""The settings of one process, read from an INI file and checked whole before anything starts."""

from __future__ import annotations

import configparser
from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, get_type_hints

from lentilwell._errors import UsageError

MAXIMUM_PORT = 65_535


class SettingsError(UsageError):
    """A settings file is wrong; the message names section, key and what is allowed."""


@dataclass(frozen=True)
class InstanceSettings:
    """Who this process is."""

    name: str
    data_centre: str


@dataclass(frozen=True)
class CallersSettings:
    """The callers' listener. Sizes in bytes, durations in milliseconds."""

    host: str = "127.0.0.1"
    port: int = 0
    workers: int = 32
    maximum_body_bytes: int = 16_777_216
    read_timeout_ms: int = 30_000
    maximum_streams: int = 2_000


@dataclass(frozen=True)
class OperatorsSettings:
    """The operators' listener; every call but liveness and readiness needs the token."""

    token: str
    host: str = "127.0.0.1"
    port: int = 0


@dataclass(frozen=True)
class PeersSettings:
    """The listener for the other entry instances, which share ``key``.

    ``seeds`` are ``host:port`` of peers to find while the platform is down, parted by spaces.
    """

    key: str
    host: str = "127.0.0.1"
    port: int = 0
    seeds: str = ""


@dataclass(frozen=True)
class PlatformSettings:
    """Where the platform is and how long to wait for it."""

    url: str
    dialect: str = "http"
    timeout_ms: int = 1_500


@dataclass(frozen=True)
class StopSettings:
    """A planned stop: how long the balancer goes on sending, and the longest wait in all."""

    balancer_lag_ms: int = 3_000
    patience_ms: int = 1_800_000


@dataclass(frozen=True)
class LogsSettings:
    """The least level that is logged."""

    level: str = "INFO"


@dataclass(frozen=True)
class Settings:
    """All settings of an entry instance."""

    instance: InstanceSettings
    callers: CallersSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    stop: StopSettings
    logs: LogsSettings


def read_settings(path: Path) -> Settings:
    """Read and check a settings file, or raise SettingsError with everything to change in it."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}; check the path") from error
    except configparser.Error as error:
        raise SettingsError(f"{path} is not INI: {error.message}") from error
    return parse_settings(parser)


def parse_settings(parser: configparser.ConfigParser) -> Settings:
    """Turn a parsed INI file into settings."""
    sections = get_type_hints(Settings)
    for name in parser.sections():
        if name not in sections:
            allowed = ", ".join(sections)
            raise SettingsError(f"[{name}] is not a section; allowed are {allowed}")
    values = {name: _parse_section(parser, name, kind) for name, kind in sections.items()}
    return Settings(**values)


def _parse_section(parser: configparser.ConfigParser, section: str, kind: type[Any]) -> Any:
    hints = get_type_hints(kind)
    given = dict(parser.items(section)) if parser.has_section(section) else {}
    for key in given:
        if key not in hints:
            allowed = ", ".join(hints)
            raise SettingsError(f"[{section}] {key} is not a key; allowed are {allowed}")
    values: dict[str, Any] = {}
    for field in fields(kind):
        if field.name in given:
            values[field.name] = _PARSERS[hints[field.name]](section, field.name, given[field.name])
        elif field.default is not field.default_factory:
            values[field.name] = field.default
        else:
            raise SettingsError(f"[{section}] {field.name} is missing; give it a value")
    return kind(**values)


def _parse_int(section: str, key: str, text: str) -> int:
    least, most = (0, MAXIMUM_PORT) if key == "port" else (1, 2**53)
    if not text.isdecimal() or not least <= int(text) <= most:
        raise SettingsError(f"[{section}] {key} must be a whole number from {least} to {most}")
    return int(text)


def _parse_text(section: str, key: str, text: str) -> str:
    if not text.strip():
        raise SettingsError(f"[{section}] {key} is empty; give it a value")
    return text.strip()


_PARSERS: dict[type[Any], Callable[[str, str, str], Any]] = {int: _parse_int, str: _parse_text}
