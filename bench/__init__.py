"""The bench: load, measures and baselines; the product never imports it."""
