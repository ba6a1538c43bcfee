"""The INI form of the inventory and the rules."""

from __future__ import annotations

import configparser

from pyrsistent import pmap

from lentilwell._errors import UsageError
from lentilwell._inventory import Engine, Inventory, Model, Route, Rules, Service, Team


class InventoryError(UsageError):
    """The inventory is wrong; the message names section, key and what is allowed."""


def _names(section: configparser.SectionProxy, key: str) -> tuple[str, ...]:
    return tuple(section.get(key, "").split())


def parse_inventory(text: str, version: int) -> Inventory:
    """Read an inventory; sections are ``[kind name]``, as in ``[engine caerdydd-1]``."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
        return _build(parser, version)
    except (configparser.Error, KeyError, ValueError) as error:
        raise InventoryError(str(error)) from error


def _build(parser: configparser.ConfigParser, version: int) -> Inventory:
    engines: dict[str, Engine] = {}
    services: dict[str, Service] = {}
    models: dict[str, Model] = {}
    teams: dict[str, Team] = {}
    routes: list[Route] = []
    rules = Rules()
    for title in parser.sections():
        section = parser[title]
        kind, _, name = title.partition(" ")
        if kind == "engine":
            engines[name] = Engine(
                name,
                section["url"],
                section["data_centre"],
                _names(section, "models"),
                int(section["memory_tokens"]),
                int(section["slots"]),
                section.getboolean("checks_fencing", False),
            )
        elif kind == "service":
            services[name] = Service(
                name, section["service"], section["url"], section["data_centre"]
            )
        elif kind == "model":
            models[name] = Model(name, int(section["context_tokens"]))
        elif kind == "team":
            teams[name] = Team(
                name,
                section.getint("weight", 1),
                _names(section, "key_sha256"),
                _names(section, "engines"),
                _names(section, "services"),
                section.get("cache_group", ""),
            )
        elif kind == "route":
            service, method, prefix = name.split(" ")
            routes.append(Route(service, method, prefix, section.getboolean("idempotent", False)))
        else:
            raise InventoryError(f"[{title}] is not a known kind of section")
    return Inventory(
        version, pmap(engines), pmap(services), tuple(routes), pmap(models), pmap(teams), rules
    )
