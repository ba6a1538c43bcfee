"""Hypothesis repeats the same examples on every run, so that each run has the same verdict.

``make search`` asks for other and more examples, see ``searching``.
"""

from hypothesis import settings

from tests.searching import SEARCHED_EXAMPLES

settings.register_profile("repeated", derandomize=True, deadline=None)
settings.register_profile(
    "searching", max_examples=SEARCHED_EXAMPLES or 1, database=None, deadline=None
)
settings.load_profile("searching" if SEARCHED_EXAMPLES else "repeated")
