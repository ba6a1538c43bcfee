"""The load of an upstream consists of the jobs in the latest report of each instance."""

from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._load_tracker import Job, LoadTracker, combine_jobs

NOW = 1_000
PEERS = ("p0", "p1", "p2")
UPSTREAMS = ("u0", "u1", "u2", "u3")

REPORT = st.tuples(st.sampled_from(PEERS), st.lists(st.sampled_from(UPSTREAMS), max_size=6))


def make_jobs(peer, upstreams):
    return [Job(f"{peer}/{n}", name, NOW, 10.0 * (n + 1), n) for n, name in enumerate(upstreams)]


@given(st.lists(REPORT, max_size=12))
def test_load_consists_of_the_latest_report_of_each_peer(reports):
    load_tracker = LoadTracker()
    last = {}
    for peer, upstreams in reports:
        last[peer] = make_jobs(peer, upstreams)
        load_tracker.update_peer(peer, last[peer])
    for upstream in UPSTREAMS:
        expected = [job for jobs in last.values() for job in jobs if job.upstream == upstream]
        got = load_tracker.measure_load(upstream, NOW)
        assert sorted(got.jobs, key=str) == sorted(expected, key=str)
        assert got.backlog_ms == combine_jobs(expected, NOW).backlog_ms


@given(st.lists(REPORT, max_size=12))
def test_peers_without_jobs_take_no_memory(reports):
    load_tracker = LoadTracker()
    for peer, upstreams in reports:
        load_tracker.update_peer(peer, make_jobs(peer, upstreams))
    for peer in PEERS:
        load_tracker.update_peer(peer, ())
    assert not load_tracker._reported and not load_tracker._upstreams_by_peer
