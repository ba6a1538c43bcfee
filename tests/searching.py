"""How long the state machines search: the same bounded search each run, or a long seeded one.

``make search`` sets ``LENTILWELL_SEARCH`` to a number of examples, and names its seed.
"""

import os

from hypothesis import settings


def bound_search(max_examples, stateful_step_count, suppressed=()):
    """Return the settings of a state machine; ``suppressed`` names health checks it cannot pass."""
    wanted = os.environ.get("LENTILWELL_SEARCH")
    return settings(
        derandomize=wanted is None,
        database=None,
        deadline=None,
        max_examples=int(wanted) if wanted else max_examples,
        stateful_step_count=stateful_step_count,
        suppress_health_check=list(suppressed),
    )
