"""Public names of the package, and the modules that the gateway and the command line import."""

import subprocess
import sys

import lentilwell
from lentilwell import _library


def test_every_name_of_the_library_is_found_in_the_package():
    for name in _library.__all__:
        assert getattr(lentilwell, name) is getattr(_library, name)


def test_unknown_names_are_not_attributes_of_the_package():
    assert not hasattr(lentilwell, "_nothing")
    assert not hasattr(lentilwell, "nothing")


def list_imported_modules(module):
    program = f"import sys, {module}; print(*sorted(sys.modules))"
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60, check=True
    )
    return set(result.stdout.split())


def test_gateway_imports_no_modules_of_the_entry_instance():
    imported = list_imported_modules("lentilwell.gateway")
    assert "lentilwell.gateway" in imported
    assert not imported & {"lentilwell._library", "lentilwell.reducer", "pyrsistent", "pycurl"}


def test_command_line_imports_no_modules_of_the_gateway():
    imported = list_imported_modules("lentilwell.cli")
    assert "lentilwell.cli" in imported
    assert not imported & {"lentilwell.gateway", "h11"}
