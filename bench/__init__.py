"""Benchmarks: load generation, measurements and baselines; the product never imports them."""
