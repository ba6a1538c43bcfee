"""The application object of an entry instance and its metrics.

Here belongs what builds the parts and runs their life cycle. Only the command line stands above it.
"""

from lentilwell.shell._application import Application

__all__ = ["Application"]
