"""The INI form of the inventory and the rules: sections, their checks, and what they build.

A document is a persistent map of sections by title, so that a change touches only the sections it
names. Keys are the fields of the classes in ``_inventory``.
"""

from __future__ import annotations

import configparser
import re
from collections.abc import Iterable
from dataclasses import MISSING, dataclass, field, fields, replace
from typing import Any, get_type_hints

from pyrsistent import PMap, pmap

from lentilwell._inventory import (
    DataCentre,
    Engine,
    Inventory,
    Model,
    Route,
    Rules,
    Service,
    Team,
)
from lentilwell.configuration._problems import (
    BadSyntax,
    DanglingName,
    DuplicateKey,
    DuplicateSection,
    InventoryError,
    MissingKey,
    NoEngines,
    Problem,
    UnknownKey,
    UnknownSection,
)
from lentilwell.configuration._references import check_references
from lentilwell.configuration._values import BY_KEY, BY_TYPE, ValueRefused

RULES_TITLE = "rules"
_HEADER = re.compile(r"\[(?P<title>.+)\]")
_INDENTED = re.compile(r"\s+(\[|[^#;].*=)")
_ENTRY = re.compile(r"(?P<key>[^=\s][^=]*?)\s*=")
_INI_NAMES = {"key_digests": "key_sha256"}
_DEFAULTS = {"weight": "1", "key_sha256": "", "idempotent": "no"}


@dataclass(frozen=True)
class Section:
    """One section: its keys and values in the order of its kind, and where it was read from."""

    title: str
    items: tuple[tuple[str, str], ...]
    line: int = field(default=0, compare=False)
    key_lines: tuple[tuple[str, int], ...] = field(default=(), compare=False)

    def find_line(self, key: str) -> int:
        """Return the line of a key, or of the section where the key has none."""
        return dict(self.key_lines).get(key, self.line)


Document = PMap[str, Section]


@dataclass(frozen=True)
class _Kind:
    """A kind of section: the class it builds, the fields its title gives, and its map."""

    build: type[Any]
    in_title: tuple[str, ...]
    stored_in: str

    def keys(self) -> tuple[str, ...]:
        """Return the keys that a section of this kind may have, in order."""
        names = (f.name for f in fields(self.build) if f.name not in self.in_title)
        return tuple(_INI_NAMES.get(name, name) for name in names)


KINDS = {
    RULES_TITLE: _Kind(Rules, (), "rules"),
    "data_centre": _Kind(DataCentre, ("name",), "data_centres"),
    "model": _Kind(Model, ("name",), "models"),
    "engine": _Kind(Engine, ("name",), "engines"),
    "service": _Kind(Service, ("name",), "services"),
    "route": _Kind(Route, ("service", "method", "path_prefix"), "routes"),
    "team": _Kind(Team, ("name",), "teams"),
}
_KEYS = {name: kind.keys() for name, kind in KINDS.items()}
_HINTS = {name: get_type_hints(kind.build) for name, kind in KINDS.items()}
_ALLOWED = ", ".join(
    f"[{' '.join([name, *(part.upper() for part in kind.in_title)])}]"
    for name, kind in KINDS.items()
)


def read_document(text: str) -> tuple[Document, tuple[Problem, ...]]:
    """Read the sections of a text, with every problem of its form."""
    lines, problems = _locate(text)
    parser = configparser.RawConfigParser(
        strict=False, delimiters=("=",), default_section="\0", empty_lines_in_values=False
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as error:
        return pmap(), (BadSyntax("", "", error.lineno),)
    except configparser.ParsingError as error:
        problems += [BadSyntax("", "", line) for line, _ in error.errors]
    empty: Document = pmap()
    sections = empty.evolver()
    for header in parser.sections():
        title = _join_words(header)
        items = tuple((key, value or "") for key, value in parser.items(header))
        key_lines = tuple((key, lines[title, key]) for key, _ in items if (title, key) in lines)
        sections[title] = _arrange(Section(title, items, lines.get((title, ""), 0), key_lines))
    return sections.persistent(), tuple(problems)


def _locate(text: str) -> tuple[dict[tuple[str, str], int], list[Problem]]:
    """Return the line of each section (key "") and key, and a problem for each duplicate."""
    lines: dict[tuple[str, str], int] = {}
    problems: list[Problem] = []
    title = ""
    for number, line in enumerate(text.split("\n"), start=1):
        if line.startswith(("#", ";")):
            continue
        header, entry = _HEADER.match(line), _ENTRY.match(line)
        if header is not None:
            title = _join_words(header["title"])
            first = lines.setdefault((title, ""), number)
            if first != number:
                problems.append(DuplicateSection(title, "", number, first))
        elif entry is not None:
            first = lines.setdefault((title, entry["key"]), number)
            if first != number:
                problems.append(DuplicateKey(title, entry["key"], number))
        elif _INDENTED.match(line):
            problems.append(BadSyntax(title, "", number))
    return lines, problems


def _join_words(text: str) -> str:
    return " ".join(text.split())


def _arrange(section: Section) -> Section:
    """Put the keys into the order of the section's kind and the values into one form."""
    order = {key: at for at, key in enumerate(_KEYS.get(section.title.partition(" ")[0], ()))}
    ranked = sorted(section.items, key=lambda item: (order.get(item[0], len(order)), item[0]))
    items = tuple((key, _join_words(value)) for key, value in ranked)
    return replace(section, items=items)


def build_section(section: Section) -> tuple[Any, tuple[Problem, ...]]:
    """Return what a section says, or None, with every problem in it."""
    word, _, name = section.title.partition(" ")
    kind = KINDS.get(word)
    names = name.split(" ") if name else []
    if kind is None or len(names) != len(kind.in_title):
        return None, (UnknownSection(section.title, "", section.line, _ALLOWED),)
    values: dict[str, Any] = dict(zip(kind.in_title, names, strict=True))
    keys = _KEYS[word]
    given = {key: text for key, text in _DEFAULTS.items() if key in keys} | dict(section.items)
    problems: list[Problem] = [
        UnknownKey(section.title, key, section.find_line(key), ", ".join(keys))
        for key in given
        if key not in keys
    ]
    for spec in fields(kind.build):
        key = _INI_NAMES.get(spec.name, spec.name)
        if spec.name in kind.in_title or (key not in given and spec.default is not MISSING):
            continue
        if key not in given:
            problems.append(MissingKey(section.title, key, section.line))
            continue
        read = BY_KEY.get(key) or BY_TYPE[_HINTS[word][spec.name]]
        try:
            values[spec.name] = read(given[key])
        except ValueRefused as refused:
            problems.append(refused.make(section.title, key, section.find_line(key)))
    return (None if problems else kind.build(**values)), tuple(problems)


def apply_sections(
    inventory: Inventory, changed: Iterable[Section], removed: Iterable[str], version: int
) -> Inventory:
    """Return the inventory with some sections changed or removed; the rest is shared.

    Raises InventoryError where a changed section is wrong in itself. References between sections
    are not checked here: ``check_document`` does that before a version is accepted.
    """
    found: dict[str, Any] = {}
    problems: list[Problem] = []
    for section in changed:
        found[section.title], more = build_section(section)
        problems += more
    if problems:
        raise InventoryError(tuple(problems))
    maps: dict[str, Any] = {}
    for title, item in [*((title, None) for title in removed), *found.items()]:
        word, _, name = title.partition(" ")
        place = KINDS[word].stored_in
        if word == RULES_TITLE:
            maps[place] = Rules() if item is None else item
            continue
        if place not in maps:
            maps[place] = _to_map(getattr(inventory, place)).evolver()
        if item is not None:
            maps[place][name] = item
        elif name in maps[place]:
            maps[place].remove(name)
    done: dict[str, Any] = {
        place: value if isinstance(value, Rules) else value.persistent()
        for place, value in maps.items()
    }
    if "routes" in done:
        done["routes"] = tuple(done["routes"][name] for name in sorted(done["routes"]))
    return replace(inventory, version=version, **done)


def _to_map(items: Any) -> Any:
    if isinstance(items, PMap):
        return items
    return pmap({f"{r.service} {r.method} {r.path_prefix}": r for r in items})


def check_document(document: Document, version: int) -> tuple[Inventory, list[Problem]]:
    """Check every section and every reference between them, and build the inventory."""
    problems: list[Problem] = []
    broken: list[str] = []
    for section in document.values():
        found = build_section(section)[1]
        problems += found
        broken += [section.title] if found else []
    sound = [section for section in document.values() if section.title not in broken]
    inventory = apply_sections(Inventory(version), sound, (), version)

    def find_line(title: str, key: str) -> int:
        return document[title].find_line(key) if title in document else 0

    follow = check_references(inventory, find_line)
    problems += [problem for problem in follow if not _is_excused(problem, broken)]
    return inventory, problems


def _is_excused(problem: Problem, broken: list[str]) -> bool:
    """Tell whether a reference may be missing only because the section it names is wrong."""
    if isinstance(problem, NoEngines):
        return any(title.startswith("engine") for title in broken)
    if isinstance(problem, DanglingName):
        by_group = problem.kind == "service" and any(t.startswith("service") for t in broken)
        return by_group or f"{problem.kind} {problem.name}" in broken
    return False


def parse_inventory(text: str, version: int) -> Inventory:
    """Read and check a whole inventory, or raise InventoryError with all that is wrong in it."""
    return parse_document(text, version)[1]


def parse_document(text: str, version: int) -> tuple[Document, Inventory]:
    """Read and check a whole text, or raise InventoryError with all that is wrong in it."""
    document, problems = read_document(text)
    inventory, more = check_document(document, version)
    found = sorted((*problems, *more), key=lambda problem: problem.line)
    if found:
        raise InventoryError(tuple(found))
    return document, inventory


def render_document(document: Document) -> str:
    """Return the INI text of a document: kinds in a fixed order, names sorted, no comments."""
    order = {word: at for at, word in enumerate(KINDS)}

    def rank(section: Section) -> tuple[int, str]:
        return order.get(section.title.partition(" ")[0], len(order)), section.title

    blocks = [render_section(section) for section in sorted(document.values(), key=rank)]
    return "\n".join(blocks)


def render_section(section: Section) -> str:
    """Return the INI text of one section."""
    lines = [f"[{section.title}]", *(f"{key} = {value}" for key, value in section.items)]
    return "\n".join(lines) + "\n"
