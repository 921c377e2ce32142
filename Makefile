# Two commands do all set-up: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= sahil
SEED ?= 1
SOAK_SEEDS ?= 6
SOAK_SECONDS ?= 30

.PHONY: demo test soak lint format messages errors clean

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev,report]'
	touch $@

demo: $(VENV)/installed
	$(BIN)/liftrill demo --deployment $(DEPLOYMENT) --seed $(SEED)

test: $(VENV)/installed
	$(BIN)/python -m features.run

# Fresh seeds on each run; a failing seed keeps its logs under reports/.
soak: $(VENV)/installed
	$(BIN)/python -m features.soak.run --seeds $(SOAK_SEEDS) --seconds $(SOAK_SECONDS)

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	MYPYPATH=platform $(BIN)/mypy platform/*.py

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Regenerates the committed protobuf modules; only needed after a change under proto/.
messages: $(VENV)/installed
	$(BIN)/python -m grpc_tools.protoc --proto_path=proto \
	  --plugin=protoc-gen-mypy=$(BIN)/protoc-gen-mypy \
	  --python_out=. --mypy_out=. proto/liftrill/messages/*.proto

# Rewrites docs/ERRORS.md from the result codes.
errors: $(VENV)/installed
	$(BIN)/liftrill errors > docs/ERRORS.md

clean:
	rm -rf $(VENV) build reports
