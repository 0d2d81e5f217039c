# The targets are the way in: "make demo" shows the whole path, "make test" runs the tests.

VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: install test lint format demo stay bench bounds explore mutants clean

install: $(VENV)/installed

$(VENV)/installed: pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -e ".[dev]"
	touch $@

test: install
	$(PYTHON) -m pytest

lint: install
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: install
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

demo: install
	$(PYTHON) -m demo

# One deployment that runs until Ctrl-C, for trying things by hand.
stay: install
	$(PYTHON) -m demo --stay

bench: install
	$(PYTHON) -m bench load --json
	$(PYTHON) -m bench cost --json
	$(PYTHON) -m bench recovery --json
	$(PYTHON) -m bench faulty --json

# The short form of the load benchmark has the same bounds on a shorter evening.  There only
# library-app keeps all of them; "make bench" plays whole evenings of all four services, where
# one bound is broken (see docs/design/placement.md).
bounds: install
	$(PYTHON) -m bench recovery --known KNOWN-RED.txt
	$(PYTHON) -m bench load --quick --service library-app --policies cost,bounded-lazy

explore: install
	$(PYTHON) -m pytest tests/deep_handover.py --durations=0

mutants: install
	$(PYTHON) -m tests.mutants

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis
