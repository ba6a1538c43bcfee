"""Runs the steps of the periodic maintenance, so that a fault in one does not stop the others."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from lentilwell._log_lines import TaskFailed, write_line


def run_steps(steps: Mapping[str, Callable[[], None]]) -> None:
    """Run all steps in order; one that raises is logged by its name."""
    for name, step in steps.items():
        try:
            step()
        except Exception as error:
            write_line(TaskFailed(f"maintenance: {name}"), error)
