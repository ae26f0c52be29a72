PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint format check tables binary binary-check

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/currantwell demo examples/dawn_check_ins.json

test: setup
	$(BIN)/pytest $(KNOWN_RED)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: lint test

tables: setup
	$(BIN)/python tools/write_tables.py

binary: setup
	$(BIN)/shiv --quiet --console-script currantwell --reproducible \
	    --python "/usr/bin/env python3.11" --output-file dist/currantwell .

binary-check: binary
	$(BIN)/pytest -m binary tests/test_one_process.py
