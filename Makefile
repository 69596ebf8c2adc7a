# Each target does its own set-up. `make demo` shows the sidecar at work, `make test` passes the tests.
PYTHON ?= python3
BIN = .venv/bin

.PHONY: demo test bench

.venv/ready: requirements.txt requirements-tools.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/pip || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements-dev.txt
	$(BIN)/pip -q install --no-deps -e .
	touch $@

demo: .venv/ready
	$(BIN)/cindersail demo

test: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports contracts.ini --no-cache
	$(BIN)/python -m pytest -n 4 --dist worksteal -rxX


bench: .venv/ready
	$(BIN)/python -m benchmarks
