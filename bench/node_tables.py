"""The capacity tables of one node: sizes, data path and decisions."""

from __future__ import annotations

from bench.capacity_model import Constant, SlopeReference, Table, TableRow
from bench.target import (
    BYTES_TO_MIB,
    CHANGES_PER_S,
    DATA_CENTRES,
    ENGINES_PER_DATA_CENTRE,
    ENGINES_PER_NODE,
    FAILURES_PER_DAY,
    KIB_TO_MIB,
    MAX_CONTROL_CORE_PERCENT,
    MS_TO_PERCENT,
    NODE_ARRIVALS,
    NODE_REQUESTS_PER_S,
    NODE_STREAMS,
    NODE_TOKENS_PER_S,
    NODES_PER_DATA_CENTRE,
    PROGRESS_EVENTS_PER_S,
    REPLACEMENTS_PER_DAY,
    STREAMS_PER_ENGINE,
    TICKS_PER_S,
    TOKEN_GAP_S,
    TOKENS_PER_ANSWER,
    TOKENS_PER_PROMPT,
    US_TO_PERCENT,
)


def build_sizes_table() -> Table:
    """Build the table of the target sizes per node and per data centre."""
    return Table(
        "sizes",
        (
            TableRow(
                "nodes a data centre", ((Constant(NODES_PER_DATA_CENTRE, "[340 / 23]"),),), ""
            ),
            TableRow(
                "engines a data centre",
                ((Constant(ENGINES_PER_DATA_CENTRE, "[10,000 / 23]"),),),
                "",
            ),
            TableRow(
                "engines owned by a node", ((Constant(ENGINES_PER_NODE, "[10,000 / 340]"),),), ""
            ),
            TableRow(
                "requests a node", ((Constant(NODE_REQUESTS_PER_S, "[13,000 / 340]"),),), "1/s"
            ),
            TableRow(
                "tokens a node", ((Constant(NODE_TOKENS_PER_S, "[5,400,000 / 340]"),),), "1/s"
            ),
            TableRow(
                "tokens an answer", ((Constant(TOKENS_PER_ANSWER, "[5,400,000 / 13,000]"),),), ""
            ),
            TableRow(
                "streams open on a node",
                (
                    (
                        NODE_ARRIVALS,
                        Constant(TOKENS_PER_ANSWER, "tokens"),
                        Constant(TOKEN_GAP_S, "s"),
                    ),
                ),
                "",
            ),
            TableRow(
                "streams on an engine",
                ((Constant(STREAMS_PER_ENGINE, "[1,191 x 340 / 10,000]"),),),
                "",
            ),
            TableRow(
                "changes of configuration",
                ((Constant(CHANGES_PER_S, "[50,000 / 86,400]"),),),
                "1/s",
            ),
            TableRow(
                "failures and replacements in a data centre",
                (
                    (
                        Constant(
                            (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) / DATA_CENTRES, "[3,750 / 23]"
                        ),
                    ),
                ),
                "a day",
            ),
        ),
    )


def build_data_path_table() -> Table:
    """Build the table of the data path of one node.

    The limits of control traffic do not apply here; a processor core is the only limit.
    """
    return Table(
        "data-path",
        (
            TableRow(
                "chunks",
                (
                    (
                        Constant(NODE_TOKENS_PER_S, "chunks/s"),
                        SlopeReference("chunk with 1200 streams"),
                        US_TO_PERCENT,
                    ),
                ),
                "% of a core",
                100,
            ),
            TableRow(
                "requests",
                (
                    (
                        NODE_ARRIVALS,
                        SlopeReference("request of 1,000 tokens and one token"),
                        MS_TO_PERCENT,
                    ),
                ),
                "% of a core",
                100,
            ),
            TableRow(
                "chunks that one process carries",
                ((SlopeReference("chunks a second and core with 1200 streams"),),),
                "1/s",
            ),
            TableRow(
                "memory of streams",
                ((NODE_STREAMS, SlopeReference("memory a stream with 1200 streams"), KIB_TO_MIB),),
                "MiB",
            ),
            TableRow(
                "memory of prompts held for a restart elsewhere",
                (
                    (
                        NODE_STREAMS,
                        Constant(TOKENS_PER_PROMPT, "tokens"),
                        Constant(4, "bytes"),
                        BYTES_TO_MIB,
                    ),
                ),
                "MiB",
            ),
        ),
    )


def build_decisions_table() -> Table:
    """Build the table of reducer costs on one node that knows its data centre's engines."""
    us = US_TO_PERCENT
    suffix = "with 435 engines"
    return Table(
        "decisions",
        (
            TableRow(
                "arrivals, first tokens, ends",
                (
                    (
                        NODE_ARRIVALS,
                        Constant(3, "events"),
                        SlopeReference(f"event {suffix}, mean"),
                        us,
                    ),
                ),
                "% of a core",
            ),
            TableRow(
                "progress of streams, twice a second each",
                (
                    (
                        NODE_STREAMS,
                        Constant(PROGRESS_EVENTS_PER_S, "1/s"),
                        SlopeReference(f"progress {suffix}"),
                        us,
                    ),
                ),
                "% of a core",
            ),
            TableRow(
                "ticks",
                ((Constant(TICKS_PER_S, "1/s"), SlopeReference(f"tick {suffix}"), us),),
                "% of a core",
                MAX_CONTROL_CORE_PERCENT,
            ),
            TableRow(
                "the same for a node that knows the whole fleet",
                (
                    (
                        NODE_ARRIVALS,
                        Constant(3, "events"),
                        SlopeReference("event with 10000 engines, mean"),
                        us,
                    ),
                ),
                "% of a core",
            ),
        ),
    )
