"""Hypothesis repeats the same examples on every run, so that each run has the same verdict."""

from hypothesis import settings

settings.register_profile("repeated", derandomize=True, deadline=None)
settings.load_profile("repeated")
