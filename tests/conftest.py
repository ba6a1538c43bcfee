"""Hypothesis repeats the same examples on every run, so that each run has the same verdict.

``make search`` asks for other and more examples, see ``searching``.
"""

from hypothesis import settings

from tests.searching import SEARCHED_EXAMPLES

if SEARCHED_EXAMPLES is None:
    settings.register_profile("chosen", derandomize=True, deadline=None)
else:
    settings.register_profile(
        "chosen", max_examples=SEARCHED_EXAMPLES, database=None, deadline=None
    )
settings.load_profile("chosen")
