"""Work in hand: the load of an upstream is what all instances last told of it, and nothing else."""

from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._books import Books, Job, measure_jobs

NOW = 1_000
PEERS = ("p0", "p1", "p2")
UPSTREAMS = ("u0", "u1", "u2", "u3")

TOLD = st.tuples(st.sampled_from(PEERS), st.lists(st.sampled_from(UPSTREAMS), max_size=6))


def make_jobs(peer, upstreams):
    return [Job(f"{peer}/{n}", name, NOW, 10.0 * (n + 1), n) for n, name in enumerate(upstreams)]


@given(st.lists(TOLD, max_size=12))
def test_load_is_what_each_peer_told_last(reports):
    books = Books()
    last = {}
    for peer, upstreams in reports:
        last[peer] = make_jobs(peer, upstreams)
        books.take_peer(peer, last[peer])
    for upstream in UPSTREAMS:
        expected = [job for jobs in last.values() for job in jobs if job.upstream == upstream]
        got = books.measure(upstream, NOW)
        assert sorted(got.jobs, key=str) == sorted(expected, key=str)
        assert got.backlog_ms == measure_jobs(expected, NOW).backlog_ms


@given(st.lists(TOLD, max_size=12))
def test_peers_without_jobs_leave_nothing_behind(reports):
    books = Books()
    for peer, upstreams in reports:
        books.take_peer(peer, make_jobs(peer, upstreams))
    for peer in PEERS:
        books.take_peer(peer, ())
    assert not books._told and not books._upstreams_of
