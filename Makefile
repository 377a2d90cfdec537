PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test demo site lint format bench

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m pomelostair_standins.demo

site: setup
	$(BIN)/python -m pomelostair_standins.site

bench: setup
	for bench in bench/*_bench.py bench/*_cost.py; do \
	  test ! -e $$bench || $(BIN)/python $$bench || exit 1; \
	done
