"""The bench before pausing upstreams: its configurations, its pauses and its report."""

import json
from itertools import pairwise

import pytest
from wire_configuration import decode_catalog

from bench.changing_configuration import (
    IDLE_TIMEOUTS_MS,
    KINDS,
    ChangeKind,
    build_version,
    find_change,
    find_idle_timeout_ms,
)
from bench.pausing_callers import SentCall
from bench.pausing_report import ConfigurationChange, Report, list_bad_calls
from soak.observations import Arrival, Call, Kind, Observations, PausedAnswer
from standins.instance_log import InstanceLog
from standins.pauses import LONGEST_PAUSE_MS, SHORTEST_PAUSE_MS, PausePoint, PauseSource

VERSIONS = 4 * len(KINDS) + 1


def test_each_version_changes_one_thing_and_back():
    catalogs = [
        decode_catalog(json.dumps(build_version(version, 20.0)).encode())
        for version in range(1, VERSIONS + 1)
    ]
    assert [catalog.version for catalog in catalogs] == list(range(1, VERSIONS + 1))
    for before, after in pairwise(catalogs):
        kind = find_change(after.version)
        assert before.services == after.services
        assert (before.limits != after.limits) == (kind is ChangeKind.IDLE_LIMIT)
        assert (before.teams != after.teams) == (kind is ChangeKind.KEYS)
        changes_routes = (ChangeKind.TIMEOUTS, ChangeKind.WEIGHTS, ChangeKind.ROUTES)
        assert (before.routes != after.routes) == (kind in changes_routes)
        assert (len(before.routes) != len(after.routes)) == (kind is ChangeKind.ROUTES)
    changed_back = 2 * len(KINDS)
    assert catalogs[changed_back].content_hash == catalogs[0].content_hash


def test_idle_limit_goes_up_and_down():
    limits = [find_idle_timeout_ms(version) for version in range(1, VERSIONS + 1)]
    assert set(limits) == set(IDLE_TIMEOUTS_MS)
    assert sum(one != other for one, other in pairwise(limits)) == 4


def test_pauses_have_the_share_the_length_and_all_points():
    source = PauseSource(1, 0.1)
    pauses = [pause for pause in (source.draw() for _ in range(2_000)) if pause.duration_ms]
    assert 150 <= len(pauses) <= 250
    assert all(SHORTEST_PAUSE_MS <= pause.duration_ms <= LONGEST_PAUSE_MS for pause in pauses)
    assert {pause.point for pause in pauses} == set(PausePoint)


def make_report(until, read=True):
    observations = Observations(
        arrivals=[Arrival("a", "d0", 1, "n0", 1_005, ran=True)],
        pauses=[PausedAnswer("a", "d0", 1_010, until)],
    )
    log = InstanceLog()
    if read:
        log.lines_by_request["a"] = []
    return Report(observations, {"n0": log}, [ConfigurationChange(1, 0)])


@pytest.mark.parametrize(
    ("status", "whole", "until", "read", "bad", "counts"),
    [
        (200, True, 2_000, True, False, False),
        (200, False, 2_000, True, True, True),
        (502, True, 2_000, True, True, True),
        (502, True, 2_900, True, True, False),
        (None, False, 2_900, True, True, True),
        (None, False, 2_900, False, True, False),
    ],
)
def test_bad_calls_count_if_read_or_answerable_in_time(status, whole, until, read, bad, counts):
    call = Call("a", Kind.STREAM, "n0", 1_000, 1_700, 2_000, status, whole)
    found = list_bad_calls([SentCall(call, kept=True)], make_report(until, read))
    assert len(found) == bad
    assert [one.counts for one in found] == [counts] * bad
