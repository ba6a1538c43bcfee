"""Runs the command line as ``python -m lentilwell``."""

import sys

from lentilwell.cli import main

sys.exit(main())
