"""The package as a library, and what a program that only forwards has to load."""

import subprocess
import sys

import lentilwell
from lentilwell import _library


def test_every_name_of_the_library_is_found_in_the_package():
    for name in _library.__all__:
        assert getattr(lentilwell, name) is getattr(_library, name)


def test_names_of_modules_are_not_taken_for_names_of_the_library():
    assert not hasattr(lentilwell, "_nothing")
    assert not hasattr(lentilwell, "nothing")


def list_loaded(module):
    program = f"import sys, {module}; print(*sorted(sys.modules))"
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60, check=True
    )
    return set(done.stdout.split())


def test_a_gateway_loads_nothing_of_the_entry_instance():
    loaded = list_loaded("lentilwell.gateway")
    assert "lentilwell.gateway" in loaded
    assert not loaded & {"lentilwell._library", "lentilwell.reducer", "pyrsistent", "pycurl"}


def test_the_command_line_loads_nothing_of_the_gateway():
    loaded = list_loaded("lentilwell.cli")
    assert "lentilwell.cli" in loaded
    assert not loaded & {"lentilwell.gateway", "h11"}
