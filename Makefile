# make demo | test | lint | format | bench | soak | wire
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := burdockchute burdockchute-entry burdockchute-agent \
	burdockchute-testing
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
WIRE := packages/burdockchute/burdockchute/wire

.PHONY: demo test lint format bench bench-path bench-straight \
	bench-processor-time bench-control \
	bench-claims bench-rollout bench-load bench-table soak wire lock setup \
	clean

setup: $(VENV)/.stamp

$(VENV)/.stamp: requirements.lock packages/*/pyproject.toml \
		platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check \
		-r requirements.lock 2>&1 | grep -v WARNING || true
	$(BIN)/pip install -q --disable-pip-version-check --no-deps \
		--no-build-isolation $(EDITABLE)
	touch $@

demo: setup
	$(BIN)/python -m burdockchute_testing.demo

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff format --check -q .
	$(BIN)/ruff check -q .
	$(BIN)/flake8 packages platform tools
	$(BIN)/mypy --no-error-summary --cache-dir=/dev/null packages/burdockchute/burdockchute \
		packages/burdockchute-entry/burdockchute_entry \
		packages/burdockchute-agent/burdockchute_agent \
		packages/burdockchute-testing/burdockchute_testing \
		platform/burdockchute_platform platform/soak

format: setup
	$(BIN)/ruff check -q --fix --select I .
	$(BIN)/ruff format -q .

# All benches in a few minutes, each with fewer cases than its own target.
BENCH := $(BIN)/python -m burdockchute_testing.benches
bench: setup
	$(BENCH).path --seconds 4
	$(BENCH).control --seconds 4
	$(BENCH).claims
	$(BENCH).table --agents 8,32 --rows 100,10000
	$(BENCH).rollout --cases sahyog,lindwurm
	$(BENCH).load --seconds 2

bench-path bench-control bench-claims bench-rollout bench-load \
bench-table: setup
	$(BIN)/python -m burdockchute_testing.benches.$(subst bench-,,$@)

bench-straight: setup
	cd platform && PYTHONPATH=. ../$(BIN)/python -m benches.straight_path

bench-processor-time: setup
	cd platform && PYTHONPATH=. ../$(BIN)/python -m benches.processor_time

SEEDS ?= 1-50
soak: setup
	cd platform && PYTHONPATH=. ../$(BIN)/python -m soak --failed \
		--seeds $(SEEDS) --seconds 40
	cd platform && PYTHONPATH=. ../$(BIN)/python -m soak --backpressure \
		--seeds $(SEEDS) --seconds 40

wire:
	thrift --gen py -out $(WIRE)/gen \
		$(WIRE)/burdockchute.thrift

lock: setup
	(echo "# Exact versions; made by 'make lock'."; \
		$(BIN)/pip freeze --all --exclude-editable | grep -v '^pip==') \
		> requirements.lock

clean:
	rm -rf $(VENV) build out
