"""The settings of one process, read from an INI file and checked whole before anything starts."""

from __future__ import annotations

import configparser
from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields
from pathlib import Path
from typing import Any, get_type_hints

from result import Err, Ok, Result

from lentilwell._errors import UsageError
from lentilwell.configuration._problems import (
    BadChoice,
    BadNumber,
    BadText,
    MissingKey,
    Problem,
    UnknownKey,
    UnknownSection,
)

MAXIMUM_PORT = 65_535
MAXIMUM_NUMBER = 2**53
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


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
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError(f"{path} is not INI: {error}") from error
    return parse_settings(parser)


def parse_settings(parser: configparser.ConfigParser) -> Settings:
    """Turn a parsed INI file into settings, or raise SettingsError with all that is wrong."""
    kinds = get_type_hints(Settings)
    allowed = ", ".join(kinds)
    problems: list[Problem] = [
        UnknownSection(name, "", 0, allowed) for name in parser.sections() if name not in kinds
    ]
    values: dict[str, Any] = {}
    for name, kind in kinds.items():
        section = _read_section(parser, name, kind)
        if isinstance(section, Err):
            problems.extend(section.err_value)
        else:
            values[name] = section.ok_value
    if problems:
        raise SettingsError("\n".join(str(problem) for problem in problems))
    return Settings(**values)


def _read_section(
    parser: configparser.ConfigParser, section: str, kind: type[Any]
) -> Result[Any, list[Problem]]:
    hints = get_type_hints(kind)
    given = dict(parser.items(section)) if parser.has_section(section) else {}
    allowed = ", ".join(hints)
    problems: list[Problem] = [
        UnknownKey(section, key, 0, allowed) for key in given if key not in hints
    ]
    values: dict[str, Any] = {}
    for field in fields(kind):
        if field.name not in given:
            if field.default is MISSING:
                problems.append(MissingKey(section, field.name, 0))
            continue
        value = _READERS[hints[field.name]](section, field.name, given[field.name])
        if isinstance(value, Err):
            problems.append(value.err_value)
        else:
            values[field.name] = value.ok_value
    return Err(problems) if problems else Ok(kind(**values))


def _read_int(section: str, key: str, text: str) -> Result[Any, Problem]:
    least, most = (0, MAXIMUM_PORT) if key == "port" else (1, MAXIMUM_NUMBER)
    if text.isascii() and text.isdecimal() and least <= int(text) <= most:
        return Ok(int(text))
    return Err(BadNumber(section, key, 0, least, most))


def _read_text(section: str, key: str, text: str) -> Result[Any, Problem]:
    if (section, key) == ("logs", "level") and text.strip() not in LOG_LEVELS:
        return Err(BadChoice(section, key, 0, ", ".join(LOG_LEVELS)))
    if text.strip():
        return Ok(text.strip())
    return Err(BadText(section, key, 0))


_READERS: dict[type[Any], Callable[[str, str, str], Result[Any, Problem]]] = {
    int: _read_int,
    str: _read_text,
}
