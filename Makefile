PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
ENTRIES ?= 2
MINIONS ?= 3
WORKERS ?= 3
LINKS ?= --links

# The first line of `make site` is for programs, so nothing is echoed.
.SILENT: setup demo site

.PHONY: setup test demo site lint format bench

setup:
	$(PYTHON) deploy/dependencies.py --development

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
	$(BIN)/python -m pomelostair_standins.site --entries $(ENTRIES) \
	  --minions $(MINIONS) --workers $(WORKERS) $(LINKS)

bench: setup
	result=0; \
	for bench in bench/*_bench.py bench/*_cost.py; do \
	  echo "== $$bench"; \
	  PYTHONPATH=. $(BIN)/python $$bench || result=1; \
	done; \
	exit $$result
