"""The application object of an entry instance, and its metrics.

The application creates the components and runs their start and stop hooks. Only the command line
depends on this package.
"""

from lentilwell.shell._application import Application

__all__ = ["Application"]
