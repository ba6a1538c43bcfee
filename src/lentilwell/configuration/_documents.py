"""Parsing, validation and rendering of the inventory and its rules in INI form.

A document is a persistent map of sections by title; a changed document shares the unchanged
sections with the old one. The keys of a section are the fields of a class in ``_inventory``.
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
    DanglingReference,
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
from lentilwell.configuration._values import READERS_BY_KEY, READERS_BY_TYPE, InvalidValue

RULES_TITLE = "rules"
_SECTION_HEADER = re.compile(r"\[(?P<title>.+)\]")
_INDENTED_LINE = re.compile(r"\s+(\[|[^#;].*=)")
_KEY_VALUE_LINE = re.compile(r"(?P<key>[^=\s][^=]*?)\s*=")
_INI_KEY_BY_FIELD = {"key_digests": "key_sha256"}
_DEFAULT_VALUES = {"weight": "1", "key_sha256": "", "idempotent": "no"}


@dataclass(frozen=True)
class Section:
    """A section of the inventory: its title, its keys and values, and their line numbers.

    ``line`` is 0 and ``key_lines`` empty for a section that was not read from text.
    """

    title: str
    items: tuple[tuple[str, str], ...]
    line: int = field(default=0, compare=False)
    key_lines: tuple[tuple[str, int], ...] = field(default=(), compare=False)

    def find_line(self, key: str) -> int:
        """Return the line of a key, or of the section header if the line of the key is unknown."""
        return dict(self.key_lines).get(key, self.line)


Document = PMap[str, Section]


@dataclass(frozen=True)
class _SectionKind:
    """A kind of section.

    ``target_type`` is the class built from a section, ``title_fields`` its fields that are read
    from the section title, and ``inventory_field`` the field of Inventory that holds the objects.
    """

    target_type: type[Any]
    title_fields: tuple[str, ...]
    inventory_field: str

    def list_keys(self) -> tuple[str, ...]:
        """Return the keys allowed in a section of this kind, in the order of the class's fields."""
        field_names = (f.name for f in fields(self.target_type) if f.name not in self.title_fields)
        return tuple(_INI_KEY_BY_FIELD.get(name, name) for name in field_names)


SECTION_KINDS = {
    RULES_TITLE: _SectionKind(Rules, (), "rules"),
    "data_centre": _SectionKind(DataCentre, ("name",), "data_centres"),
    "model": _SectionKind(Model, ("name",), "models"),
    "engine": _SectionKind(Engine, ("name",), "engines"),
    "service": _SectionKind(Service, ("name",), "services"),
    "route": _SectionKind(Route, ("service", "method", "path_prefix"), "routes"),
    "team": _SectionKind(Team, ("name",), "teams"),
}
_KEYS_BY_KIND = {name: kind.list_keys() for name, kind in SECTION_KINDS.items()}
_FIELD_TYPES = {name: get_type_hints(kind.target_type) for name, kind in SECTION_KINDS.items()}
_ALLOWED_TITLES = ", ".join(
    f"[{' '.join([name, *(part.upper() for part in kind.title_fields)])}]"
    for name, kind in SECTION_KINDS.items()
)


def read_document(text: str) -> tuple[Document, tuple[Problem, ...]]:
    """Parse INI text into sections; also return every syntax error and duplicate."""
    lines, problems = _find_lines(text)
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
        title = _normalize_spaces(header)
        items = tuple((key, value or "") for key, value in parser.items(header))
        key_lines = tuple((key, lines[title, key]) for key, _ in items if (title, key) in lines)
        sections[title] = _normalize_section(
            Section(title, items, lines.get((title, ""), 0), key_lines)
        )
    return sections.persistent(), tuple(problems)


def _find_lines(text: str) -> tuple[dict[tuple[str, str], int], list[Problem]]:
    """Return line numbers by section title and key, and duplicate or indented lines as problems.

    The line of a section header has the key "".
    """
    lines: dict[tuple[str, str], int] = {}
    problems: list[Problem] = []
    title = ""
    for line_number, line in enumerate(text.split("\n"), start=1):
        if line.startswith(("#", ";")):
            continue
        header, key_value = _SECTION_HEADER.match(line), _KEY_VALUE_LINE.match(line)
        if header is not None:
            title = _normalize_spaces(header["title"])
            first_line = lines.setdefault((title, ""), line_number)
            if first_line != line_number:
                problems.append(DuplicateSection(title, "", line_number, first_line))
        elif key_value is not None:
            first_line = lines.setdefault((title, key_value["key"]), line_number)
            if first_line != line_number:
                problems.append(DuplicateKey(title, key_value["key"], line_number))
        elif _INDENTED_LINE.match(line):
            problems.append(BadSyntax(title, "", line_number))
    return lines, problems


def _normalize_spaces(text: str) -> str:
    return " ".join(text.split())


def _normalize_section(section: Section) -> Section:
    """Sort the keys into the order of the section's kind and collapse whitespace in the values."""
    order = {
        key: position
        for position, key in enumerate(_KEYS_BY_KIND.get(section.title.partition(" ")[0], ()))
    }
    sorted_items = sorted(section.items, key=lambda item: (order.get(item[0], len(order)), item[0]))
    items = tuple((key, _normalize_spaces(value)) for key, value in sorted_items)
    return replace(section, items=items)


def build_section(section: Section) -> tuple[Any, tuple[Problem, ...]]:
    """Build the object of a section; return it, or None if invalid, with every problem found."""
    kind_name, _, name = section.title.partition(" ")
    kind = SECTION_KINDS.get(kind_name)
    title_values = name.split(" ") if name else []
    if kind is None or len(title_values) != len(kind.title_fields):
        return None, (UnknownSection(section.title, "", section.line, _ALLOWED_TITLES),)
    values: dict[str, Any] = dict(zip(kind.title_fields, title_values, strict=True))
    keys = _KEYS_BY_KIND[kind_name]
    text_by_key = {key: text for key, text in _DEFAULT_VALUES.items() if key in keys} | dict(
        section.items
    )
    problems: list[Problem] = [
        UnknownKey(section.title, key, section.find_line(key), ", ".join(keys))
        for key in text_by_key
        if key not in keys
    ]
    for class_field in fields(kind.target_type):
        key = _INI_KEY_BY_FIELD.get(class_field.name, class_field.name)
        if class_field.name in kind.title_fields or (
            key not in text_by_key and class_field.default is not MISSING
        ):
            continue
        if key not in text_by_key:
            problems.append(MissingKey(section.title, key, section.line))
            continue
        read = READERS_BY_KEY.get(key) or READERS_BY_TYPE[_FIELD_TYPES[kind_name][class_field.name]]
        try:
            values[class_field.name] = read(text_by_key[key])
        except InvalidValue as error:
            problems.append(error.make_problem(section.title, key, section.find_line(key)))
    return (None if problems else kind.target_type(**values)), tuple(problems)


def apply_sections(
    inventory: Inventory, changed: Iterable[Section], removed: Iterable[str], version: int
) -> Inventory:
    """Return a copy of the inventory with sections changed or removed; unchanged parts are shared.

    Raises InventoryError if a changed section is invalid. References between sections are not
    checked here; ``check_document`` checks them before a version is accepted.
    """
    changed_items: dict[str, Any] = {}
    problems: list[Problem] = []
    for section in changed:
        changed_items[section.title], section_problems = build_section(section)
        problems += section_problems
    if problems:
        raise InventoryError(tuple(problems))
    updates: dict[str, Any] = {}
    for title, item in [*((title, None) for title in removed), *changed_items.items()]:
        kind_name, _, name = title.partition(" ")
        inventory_field = SECTION_KINDS[kind_name].inventory_field
        if kind_name == RULES_TITLE:
            updates[inventory_field] = Rules() if item is None else item
            continue
        if inventory_field not in updates:
            updates[inventory_field] = _to_persistent_map(
                getattr(inventory, inventory_field)
            ).evolver()
        if item is not None:
            updates[inventory_field][name] = item
        elif name in updates[inventory_field]:
            updates[inventory_field].remove(name)
    new_values: dict[str, Any] = {
        inventory_field: value if isinstance(value, Rules) else value.persistent()
        for inventory_field, value in updates.items()
    }
    if "routes" in new_values:
        new_values["routes"] = tuple(
            new_values["routes"][name] for name in sorted(new_values["routes"])
        )
    return replace(inventory, version=version, **new_values)


def _to_persistent_map(items: Any) -> Any:
    if isinstance(items, PMap):
        return items
    return pmap({f"{r.service} {r.method} {r.path_prefix}": r for r in items})


def check_document(document: Document, version: int) -> tuple[Inventory, list[Problem]]:
    """Check all sections and the references between them.

    Returns the inventory built from the valid sections, and every problem found.
    """
    problems: list[Problem] = []
    invalid_titles: list[str] = []
    for section in document.values():
        section_problems = build_section(section)[1]
        problems += section_problems
        invalid_titles += [section.title] if section_problems else []
    valid_sections = [
        section for section in document.values() if section.title not in invalid_titles
    ]
    inventory = apply_sections(Inventory(version), valid_sections, (), version)

    def find_line(title: str, key: str) -> int:
        return document[title].find_line(key) if title in document else 0

    reference_problems = check_references(inventory, find_line)
    problems += [
        problem for problem in reference_problems if not _is_consequence(problem, invalid_titles)
    ]
    return inventory, problems


def _is_consequence(problem: Problem, invalid_titles: list[str]) -> bool:
    """Return whether a problem may result only from a section already reported as invalid."""
    if isinstance(problem, NoEngines):
        return any(title.startswith("engine") for title in invalid_titles)
    if isinstance(problem, DanglingReference):
        service_is_invalid = problem.kind == "service" and any(
            t.startswith("service") for t in invalid_titles
        )
        return service_is_invalid or f"{problem.kind} {problem.name}" in invalid_titles
    return False


def parse_inventory(text: str, version: int) -> Inventory:
    """Parse and check an inventory; raise InventoryError with every problem if it is invalid."""
    return parse_document(text, version)[1]


def parse_document(text: str, version: int) -> tuple[Document, Inventory]:
    """Parse and check INI text; raise InventoryError with every problem if it is invalid."""
    document, problems = read_document(text)
    inventory, check_problems = check_document(document, version)
    all_problems = sorted((*problems, *check_problems), key=lambda problem: problem.line)
    if all_problems:
        raise InventoryError(tuple(all_problems))
    return document, inventory


def render_document(document: Document) -> str:
    """Return the INI text of a document, sorted by kind and title; comments are not kept."""
    order = {kind_name: position for position, kind_name in enumerate(SECTION_KINDS)}

    def sort_key(section: Section) -> tuple[int, str]:
        return order.get(section.title.partition(" ")[0], len(order)), section.title

    blocks = [render_section(section) for section in sorted(document.values(), key=sort_key)]
    return "\n".join(blocks)


def render_section(section: Section) -> str:
    """Return the INI text of a section."""
    lines = [f"[{section.title}]", *(f"{key} = {value}" for key, value in section.items)]
    return "\n".join(lines) + "\n"
