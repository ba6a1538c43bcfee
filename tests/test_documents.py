"""Tests of inventory documents: validation errors, round trips and incremental changes."""

import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilwell import Identity, State, reduce
from lentilwell._inventory import Inventory
from lentilwell.configuration import parse_document, render_document
from lentilwell.configuration._documents import (
    SECTION_KINDS,
    Section,
    apply_sections,
    read_document,
)
from lentilwell.configuration._problems import (
    BadFlag,
    BadKeyDigest,
    BadNumber,
    BadSyntax,
    BadText,
    BadUrl,
    DanglingReference,
    DuplicateKey,
    DuplicateSection,
    InventoryError,
    MissingKey,
    NoEngines,
    SharedKeyDigest,
    UnknownKey,
    UnknownPolicy,
    UnknownSection,
)
from lentilwell.reducer import InventoryAccepted

EXAMPLES = Path(__file__).parent.parent / "examples"
DIGEST_PREFIX = "0" * 63

VALID_TEXT = f"""\
[rules]
order = first_come
[data_centre caerdydd]
[model assistant]
context_tokens = 1100000
[engine e-1]
url = http://10.0.0.1:8000
data_centre = caerdydd
models = assistant
memory_tokens = 450000
slots = 64
checks_fencing = yes
[service s-1]
service = bookings
url = http://10.0.0.2:8000
data_centre = caerdydd
[route bookings GET /]
idempotent = yes
[team counters]
weight = 2
key_sha256 = {DIGEST_PREFIX}1 {DIGEST_PREFIX}2
engines = e-1
services = s-1
[team repairs]
key_sha256 = {DIGEST_PREFIX}3
"""

FAULTS = [
    ("order = first_come", "order = tallest_first", UnknownPolicy, "rules", "order", 2),
    ("[data_centre caerdydd]", "[region cymru]", UnknownSection, "region cymru", "", 3),
    ("[model assistant]", "[model the assistant]", UnknownSection, "model the assistant", "", 4),
    ("context_tokens", "context_token", UnknownKey, "model assistant", "context_token", 5),
    ("context_tokens = 1100000", "", MissingKey, "model assistant", "context_tokens", 4),
    ("context_tokens = 1100000", "1100000", BadSyntax, "", "", 5),
    ("context_tokens = 1100000", "context_tokens=0", BadNumber, None, "context_tokens", 5),
    ("1100000", "٣", BadNumber, "model assistant", "context_tokens", 5),
    ("http://10.0.0.1:8000", "http://10.0.0.1", BadUrl, "engine e-1", "url", 7),
    ("http://10.0.0.1:8000", "http://10.0.0.1:99999", BadUrl, "engine e-1", "url", 7),
    ("http://10.0.0.1:8000", "file:///etc/passwd", BadUrl, "engine e-1", "url", 7),
    ("http://10.0.0.1:8000", "http://u:p@10.0.0.1:8000", BadUrl, "engine e-1", "url", 7),
    ("= caerdydd\nmodels", "= bangor\nmodels", DanglingReference, "engine e-1", "data_centre", 8),
    ("models = assistant", "models = clerk", DanglingReference, "engine e-1", "models", 9),
    ("models = assistant", "models =", NoEngines, "model assistant", "", 4),
    ("slots = 64", "slots = many", BadNumber, "engine e-1", "slots", 11),
    ("checks_fencing = yes", "checks_fencing = maybe", BadFlag, "engine e-1", "checks_fencing", 12),
    ("service = bookings", "service =", BadText, "service s-1", "service", 14),
    ("route bookings", "route stock", DanglingReference, "route stock GET /", "", 17),
    ("weight = 2", "weight = 2\nweight = 3", DuplicateKey, "team counters", "weight", 21),
    (f"{DIGEST_PREFIX}2", "SECRET", BadKeyDigest, "team counters", "key_sha256", 21),
    ("engines = e-1", "engines = e-9", DanglingReference, "team counters", "engines", 22),
    ("engines = e-1", "engines = e-9", NoEngines, "team counters", "engines", 22),
    ("services = s-1", "services = s-9", DanglingReference, "team counters", "services", 23),
    ("[team repairs]", "[team  counters]", DuplicateSection, "team counters", "", 24),
    (f"{DIGEST_PREFIX}3", f"{DIGEST_PREFIX}1", SharedKeyDigest, "team repairs", "key_sha256", 25),
    ("[team repairs]", "  [team repairs]", BadSyntax, "team counters", "", 24),
]


def find_problems(text):
    with pytest.raises(InventoryError) as caught:
        parse_document(text, 1)
    return caught.value.problems


@pytest.mark.parametrize(("old", "new", "kind", "section", "key", "line"), FAULTS)
def test_each_fault_is_reported_with_its_location(old, new, kind, section, key, line):
    assert VALID_TEXT.count(old) >= 1
    problems = find_problems(VALID_TEXT.replace(old, new, 1))
    found = [p for p in problems if type(p) is kind and p.key == key and p.line == line]
    assert found, problems
    assert section is None or found[0].section == section
    assert all(str(problem) for problem in problems)


def test_all_faults_are_reported_together():
    faulty = [0, 6, 8, 15, 16, 21]
    text = VALID_TEXT
    for number in faulty:
        text = text.replace(FAULTS[number][0], FAULTS[number][1], 1)
    locations = {(type(problem), problem.line) for problem in find_problems(text)}
    assert locations == {(FAULTS[number][2], FAULTS[number][5]) for number in faulty}


def test_inventory_without_engines_is_reported_for_each_model_and_team():
    text = VALID_TEXT.replace("[engine e-1]", "[engine]").replace("engines = e-1\n", "")
    assert UnknownSection in {type(problem) for problem in find_problems(text)}
    start, end = VALID_TEXT.index("[engine"), VALID_TEXT.index("[service")
    problems = find_problems((VALID_TEXT[:start] + VALID_TEXT[end:]).replace("engines = e-1\n", ""))
    assert [p.section for p in problems if type(p) is NoEngines] == [
        "model assistant",
        "team counters",
        "team repairs",
    ]


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.ini")), ids=lambda path: path.stem)
def test_examples_have_the_sizes_of_the_users_and_survive_a_round_trip(path):
    document, inventory = parse_document(path.read_text(), 1)
    counts = (inventory.engines, inventory.services, inventory.data_centres, inventory.teams)
    assert [len(found) for found in counts] == [14, 3, 3, 10]
    again = parse_document(render_document(document), 1)
    assert again == (document, inventory)


NAMES = st.sampled_from([f"n-{number}" for number in range(8)])
TEXTS = st.text(st.characters(codec="utf-8", exclude_characters="\r\x0b\x0c"), max_size=30)


@settings(database=None, deadline=None)
@given(st.lists(st.tuples(NAMES, st.integers(1, 1 << 40), st.booleans()), min_size=1), st.data())
def test_rendering_what_was_parsed_is_stable(engines, data):
    lines = ["[data_centre dc]", "[model m]", "context_tokens = 9"]
    for name, number, flag in {engine[0]: engine for engine in engines}.values():
        lines += [f"[engine {name}]", f"slots={number}", "models =  m ", "data_centre = dc"]
        lines += ["url = http://h:1", f"memory_tokens = {number}"]
        lines += [f"checks_fencing = {'yes' if flag else 'no'}"] if data.draw(st.booleans()) else []
    document, inventory = parse_document("\n".join(lines), 3)
    text = render_document(document)
    again, same = parse_document(text, 3)
    assert (again, same, render_document(again)) == (document, inventory, text)


@settings(database=None, deadline=None, max_examples=300)
@given(st.lists(st.one_of(st.sampled_from(VALID_TEXT.split("\n")), TEXTS), max_size=40))
def test_any_text_is_read_or_refused_with_typed_problems(lines):
    text = "\n".join(lines)
    try:
        document, _ = parse_document(text, 1)
    except InventoryError as error:
        assert error.problems
    else:
        assert read_document(render_document(document))[0] == document


def make_section(kind_name, name, number):
    values = {
        "engine": (
            ("url", f"http://h:{number + 1}"),
            ("data_centre", "dc"),
            ("models", ["a", "a b", "b", "a a"][number % 4]),
            ("memory_tokens", "9"),
            ("slots", str(number + 1)),
        ),
        "data_centre": (),
        "model": (("context_tokens", str(number + 1)),),
        "service": (("service", "s"), ("url", f"http://h:{number + 1}"), ("data_centre", "dc")),
        "team": (("weight", str(number + 1)), ("key_sha256", "")),
        "route": (("idempotent", "yes"),),
        "rules": (("default_deadline_ms", str(number + 1)),),
    }
    title = {"rules": "rules", "route": f"route s GET /{name}"}.get(
        kind_name, f"{kind_name} {name}"
    )
    return Section(title, values[kind_name])


CHANGES = st.lists(
    st.tuples(
        st.sampled_from(sorted(SECTION_KINDS)), NAMES, st.one_of(st.none(), st.integers(0, 9))
    ),
    max_size=6,
)


@settings(database=None, deadline=None)
@given(st.lists(CHANGES, max_size=12))
def test_incremental_changes_and_a_full_build_give_the_same_inventory(rounds):
    sections, inventory = {}, Inventory(0)
    state = State(Identity("a", "1", "dc"))
    for version, changes in enumerate(rounds, start=1):
        changed, removed = {}, set()
        for kind_name, name, number in changes:
            title = make_section(kind_name, name, 0).title
            changed.pop(title, None)
            removed.discard(title)
            if number is None:
                removed.add(title)
            else:
                changed[title] = make_section(kind_name, name, number)
        sections = {t: s for t, s in sections.items() if t not in removed} | changed
        inventory = apply_sections(inventory, changed.values(), removed, version)
        full_inventory = apply_sections(Inventory(0), sections.values(), (), version)
        assert inventory == full_inventory
        titles = [*changed, *removed]
        changed_engines = tuple(t.split(" ")[1] for t in titles if t.startswith("engine "))
        event = InventoryAccepted(0, inventory, base=version - 1, changed_engines=changed_engines)
        state = reduce(state, event)[0]
        rebuilt = reduce(State(Identity("a", "1", "dc")), InventoryAccepted(0, full_inventory))[0]
        assert state.engines == rebuilt.engines
        assert {m: sorted(n) for m, n in state.by_model.items()} == {
            m: sorted(n) for m, n in rebuilt.by_model.items()
        }
        for model, names in state.by_model.items():
            places = state.model_places[model]
            assert len(places) == len(names)
            assert all(names[place] == name for name, place in places.items())


def test_index_keeps_the_state_of_remaining_engines():
    rng = random.Random(1)
    _, inventory = parse_document((EXAMPLES / "kalye-permits.ini").read_text(), 1)
    state = reduce(State(Identity("a", "1", "luzon-a")), InventoryAccepted(0, inventory))[0]
    name = rng.choice(sorted(state.engines))
    engines = state.engines.set(name, state.engines[name].__class__(state.engines[name].spec, 5))
    state = State(state.identity, inventory=inventory, engines=engines, by_model=state.by_model)
    newer = apply_sections(inventory, [make_section("team", "new", 1)], (), 2)
    event = InventoryAccepted(0, newer, base=1, changed_engines=())
    after = reduce(state, event)[0]
    assert after.engines[name].own_streams == 5 and after.inventory.version == 2
    assert reduce(after, InventoryAccepted(0, inventory))[0].inventory.version == 2
