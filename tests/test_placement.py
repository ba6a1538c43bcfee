"""Choice of engines: policies, sharing rules, spans, sample size and the prefix index."""

from collections import Counter
from dataclasses import replace

import pytest

from lentilwell import Identity, Request, State, reduce
from lentilwell._messages import CacheEvent, Digest, EngineUse, LoadReport
from lentilwell.decisions import PLACEMENTS, last_sequence
from lentilwell.decisions._placement import sample_engines
from lentilwell.decisions._prefixes import MAX_BLOCKS, count_cached_tokens
from lentilwell.reducer import _events as ev
from tests.fleet import MEMORY, SLOTS, make_inventory


def make_state(data_centres=None, teams=None, data_centre="north", seed=1):
    inventory = make_inventory(
        data_centres=data_centres or {"e0": "north", "e1": "north", "e2": "south"},
        teams=teams or {"t": ()},
    )
    state = State(Identity("a", "1", data_centre), random=seed)
    return reduce(state, ev.InventoryAccepted(0, inventory))[0]


def make_request(prompt=1_000, team="t", answer=10):
    return Request("r", team, "m", prompt, answer, 0, 60_000)


def report(state, engine, used, streams=()):
    load = LoadReport(engine, "x", 1, False, MEMORY, used, SLOTS, streams, ("m",))
    return reduce(state, ev.LoadReported(0, load))[0]


def receive_digest(state, name, *uses):
    digest = Digest(Identity(name, "1", "north"), 1, 1, False, uses, (), 0, 0)
    return reduce(state, ev.DigestReceived(0, digest))[0]


def place(state, request, policy="owner_share"):
    return [share.engine for share in PLACEMENTS[policy](state, request)]


def test_least_loaded_uses_only_the_report():
    state = report(report(make_state(), "e0", 10_000), "e1", 20_000)
    state = report(state, "e2", 30_000)
    state = receive_digest(state, "b", EngineUse("e0", 3, 60_000, 60_000))
    assert place(state, make_request(), "least_loaded") == ["e0"]
    assert place(state, make_request(), "owner_share") == ["e1"]


def test_two_choices_and_owner_share_spread_requests_over_equal_engines():
    for policy in ("two_choices", "owner_share"):
        states = [make_state({f"e{n}": "north" for n in range(8)}, seed=s) for s in range(200)]
        counts = Counter(place(state, make_request(), policy)[0] for state in states)
        assert len(counts) == 8 and max(counts.values()) < 200 / 8 * 2.5


def test_own_data_centre_is_preferred_unless_its_backlog_is_larger():
    for data_centre, expected in (("north", {"e0", "e1"}), ("south", {"e2"})):
        assert set(place(make_state(data_centre=data_centre), make_request())) <= expected
    state = receive_digest(make_state(data_centre="south"), "b", EngineUse("e2", 1, 50_000, 50_000))
    assert place(state, make_request())[0] in {"e0", "e1"}


@pytest.mark.parametrize("prompt", [1_000, 80_000, 150_000])
@pytest.mark.parametrize("policy", sorted(PLACEMENTS))
def test_sharing_rules_are_hard_limits(prompt, policy):
    data_centres = {f"e{n}": "north" for n in range(40)}
    state = make_state(data_centres, {"t": ("e7", "e31")})
    assert set(place(state, make_request(prompt), policy)) <= {"e7", "e31"}
    assert place(state, make_request(prompt), policy)
    alone = make_state(data_centres, {"t": ("e7",)})
    assert place(alone, make_request(150_000), policy) == []


def test_span_is_in_one_data_centre_with_few_engines_and_fits_the_answer():
    data_centres = {"e0": "north", "e1": "north", "e2": "south", "e3": "south", "e4": "south"}
    state = report(make_state(data_centres), "e3", 50_000)
    shares = PLACEMENTS["owner_share"](state, make_request(190_000, answer=5_000))
    assert {state.engines[s.engine].spec.data_centre for s in shares} == {"south"}
    assert len(shares) == 2 and shares[0].memory_tokens > 5_000
    assert sum(share.memory_tokens for share in shares) == 195_000
    assert place(state, make_request(260_000)) == []


def test_sample_is_bounded_and_includes_the_own_data_centre():
    data_centres = {f"e{n}": f"dc{n % 20}" for n in range(2_000)}
    state = make_state(data_centres, data_centre="dc3")
    names = [view.spec.name for view in sample_engines(state, make_request())]
    assert len(names) == 8 and sum(data_centres[name] == "dc3" for name in names) >= 4


def test_engine_removed_from_the_inventory_is_kept_until_its_attempts_end():
    state = make_state({"e0": "north"})
    state = report_cache(state, "e0", "x", (1, True, 11))
    state, (start,) = reduce(state, ev.RequestArrived(0, make_request()))
    other = replace(make_inventory(2, {"e9": "north"}, {"t": ()}))
    state, _ = reduce(state, ev.InventoryAccepted(0, other))
    assert state.engines["e0"].own_streams == 1 and "e0" not in state.by_model["m"]
    state, _ = reduce(state, ev.AttemptFinished(0, start.attempt_id, 10))
    assert set(state.engines) == {"e9"} and not state.caches


def report_cache(state, engine, incarnation, *changes):
    events = tuple(CacheEvent(sequence, stored, block) for sequence, stored, block in changes)
    return reduce(state, ev.CacheChanged(0, engine, incarnation, events))[0]


def cached_tokens(state, engine, hashes=(11, 12, 13, 14)):
    request = replace(make_request(4_000), prefix=hashes)
    return count_cached_tokens(state, request, engine)


def test_cached_prefix_is_preferred_until_its_engine_is_busy():
    state = make_state({f"e{n}": "north" for n in range(8)})
    state = report_cache(state, "e5", "x", *((n, True, 10 + n) for n in range(1, 5)))
    request = replace(make_request(4_000), prefix=(11, 12, 13, 14))
    assert cached_tokens(state, "e5") == 4_000 and place(state, request) == ["e5"]
    assert cached_tokens(state, "e5", (11, 12, 99, 98)) == 2_000
    assert cached_tokens(state, "e5", (91, 92, 93, 94)) == 0
    busy = receive_digest(state, "b", EngineUse("e5", 1, 50_000, 50_000))
    assert place(busy, request) != ["e5"]


def test_index_restarts_after_a_gap_and_in_a_new_incarnation():
    state = report_cache(make_state(), "e0", "x", (1, True, 11), (2, True, 12))
    state = report_cache(state, "e0", "x", (2, True, 12), (3, False, 12))
    assert cached_tokens(state, "e0") == 1_000 and last_sequence(state, "e0") == 3
    after_gap = report_cache(state, "e0", "x", (5, True, 99))
    assert cached_tokens(after_gap, "e0") == 0 and last_sequence(after_gap, "e0") == 5
    refilled = report_cache(after_gap, "e0", "x", *((n, True, 5 + n) for n in range(6, 10)))
    assert cached_tokens(refilled, "e0") == 4_000
    changed = replace(refilled.engines["e0"], incarnation="z")
    restarted = replace(refilled, engines=refilled.engines.set("e0", changed))
    assert cached_tokens(restarted, "e0") == 0 and last_sequence(restarted, "e0") == 0
    restarted = report_cache(refilled, "e0", "y", (1, True, 11))
    assert cached_tokens(restarted, "e0") == 1_000 and last_sequence(restarted, "e0") == 1


def test_index_of_an_engine_is_bounded():
    changes = ((n, True, n) for n in range(1, MAX_BLOCKS + 100))
    state = report_cache(make_state(), "e0", "x", *changes)
    assert len(state.caches["e0"].blocks) == MAX_BLOCKS
