# LENTILWELL_VENV names another virtual environment to use instead of .venv in the checkout.
VENV := $(or $(LENTILWELL_VENV),.venv)
PY := $(VENV)/bin/python
PYTHON ?= python3
# LENTILWELL_READY=1 takes that environment as it is and installs nothing.
SETUP := $(if $(LENTILWELL_READY),,setup)
STAMP := $(VENV)/.setup-lentilwell

export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: setup demo up test search soak bench lint format thrift build clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements-dev.txt
	$(PY) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

setup: $(STAMP)

demo: $(SETUP)
	$(PY) -m standins.demo

up: $(SETUP)
	@$(PY) -m standins.up

# These tests bound the memory of a process, one at a time and apart from other load.
HOSTILE_TESTS := tests/test_gateway_hostile_callers.py

test: $(SETUP)
	$(PY) -m pytest -n 4 --dist loadfile --ignore $(HOSTILE_TESTS)
	$(PY) -m pytest $(HOSTILE_TESTS)

# A long search of the state machines and properties. SEED=N repeats one; EXAMPLES=N is their number a machine.
SEED ?= $(shell $(PYTHON) -c 'import secrets; print(secrets.randbelow(2**32))')
EXAMPLES ?= 2000
search: seed := $(SEED)
search: $(SETUP)
	@echo "searching $(EXAMPLES) examples a machine with SEED=$(seed)"
	LENTILWELL_SEARCH=$(EXAMPLES) $(PY) -m pytest -n 4 --timeout 3600 --hypothesis-seed=$(seed) \
		tests/test_claims.py tests/test_fleet.py tests/test_sessions.py tests/test_versions.py \
		tests/test_gateway_budget.py tests/test_gateway_request_state.py tests/test_gateway_ejection.py \
		tests/test_gateway_event_stream.py tests/test_gateway_leases.py tests/test_gateway_upstreams.py \
		tests/test_gateway_random_refusals.py tests/test_gateway_random_streams.py \
		tests/test_following_position.py tests/test_following_simulated.py tests/test_following_sources.py

bench: $(SETUP)
	$(PY) -m bench

# Gateways as processes under random faults. SEED=N plays one again; SEEDS=N fresh ones, SOAK_SECONDS of faults each.
SEEDS ?= 5
SOAK_SECONDS ?= 8
soak: export PYTHONPATH := $(PYTHONPATH):$(CURDIR)/platform
soak: $(SETUP)
	$(PY) -m soak --seconds $(SOAK_SECONDS) --logs build/soak \
		$(if $(filter command line,$(origin SEED)),--seed $(SEED),--seeds $(SEEDS))

lint: $(SETUP)
	$(PY) -m black --check --quiet src platform standins bench soak tests examples
	$(PY) -m ruff check --quiet src platform standins bench soak tests examples
	$(PY) -m mypy
	$(VENV)/bin/lint-imports --no-logo > /dev/null || $(VENV)/bin/lint-imports

format: $(SETUP)
	$(PY) -m black --quiet src platform standins bench soak tests examples
	$(PY) -m ruff check --quiet --fix src platform standins bench soak tests examples

# Regenerates the committed code of the peers' messages; needs the thrift compiler 0.17.
thrift:
	rm -rf build/thrift && mkdir -p build/thrift
	thrift -gen py:slots -out build/thrift src/lentilwell/peers.thrift
	rm -rf src/lentilwell/_wire
	mv build/thrift/lentilwell/_wire src/lentilwell/_wire
	rm -f src/lentilwell/_wire/Exchange-remote

build: $(SETUP)
	rm -rf build/site
	$(PY) -m pip install --quiet --target build/site -r requirements.txt
	$(PY) -m pip install --quiet --target build/site --no-deps --no-build-isolation .
	mkdir -p dist
	$(VENV)/bin/shiv --site-packages build/site --console-script lentilwell --output-file dist/lentilwell

clean:
	rm -rf build dist .pytest_cache .mypy_cache .ruff_cache .hypothesis
