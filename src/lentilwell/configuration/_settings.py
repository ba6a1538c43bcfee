"""The settings of a process, read from an INI file and validated before it starts."""

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

MAX_PORT = 65_535
MAX_NUMBER = 2**53
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class SettingsError(UsageError):
    """A settings file is invalid; the message lists every problem with its section and key."""


@dataclass(frozen=True)
class InstanceSettings:
    """The name of this instance and its data centre."""

    name: str
    data_centre: str


@dataclass(frozen=True)
class CallersSettings:
    """The listener for callers; sizes are in bytes, durations in milliseconds."""

    host: str = "127.0.0.1"
    port: int = 0
    workers: int = 32
    maximum_body_bytes: int = 16_777_216
    read_timeout_ms: int = 30_000
    maximum_streams: int = 2_000


@dataclass(frozen=True)
class OperatorsSettings:
    """The listener for operators; all calls except liveness and readiness require ``token``."""

    token: str
    host: str = "127.0.0.1"
    port: int = 0


@dataclass(frozen=True)
class PeersSettings:
    """The listener for the other entry instances, which have the same ``key``.

    ``seeds`` is a space-separated list of ``host:port`` addresses of peers, used to find peers
    during an outage of the platform.
    """

    key: str
    host: str = "127.0.0.1"
    port: int = 0
    seeds: str = ""


@dataclass(frozen=True)
class PlatformSettings:
    """The address of the platform, its dialect and the timeout of a call."""

    url: str
    dialect: str = "http"
    timeout_ms: int = 1_500


@dataclass(frozen=True)
class StopSettings:
    """The timing of a planned stop.

    Both periods begin when the stop begins. For ``balancer_lag_ms`` the load balancer may go on
    sending new requests, and the instance accepts them. ``patience_ms`` is the timeout for open
    requests.
    """

    balancer_lag_ms: int = 3_000
    patience_ms: int = 1_800_000


@dataclass(frozen=True)
class LogsSettings:
    """The minimum level of log lines that are written."""

    level: str = "INFO"


@dataclass(frozen=True)
class Settings:
    """All settings of an entry instance, one field for each section."""

    instance: InstanceSettings
    callers: CallersSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    stop: StopSettings
    logs: LogsSettings


def read_settings(path: Path) -> Settings:
    """Read and validate a settings file; raise SettingsError with every problem found."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}; check the path") from error
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError(f"{path} is not a valid INI file: {error}") from error
    return parse_settings(parser)


def parse_settings(parser: configparser.ConfigParser) -> Settings:
    """Build settings from a parsed INI file; raise SettingsError with every problem found."""
    section_types = get_type_hints(Settings)
    allowed = ", ".join(section_types)
    problems: list[Problem] = [
        UnknownSection(name, "", 0, allowed)
        for name in parser.sections()
        if name not in section_types
    ]
    values: dict[str, Any] = {}
    for name, section_type in section_types.items():
        section = _read_section(parser, name, section_type)
        if isinstance(section, Err):
            problems.extend(section.err_value)
        else:
            values[name] = section.ok_value
    if problems:
        raise SettingsError("\n".join(str(problem) for problem in problems))
    return Settings(**values)


def _read_section(
    parser: configparser.ConfigParser, section: str, section_type: type[Any]
) -> Result[Any, list[Problem]]:
    field_types = get_type_hints(section_type)
    text_by_key = dict(parser.items(section)) if parser.has_section(section) else {}
    allowed = ", ".join(field_types)
    problems: list[Problem] = [
        UnknownKey(section, key, 0, allowed) for key in text_by_key if key not in field_types
    ]
    values: dict[str, Any] = {}
    for field in fields(section_type):
        if field.name not in text_by_key:
            if field.default is MISSING:
                problems.append(MissingKey(section, field.name, 0))
            continue
        value = _READERS_BY_TYPE[field_types[field.name]](
            section, field.name, text_by_key[field.name]
        )
        if isinstance(value, Err):
            problems.append(value.err_value)
        else:
            values[field.name] = value.ok_value
    return Err(problems) if problems else Ok(section_type(**values))


def _read_int(section: str, key: str, text: str) -> Result[Any, Problem]:
    minimum, maximum = (0, MAX_PORT) if key == "port" else (1, MAX_NUMBER)
    if text.isascii() and text.isdecimal() and minimum <= int(text) <= maximum:
        return Ok(int(text))
    return Err(BadNumber(section, key, 0, minimum, maximum))


def _read_text(section: str, key: str, text: str) -> Result[Any, Problem]:
    if (section, key) == ("logs", "level") and text.strip() not in LOG_LEVELS:
        return Err(BadChoice(section, key, 0, ", ".join(LOG_LEVELS)))
    if text.strip():
        return Ok(text.strip())
    return Err(BadText(section, key, 0))


_READERS_BY_TYPE: dict[type[Any], Callable[[str, str, str], Result[Any, Problem]]] = {
    int: _read_int,
    str: _read_text,
}
