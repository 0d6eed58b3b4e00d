PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

DEPLOYMENT ?= magnolia

.PHONY: install test test-crowds test-parts test-platform test-others fuzz lint demo generate binary docs

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

fuzz: install
	$(BIN)/python -m pytest tests/fuzz --hypothesis-profile=long --timeout=0

# Crowds fill the memory of a process, and run by themselves.
CROWDS := tests/platform/test_client_crowds.py tests/platform/test_mixed_crowds.py

test: install
	$(MAKE) --keep-going test-crowds test-parts

test-crowds: install
	$(BIN)/python -m pytest --durations=5 $(CROWDS)

# Two processes at once: most tests wait for timeouts.
test-parts: install
	$(MAKE) --jobs=2 --output-sync --keep-going test-platform test-others

test-platform: install
	$(BIN)/python -m pytest --durations=15 tests/platform $(CROWDS:%=--ignore=%)

test-others: install
	$(BIN)/python -m pytest --durations=15 tests --ignore=tests/platform

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/generate.py --check
	$(BIN)/mkdocs build --strict --quiet --site-dir build/site

demo: install
	$(BIN)/pimentospool demo --deployment $(DEPLOYMENT)

generate: install
	$(BIN)/python tools/generate.py

binary: install
	$(BIN)/python tools/binary.py

docs: install
	$(BIN)/mkdocs build --strict --site-dir build/site
