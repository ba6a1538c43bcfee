"""Search settings of Hypothesis: the same bounded search in each run, or a longer random one.

``make search`` sets ``LENTILWELL_SEARCH`` to the number of examples and prints its seed.
"""

import os

from hypothesis import settings

# The number of examples of a longer search, or None for the same bounded search in each run.
SEARCH_EXAMPLES = (
    int(os.environ["LENTILWELL_SEARCH"]) if "LENTILWELL_SEARCH" in os.environ else None
)


def bounded_search_settings(max_examples, stateful_step_count, suppressed_checks=()):
    """Return settings for a state machine.

    ``suppressed_checks`` are the health checks that the state machine cannot pass.
    """
    return settings(
        database=None,
        deadline=None,
        max_examples=SEARCH_EXAMPLES or max_examples,
        stateful_step_count=stateful_step_count,
        suppress_health_check=list(suppressed_checks),
    )
