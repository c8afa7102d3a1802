PYTHON ?= python3
VENV ?= .venv
PY := $(VENV)/bin/python
JOBS ?= 6
DIST ?= dist
STAMP := $(VENV)/.installed

.PHONY: setup lint format test demo bench dist lock

setup: $(STAMP)

$(STAMP): requirements/dev.lock
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check \
	    -r requirements/dev.lock
	touch $(STAMP)

lint: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m flake8
	$(PY) -m tools.wirenames

format: setup
	$(PY) -m ruff format .

test: lint
	$(PY) -m pytest -n $(JOBS) --dist worksteal --ignore tests/isolated
	$(PY) -m pytest tests/isolated

demo: setup
	$(PY) -m examples.demo

bench: setup
	$(PY) -m bench run steady --seed 1 --out out/bench

dist: setup
	# What an earlier build left would be packed again.
	rm -rf build
	mkdir -p $(DIST)
	$(PY) -m shiv --quiet -c sycamoreshed -o $(DIST)/sycamoreshed \
	    --no-modify --reproducible -r requirements/run.lock .

lock:
	$(PY) -m piptools compile --quiet --strip-extras --no-emit-index-url \
	    --no-emit-trusted-host --no-emit-find-links \
	    -o requirements/run.lock pyproject.toml
	$(PY) -m piptools compile --quiet --strip-extras --no-emit-index-url \
	    --no-emit-trusted-host --no-emit-find-links --extra dev --allow-unsafe \
	    -o requirements/dev.lock pyproject.toml
