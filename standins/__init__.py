"""Stand-ins for external systems, for tests, benchmarks and demos.

The ``lentilwell`` package never imports them.
"""
