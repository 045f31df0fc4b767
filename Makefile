PYTHON ?= python3.11
BIN := .venv/bin
SECONDS_ ?= $(or $(SECONDS),60)
SEED ?= 1

# make fuzz SECONDS=60 SEED=1
.PHONY: fuzz test demo lint format clean

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/ready

test: .venv/ready
	$(BIN)/python -m pytest

lint: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: .venv/ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

fuzz: .venv/ready
	$(BIN)/python tests/machine.py $(SECONDS_) $(SEED)

demo: .venv/ready
	PATH="$(CURDIR)/$(BIN):$$PATH" sh examples/demo.sh

clean:
	rm -rf .venv .demo build dist
