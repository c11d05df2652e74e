# Developer tasks; each needs only CPython 3.11, pip and make.

PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
SOURCES := src standins bench tests

.PHONY: install demo test bench lint format capacity clean

install: $(VENV)/installed

$(VENV)/installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: install
	$(RUN) -m bench.demo

test: install
	$(RUN) -m tests

SCENARIO ?= steady
SEED ?= 1
bench: install
	$(RUN) -m bench $(SCENARIO) --seed $(SEED)

capacity: install
	$(RUN) -m bench.capacity

lint: install
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check --quiet --select I $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)
	$(VENV)/bin/lint-imports

format: install
	$(VENV)/bin/ruff format $(SOURCES)

clean:
	rm -rf $(VENV) build run
