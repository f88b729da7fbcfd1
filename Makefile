VENV := .venv
PYTHON := $(VENV)/bin/python
READY := $(VENV)/.ready
PACKAGES := core wire fleet cli standins

.PHONY: demo test lint format fuzz proofs soak rollouts bench ablation placement capacity clean

demo: $(READY)
	$(PYTHON) -m scaleloom_standins.demo

test: $(READY)
	$(PYTHON) -m tests.side_by_side

lint: $(READY)
	$(PYTHON) -m black --check --quiet .
	$(PYTHON) -m isort --check-only --quiet .
	$(PYTHON) -m flake8
	$(VENV)/bin/lint-imports

format: $(READY)
	$(PYTHON) -m isort --quiet .
	$(PYTHON) -m black --quiet .

fuzz: $(READY)
	$(PYTHON) -m tests.fixtures.play_drawn answers $(FUZZ)
	$(PYTHON) -m tests.fixtures.play_drawn requests $(FUZZ)

proofs: $(READY)
	$(PYTHON) -m proofs

soak: $(READY)
	$(PYTHON) -m soak $(SOAK)

rollouts: $(READY)
	$(PYTHON) -m soak.drawn_rollouts $(ROLLOUTS)

bench: $(READY)
	$(PYTHON) -m benchmarks

ablation: $(READY)
	$(PYTHON) -m benchmarks.ablation $(ABLATION)

placement: $(READY)
	$(PYTHON) -m benchmarks.report

capacity: $(READY)
	$(PYTHON) -m benchmarks.capacity

$(READY): requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation \
		$(foreach package,$(PACKAGES),--editable packages/scaleloom-$(package)) --editable platform
	touch $(READY)

clean:
	rm -rf $(VENV) build
