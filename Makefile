PYTHON ?= python3.11
BIN := .venv/bin
SECONDS_ ?= $(or $(SECONDS),60)
SEED ?= 1

# make fuzz SECONDS=60 SEED=1
.PHONY: platform-day platform-score fuzz test demo lint format bench-path binary clean

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

.venv-binary/ready: requirements-binary.lock
	$(PYTHON) -m venv .venv-binary
	.venv-binary/bin/pip install --quiet --disable-pip-version-check -r requirements-binary.lock
	touch .venv-binary/ready

binary: .venv-binary/ready
	.venv-binary/bin/pyinstaller --noconfirm --onedir --strip --log-level ERROR \
	    --name hickorylever --paths src --collect-submodules hickorylever \
	    --exclude-module numpy --exclude-module matplotlib --exclude-module tkinter \
	    --distpath build/binary --workpath build/work --specpath build packaging/entry.py
	cc -O2 -Wall -Wextra -o build/launcher packaging/launcher.c
	strip build/launcher
	.venv-binary/bin/python packaging/pack.py build/launcher build/binary/hickorylever dist/hickorylever

bench-path: .venv/ready
	PATH="$(CURDIR)/$(BIN):$$PATH" sh examples/bench-path.sh --seed $(SEED)

SYSTEM ?= ../given/kit/more/system
BENCH ?= $(SYSTEM)/more/bench-d17393/bin/fleetbench
SITES ?= $(wildcard $(addprefix $(SYSTEM)/,sites/*.toml demands/*.toml grown/*.toml large/*.toml))

# make platform-day SITE=../given/kit/more/system/large/rmsu-vextir-large.toml DAY=quiet-1
platform-day:
	$(BENCH) run $(SITE) $(DAY) --why "$(or $(WHY),a day of make platform-day)"

# The regression runs: all deployments in force.
platform-score:
	for site in $(SITES); do \
	    $(BENCH) score $$site --jobs 3 --why "$(or $(WHY),make platform-score)" || exit 1; \
	done

clean:
	rm -rf .venv .venv-binary .demo .bench build dist
