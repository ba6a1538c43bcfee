"""How long state machines and properties search: the same bounded search each run, or a long one.

``make search`` sets ``LENTILWELL_SEARCH`` to a number of examples, and names its seed.
"""

import os

from hypothesis import settings

# None for the same bounded search each run.
SEARCHED_EXAMPLES = (
    int(os.environ["LENTILWELL_SEARCH"]) if "LENTILWELL_SEARCH" in os.environ else None
)


def bound_search(max_examples, stateful_step_count, suppressed=()):
    """Return the settings of a state machine; ``suppressed`` names health checks it cannot pass."""
    return settings(
        derandomize=SEARCHED_EXAMPLES is None,
        database=None,
        deadline=None,
        max_examples=SEARCHED_EXAMPLES or max_examples,
        stateful_step_count=stateful_step_count,
        suppress_health_check=list(suppressed),
    )
