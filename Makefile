# `make test` and `make demo` set up .venv from a fresh clone.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core wire storage entry control operator daemon
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package)) -e standins -e platform
TOOLS := black ruff mypy testtools testscenarios lark trustme setuptools
CODE := packages platform standins tests bench tools
STAMP := $(VENV)/.stamp
GENERATED := packages/wire/src

.PHONY: setup test check demo bench format generate

setup: $(STAMP)

$(STAMP): constraints.txt pyproject.toml $(wildcard packages/*/pyproject.toml) standins/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt $(TOOLS) wheel
	$(BIN)/pip install --quiet --constraint constraints.txt --no-build-isolation $(EDITABLE)
	touch $@

test: setup
	$(BIN)/python tools/run_tests.py

check: setup
	$(BIN)/black --quiet --check $(CODE)
	$(BIN)/ruff check --quiet $(CODE)
	$(BIN)/mypy --no-error-summary packages platform standins bench tools

demo: setup
	$(BIN)/python tools/demo.py

bench: setup
	$(BIN)/python -m bench

format: setup
	$(BIN)/black --quiet $(CODE)
	$(BIN)/ruff check --quiet --fix $(CODE)

# Needs the thrift compiler; the generated code is committed, so a build does not.
generate:
	for file in packages/wire/idl/*.thrift; do thrift --gen py:slots -out $(GENERATED) $$file; done
	rm -f $(GENERATED)/__init__.py
