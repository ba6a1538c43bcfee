"""Hypothesis repeats the same examples on every run, so that CI gives the same verdict each time."""

from hypothesis import settings

settings.register_profile("repeated", derandomize=True, deadline=None)
settings.load_profile("repeated")
