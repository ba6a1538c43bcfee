"""The capacity tables of one node: sizes, data path and decisions."""

from __future__ import annotations

from bench.sheet import Line, Measured, Number, Table
from bench.target import (
    ANSWER_TOKENS,
    ARRIVALS,
    BYTES_TO_MIB,
    CENTRES,
    CHANGES,
    CONTROL_CORE_PERCENT,
    ENGINES_A_CENTRE,
    ENGINES_A_NODE,
    FAILURES_A_DAY,
    KIB_TO_MIB,
    MS_TO_PERCENT,
    NODES_A_CENTRE,
    PROGRESS_A_SECOND,
    PROMPT_TOKENS,
    REPLACEMENTS_A_DAY,
    REQUESTS_A_NODE,
    STREAMS,
    STREAMS_AN_ENGINE,
    TICKS_A_SECOND,
    TOKEN_GAP_S,
    TOKENS_A_NODE,
    US_TO_PERCENT,
)


def list_sizes() -> Table:
    """Return what the target's sizes mean for a node and a data centre."""
    return Table(
        "sizes",
        (
            Line("nodes a data centre", ((Number(NODES_A_CENTRE, "[340 / 23]"),),), ""),
            Line("engines a data centre", ((Number(ENGINES_A_CENTRE, "[10,000 / 23]"),),), ""),
            Line("engines owned by a node", ((Number(ENGINES_A_NODE, "[10,000 / 340]"),),), ""),
            Line("requests a node", ((Number(REQUESTS_A_NODE, "[13,000 / 340]"),),), "1/s"),
            Line("tokens a node", ((Number(TOKENS_A_NODE, "[5,400,000 / 340]"),),), "1/s"),
            Line("tokens an answer", ((Number(ANSWER_TOKENS, "[5,400,000 / 13,000]"),),), ""),
            Line(
                "streams open on a node",
                ((ARRIVALS, Number(ANSWER_TOKENS, "tokens"), Number(TOKEN_GAP_S, "s")),),
                "",
            ),
            Line(
                "streams on an engine",
                ((Number(STREAMS_AN_ENGINE, "[1,191 x 340 / 10,000]"),),),
                "",
            ),
            Line("changes of configuration", ((Number(CHANGES, "[50,000 / 86,400]"),),), "1/s"),
            Line(
                "failures and replacements in a data centre",
                ((Number((FAILURES_A_DAY + REPLACEMENTS_A_DAY) / CENTRES, "[3,750 / 23]"),),),
                "a day",
            ),
        ),
    )


def list_data_path() -> Table:
    """Return the data path of one node; it is no control, so only a core bounds it."""
    return Table(
        "data-path",
        (
            Line(
                "chunks",
                (
                    (
                        Number(TOKENS_A_NODE, "chunks/s"),
                        Measured("chunk with 1200 streams"),
                        US_TO_PERCENT,
                    ),
                ),
                "% of a core",
                100,
            ),
            Line(
                "requests",
                ((ARRIVALS, Measured("request of 1,000 tokens and one token"), MS_TO_PERCENT),),
                "% of a core",
                100,
            ),
            Line(
                "chunks that one process carries",
                ((Measured("chunks a second and core with 1200 streams"),),),
                "1/s",
            ),
            Line(
                "memory of streams",
                ((STREAMS, Measured("memory a stream with 1200 streams"), KIB_TO_MIB),),
                "MiB",
            ),
            Line(
                "memory of prompts held for a restart elsewhere",
                (
                    (
                        STREAMS,
                        Number(PROMPT_TOKENS, "tokens"),
                        Number(4, "bytes"),
                        BYTES_TO_MIB,
                    ),
                ),
                "MiB",
            ),
        ),
    )


def list_decisions() -> Table:
    """Return the reducer of one node, with the engines of its data centre."""
    us = US_TO_PERCENT
    at = "with 435 engines"
    return Table(
        "decisions",
        (
            Line(
                "arrivals, first tokens, ends",
                ((ARRIVALS, Number(3, "events"), Measured(f"event {at}, mean"), us),),
                "% of a core",
            ),
            Line(
                "progress of streams, twice a second each",
                ((STREAMS, Number(PROGRESS_A_SECOND, "1/s"), Measured(f"progress {at}"), us),),
                "% of a core",
            ),
            Line(
                "ticks",
                ((Number(TICKS_A_SECOND, "1/s"), Measured(f"tick {at}"), us),),
                "% of a core",
                CONTROL_CORE_PERCENT,
            ),
            Line(
                "the same for a node that knows the whole fleet",
                ((ARRIVALS, Number(3, "events"), Measured("event with 10000 engines, mean"), us),),
                "% of a core",
            ),
        ),
    )
