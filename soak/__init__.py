"""Randomized soak test: gateway processes serve requests while random faults are injected."""
