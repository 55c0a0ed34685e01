# Every command sets itself up in a virtual environment of this checkout.
VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: setup demo test measure soak build format thrift

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	touch $@

demo: setup
	$(PYTHON) -m testbed.demo

test: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check --quiet --select I,F .
	$(VENV)/bin/flake8 balsamshed testbed
	$(VENV)/bin/lint-imports
	$(VENV)/bin/mypy
	$(PYTHON) -m pytest

measure: setup
	$(PYTHON) -m testbed.measure

# Real processes under seeded faults; SEEDS and FIRST choose the seeds, and
# REPORT names an HTML file with charts.
SEEDS ?= 5
FIRST ?= 1
REPORT ?=
soak: setup
	$(PYTHON) -m testbed.soak --seeds $(SEEDS) --first $(FIRST) \
		$(if $(REPORT),--report $(REPORT))

build: setup
	$(PYTHON) -m testbed.build

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --quiet --select I,F --fix .

# Needs the thrift compiler; the result is committed.
thrift:
	cd balsamshed/codecs && thrift --gen py:slots -out ../.. peers.thrift
