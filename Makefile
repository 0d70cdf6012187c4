# Targets for developers; see README.md.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
SEEDS ?= 1-50
DAYS ?= 1
PROCESSES ?= 9

.PHONY: setup format check demo test bench soak faults clean

setup: $(VENV)/installed

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy clementinelead standins bench specs
	$(BIN)/lint-imports

demo: setup
	$(BIN)/python -m bench.demo

test: check
	$(BIN)/python -m pytest

bench: setup
	$(BIN)/python -m bench.run $(S) --seed $(SEED)

soak: setup
	CLEMENTINELEAD_SOAK=1 $(BIN)/python -m pytest -k stateful
	$(BIN)/python -m bench.soak.run --seeds $(SEEDS)

faults: setup
	$(BIN)/python -m bench.soak.run --seeds $(SEED)-$$(($(SEED) + $(DAYS) - 1)) \
	  --balancers $$(($(PROCESSES) / 3)) \
	  --targets $$(($(PROCESSES) - $(PROCESSES) / 3))

clean:
	rm -rf $(VENV) build *.egg-info
