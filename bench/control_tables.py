"""The capacity tables of control: owner, peer, configuration, platform and losses."""

from __future__ import annotations

from bench.sheet import Line, Measured, Number, Table
from bench.target import (
    BYTES_TO_MIB,
    CENTRES,
    CHANGE_BYTES,
    CHANGES,
    CLAIM_WRITES,
    CONTROL_BYTES_A_SECOND,
    CONTROL_CORE_PERCENT,
    CONTROL_MEMORY_MIB,
    DIGESTS_A_SECOND,
    ENGINES,
    ENGINES_A_CENTRE,
    ENGINES_A_NODE,
    ENTRIES_LISTED,
    FORCE_WITHIN_S,
    LISTED_BYTES,
    NODES,
    NODES_A_CENTRE,
    PEER_LIMIT,
    REGIONS,
    REPORTS_A_SECOND,
    REQUESTS,
    STREAMS,
    STREAMS_AN_ENGINE,
    TABLE_READS,
    TABLE_WRITES,
    TEAMS,
    TOKEN_GAP_S,
    US_TO_PERCENT,
    US_TO_S,
)


def list_owner() -> Table:
    """Return the owner's part: load reports of engines and orphaned streams."""
    cost = Measured("read load report of an idle engine")
    return Table(
        "owner",
        (
            Line(
                "reports as today: every node reads every engine",
                (
                    (
                        Number(ENGINES, "engines"),
                        Number(REPORTS_A_SECOND, "1/s"),
                        cost,
                        US_TO_PERCENT,
                    ),
                ),
                "% of a core",
                CONTROL_CORE_PERCENT,
            ),
            Line(
                "reports of the data centre's engines only",
                (
                    (
                        Number(ENGINES_A_CENTRE, "engines"),
                        Number(REPORTS_A_SECOND, "1/s"),
                        cost,
                        US_TO_PERCENT,
                    ),
                ),
                "% of a core",
                CONTROL_CORE_PERCENT,
            ),
            Line(
                "reports of owned engines only, once a second",
                ((Number(ENGINES_A_NODE, "engines"), Number(1, "1/s"), cost, US_TO_PERCENT),),
                "% of a core",
                CONTROL_CORE_PERCENT,
            ),
            Line(
                "streams to cancel when a node dies, for each other node of its data centre",
                ((STREAMS, Number(1 / (NODES_A_CENTRE - 1), "[1 / 13.8 nodes]")),),
                "streams",
            ),
        ),
    )


def list_peer() -> Table:
    """Return the peer's part: digests and heartbeats."""
    peers = NODES_A_CENTRE - 1
    used = Number(ENGINES_A_CENTRE, "engines in hand")
    rate = Number(DIGESTS_A_SECOND, "1/s")
    base = Measured("digest bytes")
    each = Measured("digest bytes an engine in hand")
    return Table(
        "peer",
        (
            Line("one digest as today", ((base,), (used, each)), "bytes"),
            Line(
                "digests to the data centre's peers, four a second",
                (
                    (Number(peers, "peers"), rate, base),
                    (Number(peers, "peers"), rate, used, each),
                ),
                "bytes/s",
                CONTROL_BYTES_A_SECOND,
            ),
            Line(
                "reading the peers' digests, four a second",
                (
                    (
                        Number(peers, "peers"),
                        rate,
                        Number(ENGINES_A_CENTRE / 100, "hundreds of engines"),
                        Measured("read digest of 100"),
                        US_TO_PERCENT,
                    ),
                ),
                "% of a core",
                CONTROL_CORE_PERCENT,
            ),
            Line(
                "each engine's use to its owner alone, once a second",
                ((Number(peers, "owners"), base), (used, each)),
                "bytes/s",
                CONTROL_BYTES_A_SECOND,
            ),
            Line(
                "the same, only what changed (a tenth)",
                ((Number(peers, "owners"), base), (Number(0.1, ""), used, each)),
                "bytes/s",
                CONTROL_BYTES_A_SECOND,
            ),
            Line(
                "heartbeats to 32 peers, once a second",
                ((Number(PEER_LIMIT, "peers"), Measured("heartbeat bytes, both ways")),),
                "bytes/s",
                CONTROL_BYTES_A_SECOND,
            ),
        ),
    )


def list_configuration() -> Table:
    """Return the configuration reader's part, by whole documents and by changed sections."""
    engines = Number(ENGINES, "engines")
    teams = Number(TEAMS, "teams")
    changes = Number(CHANGES, "1/s")
    return Table(
        "configuration",
        (
            Line(
                "one whole document",
                (
                    (engines, Measured("inventory text an engine")),
                    (teams, Measured("inventory text a team")),
                ),
                "bytes",
            ),
            Line(
                "whole document at each change",
                (
                    (changes, engines, Measured("inventory text an engine")),
                    (changes, teams, Measured("inventory text a team")),
                ),
                "bytes/s",
                CONTROL_BYTES_A_SECOND,
            ),
            Line(
                "parsing one whole document",
                (
                    (engines, Measured("inventory parse an engine"), US_TO_S),
                    (teams, Measured("inventory parse a team"), US_TO_S),
                ),
                "s",
                FORCE_WITHIN_S,
            ),
            Line(
                "parsing whole documents at each change",
                (
                    (changes, engines, Measured("inventory parse an engine"), US_TO_PERCENT),
                    (changes, teams, Measured("inventory parse a team"), US_TO_PERCENT),
                ),
                "% of a core",
                CONTROL_CORE_PERCENT,
            ),
            Line(
                "only the changed section",
                ((changes, Number(CHANGE_BYTES, "bytes")),),
                "bytes/s",
                CONTROL_BYTES_A_SECOND,
            ),
            Line(
                "parsing only the changed section",
                ((changes, Measured("inventory parse a team"), US_TO_PERCENT),),
                "% of a core",
                CONTROL_CORE_PERCENT,
            ),
            Line(
                "loading and applying one changed engine of 10,000",
                (
                    (changes, Measured("load one change with 10000 engines"), US_TO_PERCENT),
                    (changes, Measured("apply one change with 10000 engines"), US_TO_PERCENT),
                ),
                "% of a core",
                CONTROL_CORE_PERCENT,
            ),
            Line(
                "the same for a node that knows 400 engines",
                (
                    (changes, Measured("load one change with 400 engines"), US_TO_PERCENT),
                    (changes, Measured("apply one change with 400 engines"), US_TO_PERCENT),
                ),
                "% of a core",
                CONTROL_CORE_PERCENT,
            ),
            Line(
                "memory of the engines",
                ((engines, Measured("inventory memory an engine"), BYTES_TO_MIB),),
                "MiB",
                CONTROL_MEMORY_MIB,
            ),
            Line(
                "changes missed in an hour's partition, as sections",
                ((changes, Number(3_600, "s"), Number(CHANGE_BYTES, "bytes")),),
                "bytes",
            ),
            Line(
                "time to catch up with them at 10 KB/s",
                (
                    (
                        changes,
                        Number(3_600, "s"),
                        Number(CHANGE_BYTES, "bytes"),
                        Number(1 / CONTROL_BYTES_A_SECOND, "s a byte"),
                    ),
                ),
                "s",
                FORCE_WITHIN_S,
            ),
        ),
    )


def list_platform() -> Table:
    """Return what the platform's services are asked for."""
    nodes = Number(NODES, "nodes")
    return Table(
        "platform",
        (
            Line(
                "table reads: every node polls the head once a second",
                ((nodes, Number(1, "1/s")),),
                "1/s",
                TABLE_READS,
            ),
            Line(
                "object reads: every node fetches every change",
                ((nodes, Number(CHANGES, "1/s")),),
                "1/s",
                TABLE_READS,
            ),
            Line(
                "object reads: one node of a data centre fetches, the others ask it",
                ((Number(CENTRES, "data centres"), Number(CHANGES, "1/s")),),
                "1/s",
                TABLE_READS,
            ),
            Line(
                "table and object writes of configuration",
                ((Number(2, "writes"), Number(CHANGES, "1/s")),),
                "1/s",
                TABLE_WRITES,
            ),
            Line(
                "calls that may not be repeated, at the writes left",
                ((Number((TABLE_WRITES - 2 * CHANGES) / CLAIM_WRITES, "[(300 - 1.16) / 2]"),),),
                "1/s",
            ),
            Line(
                "the same as a share of all requests",
                (
                    (
                        Number((TABLE_WRITES - 2 * CHANGES) / CLAIM_WRITES, "1/s"),
                        Number(100 / REQUESTS, "% a 1/s"),
                    ),
                ),
                "%",
            ),
            Line(
                "list of instances: every node reads all of it once a second",
                ((Number(ENTRIES_LISTED, "lines"), Number(LISTED_BYTES, "bytes")),),
                "bytes/s",
                CONTROL_BYTES_A_SECOND,
            ),
        ),
    )


def list_losses() -> Table:
    """Return what correlated losses ask of the nodes that remain."""
    rack = 40
    arrival = Measured("arrival with 435 engines")
    return Table(
        "losses",
        (
            Line(
                "streams placed anew by each node of the data centre when 40 engines go",
                (
                    (
                        Number(rack, "engines"),
                        Number(STREAMS_AN_ENGINE, "streams"),
                        Number(1 / NODES_A_CENTRE, "a node"),
                    ),
                ),
                "streams",
            ),
            Line(
                "reducer time for them",
                (
                    (
                        Number(rack * STREAMS_AN_ENGINE / NODES_A_CENTRE, "streams"),
                        arrival,
                        Number(1e-3, "ms a us"),
                    ),
                ),
                "ms",
                1_000 * TOKEN_GAP_S,
            ),
            Line(
                "more requests on each other node when a data centre of a region goes",
                (
                    (
                        Number(100, "%"),
                        Number(1 / (CENTRES / REGIONS - 1), "of the remaining centres"),
                    ),
                ),
                "%",
            ),
            Line(
                "nodes in a region that is cut off",
                ((Number(NODES / REGIONS, "[340 / 7]"),),),
                "",
            ),
        ),
    )
