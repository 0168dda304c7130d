# make day: the main job, a bad day beside a plain baseline. make test: all tests. Both set up what they need.
PY := .venv/bin/python
READY := .venv/ready-$(shell cksum pyproject.toml | cut -d' ' -f1)

.PHONY: day test lint setup kinds sites

day: $(READY)
	$(PY) -m peatlead day days/bad.star --planner both --out found/day

test: $(READY)
	$(PY) -m unittest discover -s tests -t . -v

lint: $(READY)
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	.venv/bin/lint-imports

kinds: $(READY)
	$(PY) -m peatlead kinds --out found/kinds

# What the bench wants beside a deployment's file comes from the operators' kit and is not kept here.
KIT ?= ../given/kit/more/mass/other
sites:
	cp $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt deploy/sites/

setup: $(READY)

$(READY):
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install --disable-pip-version-check -e '.[test]'
	rm -f .venv/ready-*
	touch $@
