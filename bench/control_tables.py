"""The capacity tables of the control traffic: owner, peer, configuration, platform and losses."""

from __future__ import annotations

from bench.capacity_model import Constant, SlopeReference, Table, TableRow
from bench.target import (
    BYTES_PER_CHANGE,
    BYTES_PER_LIST_ENTRY,
    BYTES_TO_MIB,
    CHANGES_PER_S,
    DATA_CENTRES,
    DIGESTS_PER_S,
    ENGINES,
    ENGINES_PER_DATA_CENTRE,
    ENGINES_PER_NODE,
    LIST_ENTRIES,
    MAX_ACTIVATION_S,
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CORE_PERCENT,
    MAX_CONTROL_MEMORY_MIB,
    MAX_PEERS,
    MAX_TABLE_READS_PER_S,
    MAX_TABLE_WRITES_PER_S,
    NODE_STREAMS,
    NODES,
    NODES_PER_DATA_CENTRE,
    REGIONS,
    REPORTS_PER_S,
    REQUESTS_PER_S,
    STREAMS_PER_ENGINE,
    TEAMS,
    TOKEN_GAP_S,
    US_TO_PERCENT,
    US_TO_S,
    WRITES_PER_CLAIM,
)


def build_owner_table() -> Table:
    """Build the table of an engine owner's work: load reports and cancelling orphaned streams."""
    report_cost = SlopeReference("read load report of an idle engine")
    return Table(
        "owner",
        (
            TableRow(
                "reports as today: every node reads every engine",
                (
                    (
                        Constant(ENGINES, "engines"),
                        Constant(REPORTS_PER_S, "1/s"),
                        report_cost,
                        US_TO_PERCENT,
                    ),
                ),
                "% of a core",
                MAX_CONTROL_CORE_PERCENT,
            ),
            TableRow(
                "reports of the data centre's engines only",
                (
                    (
                        Constant(ENGINES_PER_DATA_CENTRE, "engines"),
                        Constant(REPORTS_PER_S, "1/s"),
                        report_cost,
                        US_TO_PERCENT,
                    ),
                ),
                "% of a core",
                MAX_CONTROL_CORE_PERCENT,
            ),
            TableRow(
                "reports of owned engines only, once a second",
                (
                    (
                        Constant(ENGINES_PER_NODE, "engines"),
                        Constant(1, "1/s"),
                        report_cost,
                        US_TO_PERCENT,
                    ),
                ),
                "% of a core",
                MAX_CONTROL_CORE_PERCENT,
            ),
            TableRow(
                "streams to cancel when a node dies, for each other node of its data centre",
                ((NODE_STREAMS, Constant(1 / (NODES_PER_DATA_CENTRE - 1), "[1 / 13.8 nodes]")),),
                "streams",
            ),
        ),
    )


def build_peer_table() -> Table:
    """Build the table of the traffic between peers: digests and heartbeats."""
    peers = NODES_PER_DATA_CENTRE - 1
    engines = Constant(ENGINES_PER_DATA_CENTRE, "engines in hand")
    digest_rate = Constant(DIGESTS_PER_S, "1/s")
    base_bytes = SlopeReference("digest bytes")
    bytes_per_engine = SlopeReference("digest bytes an engine in hand")
    return Table(
        "peer",
        (
            TableRow("one digest as today", ((base_bytes,), (engines, bytes_per_engine)), "bytes"),
            TableRow(
                "digests to the data centre's peers, four a second",
                (
                    (Constant(peers, "peers"), digest_rate, base_bytes),
                    (Constant(peers, "peers"), digest_rate, engines, bytes_per_engine),
                ),
                "bytes/s",
                MAX_CONTROL_BYTES_PER_S,
            ),
            TableRow(
                "reading the peers' digests, four a second",
                (
                    (
                        Constant(peers, "peers"),
                        digest_rate,
                        Constant(ENGINES_PER_DATA_CENTRE / 100, "hundreds of engines"),
                        SlopeReference("read digest of 100"),
                        US_TO_PERCENT,
                    ),
                ),
                "% of a core",
                MAX_CONTROL_CORE_PERCENT,
            ),
            TableRow(
                "each engine's use to its owner alone, once a second",
                ((Constant(peers, "owners"), base_bytes), (engines, bytes_per_engine)),
                "bytes/s",
                MAX_CONTROL_BYTES_PER_S,
            ),
            TableRow(
                "the same, only what changed (a tenth)",
                (
                    (Constant(peers, "owners"), base_bytes),
                    (Constant(0.1, ""), engines, bytes_per_engine),
                ),
                "bytes/s",
                MAX_CONTROL_BYTES_PER_S,
            ),
            TableRow(
                "heartbeats to 32 peers, once a second",
                ((Constant(MAX_PEERS, "peers"), SlopeReference("heartbeat bytes, both ways")),),
                "bytes/s",
                MAX_CONTROL_BYTES_PER_S,
            ),
        ),
    )


def build_configuration_table() -> Table:
    """Build the table of reading the configuration as whole documents and as changed sections."""
    engines = Constant(ENGINES, "engines")
    teams = Constant(TEAMS, "teams")
    changes = Constant(CHANGES_PER_S, "1/s")
    return Table(
        "configuration",
        (
            TableRow(
                "one whole document",
                (
                    (engines, SlopeReference("inventory text an engine")),
                    (teams, SlopeReference("inventory text a team")),
                ),
                "bytes",
            ),
            TableRow(
                "whole document at each change",
                (
                    (changes, engines, SlopeReference("inventory text an engine")),
                    (changes, teams, SlopeReference("inventory text a team")),
                ),
                "bytes/s",
                MAX_CONTROL_BYTES_PER_S,
            ),
            TableRow(
                "parsing one whole document",
                (
                    (engines, SlopeReference("inventory parse an engine"), US_TO_S),
                    (teams, SlopeReference("inventory parse a team"), US_TO_S),
                ),
                "s",
                MAX_ACTIVATION_S,
            ),
            TableRow(
                "parsing whole documents at each change",
                (
                    (changes, engines, SlopeReference("inventory parse an engine"), US_TO_PERCENT),
                    (changes, teams, SlopeReference("inventory parse a team"), US_TO_PERCENT),
                ),
                "% of a core",
                MAX_CONTROL_CORE_PERCENT,
            ),
            TableRow(
                "only the changed section",
                ((changes, Constant(BYTES_PER_CHANGE, "bytes")),),
                "bytes/s",
                MAX_CONTROL_BYTES_PER_S,
            ),
            TableRow(
                "parsing only the changed section",
                ((changes, SlopeReference("inventory parse a team"), US_TO_PERCENT),),
                "% of a core",
                MAX_CONTROL_CORE_PERCENT,
            ),
            TableRow(
                "loading and applying one changed engine of 10,000",
                (
                    (changes, SlopeReference("load one change with 10000 engines"), US_TO_PERCENT),
                    (changes, SlopeReference("apply one change with 10000 engines"), US_TO_PERCENT),
                ),
                "% of a core",
                MAX_CONTROL_CORE_PERCENT,
            ),
            TableRow(
                "the same for a node that knows 400 engines",
                (
                    (changes, SlopeReference("load one change with 400 engines"), US_TO_PERCENT),
                    (changes, SlopeReference("apply one change with 400 engines"), US_TO_PERCENT),
                ),
                "% of a core",
                MAX_CONTROL_CORE_PERCENT,
            ),
            TableRow(
                "memory of the engines",
                ((engines, SlopeReference("inventory memory an engine"), BYTES_TO_MIB),),
                "MiB",
                MAX_CONTROL_MEMORY_MIB,
            ),
            TableRow(
                "changes missed in an hour's partition, as sections",
                ((changes, Constant(3_600, "s"), Constant(BYTES_PER_CHANGE, "bytes")),),
                "bytes",
            ),
            TableRow(
                "time to catch up with them at 10 KB/s",
                (
                    (
                        changes,
                        Constant(3_600, "s"),
                        Constant(BYTES_PER_CHANGE, "bytes"),
                        Constant(1 / MAX_CONTROL_BYTES_PER_S, "s a byte"),
                    ),
                ),
                "s",
                MAX_ACTIVATION_S,
            ),
        ),
    )


def build_platform_table() -> Table:
    """Build the table of requests to the platform's table, object and instance-list services."""
    nodes = Constant(NODES, "nodes")
    return Table(
        "platform",
        (
            TableRow(
                "table reads: every node polls the head once a second",
                ((nodes, Constant(1, "1/s")),),
                "1/s",
                MAX_TABLE_READS_PER_S,
            ),
            TableRow(
                "object reads: every node fetches every change",
                ((nodes, Constant(CHANGES_PER_S, "1/s")),),
                "1/s",
                MAX_TABLE_READS_PER_S,
            ),
            TableRow(
                "object reads: one node of a data centre fetches, the others ask it",
                ((Constant(DATA_CENTRES, "data centres"), Constant(CHANGES_PER_S, "1/s")),),
                "1/s",
                MAX_TABLE_READS_PER_S,
            ),
            TableRow(
                "table and object writes of configuration",
                ((Constant(2, "writes"), Constant(CHANGES_PER_S, "1/s")),),
                "1/s",
                MAX_TABLE_WRITES_PER_S,
            ),
            TableRow(
                "calls that may not be repeated, at the writes left",
                (
                    (
                        Constant(
                            (MAX_TABLE_WRITES_PER_S - 2 * CHANGES_PER_S) / WRITES_PER_CLAIM,
                            "[(300 - 1.16) / 2]",
                        ),
                    ),
                ),
                "1/s",
            ),
            TableRow(
                "the same as a share of all requests",
                (
                    (
                        Constant(
                            (MAX_TABLE_WRITES_PER_S - 2 * CHANGES_PER_S) / WRITES_PER_CLAIM, "1/s"
                        ),
                        Constant(100 / REQUESTS_PER_S, "% a 1/s"),
                    ),
                ),
                "%",
            ),
            TableRow(
                "list of instances: every node reads all of it once a second",
                ((Constant(LIST_ENTRIES, "lines"), Constant(BYTES_PER_LIST_ENTRY, "bytes")),),
                "bytes/s",
                MAX_CONTROL_BYTES_PER_S,
            ),
        ),
    )


def build_losses_table() -> Table:
    """Build the table of the load that correlated losses put on the remaining nodes."""
    rack_engines = 40
    arrival_cost = SlopeReference("arrival with 435 engines")
    return Table(
        "losses",
        (
            TableRow(
                "streams placed anew by each node of the data centre when 40 engines go",
                (
                    (
                        Constant(rack_engines, "engines"),
                        Constant(STREAMS_PER_ENGINE, "streams"),
                        Constant(1 / NODES_PER_DATA_CENTRE, "a node"),
                    ),
                ),
                "streams",
            ),
            TableRow(
                "reducer time for them",
                (
                    (
                        Constant(
                            rack_engines * STREAMS_PER_ENGINE / NODES_PER_DATA_CENTRE, "streams"
                        ),
                        arrival_cost,
                        Constant(1e-3, "ms a us"),
                    ),
                ),
                "ms",
                1_000 * TOKEN_GAP_S,
            ),
            TableRow(
                "more requests on each other node when a data centre of a region goes",
                (
                    (
                        Constant(100, "%"),
                        Constant(1 / (DATA_CENTRES / REGIONS - 1), "of the remaining centres"),
                    ),
                ),
                "%",
            ),
            TableRow(
                "nodes in a region that is cut off",
                ((Constant(NODES / REGIONS, "[340 / 7]"),),),
                "",
            ),
        ),
    )
